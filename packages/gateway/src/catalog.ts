/**
 * Follows the published configuration and server list: by watching the source,
 * and by what peers pass on. What is newer wins, whoever tells it.
 */

import type { ServerRecord, TermRevision } from '@juniperhook/core'
import {
	createRouteTable,
	findMissing,
	formatRevision,
	isSameRevision,
	noteRead,
	settleRemovals,
	settleReturns,
} from '@juniperhook/core'
import { readElapsed, readNow, sleep } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type {
	CatalogSnapshot,
	CatalogSource,
	PublishedConfig,
	SourceResult,
} from './ports.ts'
import { applyRecords, logRecord, refreshFleet } from './serverRecords.ts'
import { unlessSuspended } from './suspension.ts'

/**
 * Part of the contact time that a watch waits. One whose path was cut and healed,
 * or whose answer was lost, says nothing until then and a while more; when the
 * contact time is over, this entry must know all changes again.
 */
const WATCH_SHARE = 0.6
/**
 * After news, before the next watch, ms: changes often come many at a time, and
 * each call has its price. It adds to the time until a change is in force. While
 * news come without a pause, as while a fleet starts, it doubles, up to this part of the
 * contact time.
 */
const GATHER_MS = 100
const MAX_GATHER_SHARE = 0.15
/** A watch that brings news within this time brings those of a series, ms. */
const SERIES_MS = 300
/**
 * A watch after one that failed asks for what has changed until now, ms. Reading
 * everything instead would bring the whole configuration once more, a megabyte
 * on a link that may have been too slow for the change itself.
 */
const CATCH_UP_WAIT_MS = 1
/** Between calls to a source that failed, ms; it grows up to the second. */
const MIN_PAUSE_MS = 100
const MAX_PAUSE_MS = 400
/** The source counts as away when it has not answered for this long, ms. */
const AWAY_AFTER_MS = 1_000
/**
 * How long entries that ran out while the source was away are still believed
 * after its return, ms: the servers write theirs again within two seconds.
 */
const LAPSED_GRACE_MS = 1_900

/** Instead of a watch that was open while the VM was suspended. */
const SUSPENDED: SourceResult<CatalogSnapshot> = {
	ok: false,
	lostHistory: false,
	reason: 'suspended meanwhile',
	bytes: 0,
}

/** How a catalog is being followed. */
export interface CatalogFollower {
	/** When the source last answered, ms. */
	answeredAt: number
	/** Removals are doubted until then, ms. */
	deferRemovalsUntil: number
	isAway: boolean
	/** Term in which everything was last read; undefined before. */
	term: number | undefined
}

/** Follows a source until the process ends. */
export async function followCatalog(
	ctx: GatewayContext,
	source: CatalogSource,
): Promise<void> {
	const follower: CatalogFollower = {
		answeredAt: readElapsed(),
		deferRemovalsUntil: 0,
		isAway: false,
		term: undefined,
	}
	let revision: TermRevision | undefined
	let hasFailed = false
	let pause = MIN_PAUSE_MS
	let gatherMs = GATHER_MS
	for (;;) {
		const whole = revision === undefined
		const begunAt = readElapsed()
		const result: SourceResult<CatalogSnapshot> = whole
			? await source.read()
			: await unlessSuspended(
					ctx,
					source.watch(revision!, hasFailed ? CATCH_UP_WAIT_MS : watchMs(ctx)),
					SUSPENDED,
				)
		const now = readElapsed()
		ctx.metrics.sourceCalls.inc({ outcome: result.ok ? 'answered' : 'failed' })
		ctx.metrics.sourceBytes.inc(result.bytes)
		hasFailed = !result.ok
		if (!result.ok) {
			ctx.log.write('source call failed', {
				call: whole ? 'read' : 'watch',
				after: revision && formatRevision(revision),
				reason: result.reason,
				bytes: result.bytes,
				tookMs: Math.round(now - begunAt),
			})
			noteAway(ctx, follower, now, result.reason)
			if (result.lostHistory) {
				revision = undefined
				pause = MIN_PAUSE_MS
			}
			await sleep(pause * (0.5 + ctx.random()))
			pause = Math.min(pause * 2, MAX_PAUSE_MS)
			continue
		}
		pause = MIN_PAUSE_MS
		noteBack(ctx, follower, now)
		takeSnapshot(ctx, result.value, whole, follower, now)
		const isNews = !whole && !isSameRevision(result.value.revision, revision!)
		revision = result.value.revision
		if (!isNews) continue
		gatherMs = now - begunAt < SERIES_MS ? gatherMs * 2 : GATHER_MS
		await sleep(Math.min(gatherMs, ctx.settings.contactMs * MAX_GATHER_SHARE))
	}
}

function watchMs({ settings }: GatewayContext): number {
	return Math.round(settings.contactMs * WATCH_SHARE)
}

function noteAway(
	ctx: GatewayContext,
	follower: CatalogFollower,
	now: number,
	reason: string,
): void {
	if (follower.isAway || now - follower.answeredAt < AWAY_AFTER_MS) return
	follower.isAway = true
	ctx.sourceAway = true
	ctx.log.write('source lost', {
		reason,
		silentMs: Math.round(now - follower.answeredAt),
	})
}

function noteBack(
	ctx: GatewayContext,
	follower: CatalogFollower,
	now: number,
): void {
	if (follower.isAway) {
		follower.isAway = false
		ctx.sourceAway = false
		follower.deferRemovalsUntil = now + LAPSED_GRACE_MS
		ctx.log.write('source back', {
			awayMs: Math.round(now - follower.answeredAt),
		})
	}
	follower.answeredAt = now
}

function takeSnapshot(
	ctx: GatewayContext,
	snapshot: CatalogSnapshot,
	whole: boolean,
	follower: CatalogFollower,
	now: number,
): void {
	for (const reason of snapshot.faults)
		ctx.log.write('published value refused', { reason })
	if (snapshot.config) adoptConfig(ctx, snapshot.config, 'source')
	const isCopy = whole && isOlderCopy(ctx, follower, snapshot.revision)
	if (whole) noteTerm(ctx, follower, snapshot.revision)
	if (isCopy) follower.deferRemovalsUntil = now + LAPSED_GRACE_MS
	const missing = whole ? listMissing(ctx, snapshot) : []
	const before = ctx.list.revision
	applyRecords(ctx, [...snapshot.servers, ...missing], {
		from: isCopy ? 'copy' : 'source',
		deferRemovalsUntil: follower.deferRemovalsUntil,
	})
	noteRead(ctx.list, snapshot.revision)
	if (isCopy) logTerm(ctx, before, snapshot, missing.length)
}

function noteTerm(
	ctx: GatewayContext,
	follower: CatalogFollower,
	{ term }: TermRevision,
): void {
	follower.term = term
	ctx.metrics.sourceTerm.set(term)
}

function listMissing(
	{ list }: GatewayContext,
	{ servers, revision }: CatalogSnapshot,
): ServerRecord[] {
	const present = new Set(servers.map(record => record.name))
	return findMissing(list, present, revision)
}

/** Whether the source has come back from an older copy since it was last read. */
function isOlderCopy(
	{ list }: GatewayContext,
	follower: CatalogFollower,
	{ term }: TermRevision,
): boolean {
	if (follower.term !== undefined) return term > follower.term
	const told = [...list.records.values()]
	return told.some(({ server, revision }) => server && revision.term < term)
}

function logTerm(
	ctx: GatewayContext,
	before: TermRevision,
	{ revision, servers }: CatalogSnapshot,
	missing: number,
): void {
	const { list } = ctx
	ctx.metrics.sourceTerms.inc()
	ctx.log.write('source went back', {
		backFrom: formatRevision(before),
		backTo: formatRevision(revision),
		listed: servers.length,
		missing,
		doubted: list.doubted.size,
		returning: list.returning.size,
	})
}

/** Believes removals whose time has come. */
export function tickCatalog(ctx: GatewayContext): void {
	const settled = settleRemovals(ctx.list, readElapsed())
	for (const { name } of settled)
		ctx.log.write('server', { server: name, state: 'gone', from: 'not back' })
	ctx.settledRemovals.push(...settled)
	const returned = settleReturns(ctx.list, readElapsed())
	for (const record of returned) logRecord(ctx, record, 'still listed')
	if (settled.length + returned.length > 0) refreshFleet(ctx)
}

/** Puts a configuration in force unless it is older; true when it is news. */
export function adoptConfig(
	ctx: GatewayContext,
	published: PublishedConfig,
	from: string,
): boolean {
	const { version } = published.config
	const held = ctx.routes?.config.version
	if (held !== undefined && version <= held) return false
	ctx.routes = createRouteTable(published.config)
	ctx.published = published
	ctx.configSince = readNow()
	ctx.metrics.configVersion.set(version)
	ctx.log.write('configuration in force', {
		version,
		before: held,
		from,
		routes: published.config.routes.length,
	})
	refreshFleet(ctx)
	return true
}
