/**
 * Follows the published configuration and server list by watching the source. Values
 * also arrive from peers; the newer version wins, whatever its origin.
 */

import type { ServerRecord, TermRevision } from '@juniperhook/core'
import {
	confirmRemovals,
	confirmReturns,
	createRouteTable,
	findMissing,
	formatRevision,
	isSameRevision,
	isWatchCut,
	recordRead,
} from '@juniperhook/core'
import { readElapsed, readNow, sleep } from '@juniperhook/runtime'
import { recordListedCold } from './coldServers.ts'
import type { GatewayContext } from './context.ts'
import {
	applyPublishedEvacuations,
	confirmRestoredEvacuations,
} from './evacuations.ts'
import { deriveFeatures } from './features.ts'
import type {
	CatalogSnapshot,
	CatalogSource,
	PublishedConfig,
	SourceResult,
} from './ports.ts'
import { applyRecords, logRecord, refreshFleet } from './serverRecords.ts'
import { unlessSuspended } from './suspension.ts'

/**
 * Timeout of a watch, as a share of the contact time. A watch whose answer was lost, or
 * whose path was interrupted, only ends at its timeout. The rest of the contact time is
 * left for catching up, since all changes must be known again when it is over.
 */
const WATCH_TIMEOUT_SHARE = 0.6
/**
 * Delay between a change and the next watch, ms. Changes often arrive in bursts, and
 * batching them saves calls, at the price of a later activation. During a burst, such
 * as the start of a fleet, the delay doubles up to this share of the contact time.
 */
const BATCH_DELAY_MS = 100
const MAX_BATCH_DELAY_SHARE = 0.15
/** A watch that reports a change within this time continues a burst, ms. */
const BURST_MS = 300
/**
 * Timeout of the first watch after a failed call, ms: it fetches what has changed so
 * far. A full read would transfer the whole configuration again, up to a megabyte, over
 * a link that may have been too slow for the change itself.
 */
const CATCH_UP_WAIT_MS = 1
/** Exponential backoff between calls to a source that fails or cuts its watches, ms. */
const MIN_BACKOFF_MS = 100
const MAX_BACKOFF_MS = 400
/** The source counts as unavailable after this time without an answer, ms. */
const SOURCE_TIMEOUT_MS = 1_000
/**
 * How long records that expired during an outage of the source stay valid after its
 * return, ms: the servers renew theirs within two seconds.
 */
const REMOVAL_GRACE_MS = 1_900

/** Result of a watch during which the VM was suspended. */
const SUSPENDED: SourceResult<CatalogSnapshot> = {
	ok: false,
	lostHistory: false,
	reason: 'suspended meanwhile',
	bytes: 0,
}

/** State of following a source. */
export interface CatalogFollower {
	/** When the source last answered, ms. */
	answeredAt: number
	/** Removals are deferred until this time, ms. */
	deferRemovalsUntil: number
	isAway: boolean
	/** Term of the last full read; undefined before the first. */
	term: number | undefined
}

/** Follows a source until the process exits. */
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
	let backoffMs = MIN_BACKOFF_MS
	let batchDelayMs = BATCH_DELAY_MS
	for (;;) {
		const isFullRead = revision === undefined
		const isCatchUp: boolean = hasFailed
		const startedAt = readElapsed()
		const result: SourceResult<CatalogSnapshot> = isFullRead
			? await source.read()
			: await unlessSuspended(
					ctx,
					source.watch(
						revision!,
						isCatchUp ? CATCH_UP_WAIT_MS : watchTimeoutMs(ctx),
					),
					SUSPENDED,
				)
		const now = readElapsed()
		ctx.metrics.sourceCalls.inc({ outcome: result.ok ? 'answered' : 'failed' })
		ctx.metrics.sourceBytes.inc(result.bytes)
		hasFailed = !result.ok
		if (!result.ok) {
			ctx.log.write('source call failed', {
				call: isFullRead ? 'read' : 'watch',
				after: revision && formatRevision(revision),
				reason: result.reason,
				bytes: result.bytes,
				tookMs: Math.round(now - startedAt),
			})
			handleSourceFailure(ctx, follower, now, result.reason)
			if (result.lostHistory) {
				revision = undefined
				backoffMs = MIN_BACKOFF_MS
			}
			await sleep(backoffMs * (0.5 + ctx.random()))
			backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS)
			continue
		}
		handleSourceAnswer(ctx, follower, now)
		applySnapshot(ctx, result.value, isFullRead, follower, now)
		const isChanged =
			!isFullRead && !isSameRevision(result.value.revision, revision!)
		const isCut =
			!isFullRead && !isCatchUp && isWatchCut(now - startedAt, isChanged)
		revision = result.value.revision
		if (isCut) {
			await sleep(backoffMs * (0.5 + ctx.random()))
			backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS)
			continue
		}
		backoffMs = MIN_BACKOFF_MS
		if (!isChanged) continue
		batchDelayMs =
			now - startedAt < BURST_MS ? batchDelayMs * 2 : BATCH_DELAY_MS
		await sleep(
			Math.min(batchDelayMs, ctx.settings.contactMs * MAX_BATCH_DELAY_SHARE),
		)
	}
}

function watchTimeoutMs({ settings }: GatewayContext): number {
	return Math.round(settings.contactMs * WATCH_TIMEOUT_SHARE)
}

function handleSourceFailure(
	ctx: GatewayContext,
	follower: CatalogFollower,
	now: number,
	reason: string,
): void {
	if (follower.isAway || now - follower.answeredAt < SOURCE_TIMEOUT_MS) return
	follower.isAway = true
	ctx.sourceAway = true
	ctx.log.write('source lost', {
		reason,
		silentMs: Math.round(now - follower.answeredAt),
	})
}

function handleSourceAnswer(
	ctx: GatewayContext,
	follower: CatalogFollower,
	now: number,
): void {
	if (follower.isAway) {
		follower.isAway = false
		ctx.sourceAway = false
		follower.deferRemovalsUntil = now + REMOVAL_GRACE_MS
		ctx.log.write('source back', {
			awayMs: Math.round(now - follower.answeredAt),
		})
	}
	follower.answeredAt = now
}

function applySnapshot(
	ctx: GatewayContext,
	snapshot: CatalogSnapshot,
	isFullRead: boolean,
	follower: CatalogFollower,
	now: number,
): void {
	for (const reason of snapshot.faults)
		ctx.log.write('published value refused', { reason })
	if (snapshot.config) adoptConfig(ctx, snapshot.config, 'source')
	applyPublishedEvacuations(ctx, snapshot, isFullRead)
	const isRollback =
		isFullRead && isRestoredCopy(ctx, follower, snapshot.revision)
	if (isFullRead) recordTerm(ctx, follower, snapshot.revision)
	if (isRollback) follower.deferRemovalsUntil = now + REMOVAL_GRACE_MS
	const missing = isFullRead ? findMissingRecords(ctx, snapshot) : []
	const before = ctx.list.revision
	applyRecords(ctx, [...snapshot.servers, ...missing], {
		from: isRollback ? 'copy' : 'source',
		deferRemovalsUntil: follower.deferRemovalsUntil,
	})
	recordRead(ctx.list, snapshot.revision)
	if (isRollback) logRollback(ctx, before, snapshot, missing.length)
}

function recordTerm(
	ctx: GatewayContext,
	follower: CatalogFollower,
	{ term }: TermRevision,
): void {
	follower.term = term
	ctx.metrics.sourceTerm.set(term)
}

function findMissingRecords(
	{ list }: GatewayContext,
	{ servers, revision }: CatalogSnapshot,
): ServerRecord[] {
	const present = new Set(servers.map(record => record.name))
	return findMissing(list, present, revision)
}

/** Whether the source was restored from an older copy since the last full read. */
function isRestoredCopy(
	{ list }: GatewayContext,
	follower: CatalogFollower,
	{ term }: TermRevision,
): boolean {
	if (follower.term !== undefined) return term > follower.term
	const known = [...list.records.values()]
	return known.some(({ server, revision }) => server && revision.term < term)
}

function logRollback(
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
		doubted: list.pendingRemovals.size,
		returning: list.pendingReturns.size,
	})
}

/** Applies deferred removals and returns that are due. */
export function tickCatalog(ctx: GatewayContext): void {
	confirmRestoredEvacuations(ctx)
	const removals = confirmRemovals(ctx.list, readElapsed())
	for (const { name } of removals)
		ctx.log.write('server', { server: name, state: 'gone', from: 'not back' })
	ctx.settledRemovals.push(...removals)
	const returns = confirmReturns(ctx.list, readElapsed())
	for (const record of returns) {
		if (record.server) recordListedCold(ctx, record.server, false)
		logRecord(ctx, record, 'still listed')
	}
	if (removals.length + returns.length > 0) refreshFleet(ctx)
}

/**
 * Activates a configuration unless the active one is at least as new. Returns whether
 * it was activated.
 */
export function adoptConfig(
	ctx: GatewayContext,
	published: PublishedConfig,
	from: string,
): boolean {
	const { version } = published.config
	const active = ctx.routes?.config.version
	if (active !== undefined && version <= active) return false
	ctx.routes = createRouteTable(published.config)
	ctx.features = deriveFeatures(published.config, ctx.settings)
	ctx.published = published
	ctx.configAppliedAt = readNow()
	ctx.metrics.configVersion.set(version)
	ctx.log.write('configuration in force', {
		version,
		before: active,
		from,
		routes: published.config.routes.length,
	})
	refreshFleet(ctx)
	return true
}
