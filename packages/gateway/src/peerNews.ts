/**
 * Takes from peers what they have and this entry lacks. One question of a kind
 * is open at a time, whatever the number of peers that are ahead: the answers
 * share one link, and asking all of them makes each come later than it is
 * waited for. A peer that fails is followed by the next that tells its state,
 * each does so twice a second.
 */

import type { ServerRecord, TermRevision } from '@juniperhook/core'
import {
	compareRevisions,
	isLater,
	laterOf,
	NO_REVISION,
} from '@juniperhook/core'
import type { RpcLink } from '@juniperhook/runtime'
import { call, messageOf, readNow } from '@juniperhook/runtime'
import * as v from 'valibot'
import { adoptConfig } from './catalog.ts'
import { fetchConfig } from './configTransfer.ts'
import type { GatewayContext } from './context.ts'
import type { PeerState, Records } from './peerMessages.ts'
import {
	RecordsRequestSchema,
	RecordsSchema,
	RemovalsSchema,
} from './peerMessages.ts'
import type { CatalogSource } from './ports.ts'
import { applyRecords } from './serverRecords.ts'

/**
 * Records handed over in one answer; one is some 250 bytes. Those of a single
 * revision stay together, so that none is passed over between two answers.
 */
const PAGE_RECORDS = 200

/**
 * What a peer has and this entry lacks is asked for after this time, ms: mostly
 * the source's own answer is on its way.
 */
const GRACE_MS = 300

/** Questions to peers that are open. */
export interface PeerPulls {
	readonly source: CatalogSource
	readonly pending: Set<PullKind>
	/** What was first seen to be lacking, by kind. */
	readonly gaps: Map<PullKind, Gap>
}

/** Something newer that a peer has. */
interface Gap {
	readonly newest: TermRevision
	readonly since: number
}

/** What an entry asks peers for. */
export type PullKind = 'config' | 'records'

/** Makes an entry's news, with nothing asked for. */
export function createPeerPulls(source: CatalogSource): PeerPulls {
	return { source, pending: new Set(), gaps: new Map() }
}

/** Asks a peer that has told its state for what it is ahead with. */
export function pullIfBehind(
	ctx: GatewayContext,
	news: PeerPulls,
	state: PeerState,
	link: RpcLink,
): void {
	if (
		isPullDue(
			news,
			'config',
			asPlace(activeVersion(ctx)),
			asPlace(state.config),
		)
	)
		void pull(ctx, news, 'config', state, () =>
			pullConfig(ctx, news.source, state, link),
		)
	if (isPullDue(news, 'records', ctx.list.revision, state.list))
		void pull(ctx, news, 'records', state, () =>
			pullRecords(ctx, state.name, link),
		)
}

/** Whether a peer is ahead with something that has not come in time. */
function isPullDue(
	{ gaps: lacking }: PeerPulls,
	kind: PullKind,
	held: TermRevision,
	told: TermRevision,
): boolean {
	if (!isLater(told, held)) return false
	const now = readNow()
	const lack = lacking.get(kind)
	const hasNothing = !isLater(held, NO_REVISION)
	if (lack && isLater(lack.newest, held))
		return hasNothing || now - lack.since >= GRACE_MS
	lacking.set(kind, { newest: told, since: now })
	return hasNothing
}

/** A configuration's version; its order knows no terms. */
function asPlace(version: number): TermRevision {
	return { term: 0, revision: version }
}

/** Version of the configuration in force; -1 before the first. */
export function activeVersion({ routes }: GatewayContext): number {
	return routes?.config.version ?? -1
}

async function pull(
	ctx: GatewayContext,
	news: PeerPulls,
	kind: PullKind,
	state: PeerState,
	fetch: () => Promise<PullResult>,
): Promise<void> {
	if (news.pending.has(kind)) return
	news.pending.add(kind)
	const begunAt = readNow()
	const inputs = { held: activeVersion(ctx), told: state.config }
	let end: PullResult
	try {
		end = await fetch()
	} catch (err) {
		end = { outcome: 'failed', reason: messageOf(err), bytes: 0 }
	}
	news.pending.delete(kind)
	ctx.metrics.pulls.inc({ kind, outcome: end.outcome })
	ctx.metrics.pulledBytes.inc(end.bytes)
	ctx.log.write('peer asked', {
		peer: state.name,
		kind,
		...inputs,
		...end,
		tookMs: Math.round(readNow() - begunAt),
	})
}

/** How a question ended. */
interface PullResult {
	readonly outcome:
		| 'taken'
		| 'known'
		| 'busy'
		| 'changed'
		| 'refused'
		| 'failed'
	readonly bytes: number
	readonly reason?: string
}

async function pullConfig(
	ctx: GatewayContext,
	source: CatalogSource,
	state: PeerState,
	link: RpcLink,
): Promise<PullResult> {
	const fetched = await fetchConfig(link, state.config)
	if (!fetched.ok) return { outcome: fetched.reason, bytes: 0 }
	const { bytes } = fetched
	// The source's own answer may have come first.
	if (state.config <= activeVersion(ctx)) return { outcome: 'known', bytes }
	const published = source.decode(fetched.text)
	if (!published) return { outcome: 'refused', bytes }
	const isNews = adoptConfig(ctx, published, state.name)
	return { outcome: isNews ? 'taken' : 'known', bytes }
}

async function pullRecords(
	ctx: GatewayContext,
	peer: string,
	link: RpcLink,
): Promise<PullResult> {
	let after = laterOf(ctx.list.revision, ctx.list.readAt)
	let count = 0
	for (;;) {
		const reply = await call(link, 'records', { after })
		const page = v.parse(RecordsSchema, reply)
		const records = page.records.map(readRecord)
		applyRecords(ctx, records, { from: 'peer', peer })
		count += records.length
		after = records.reduce((last, one) => laterOf(last, one.revision), after)
		if (!page.hasMore || records.length === 0) break
	}
	return { outcome: count > 0 ? 'taken' : 'known', bytes: 0 }
}

/** Answers a peer that asks for newer records. */
export function answerRecords(ctx: GatewayContext, params: unknown): Records {
	const { after } = v.parse(RecordsRequestSchema, params)
	const newer = [...ctx.list.records.values()]
		.filter(record => isLater(record.revision, after))
		.sort((a, b) => compareRevisions(a.revision, b.revision))
	const last = newer[PAGE_RECORDS - 1]?.revision
	const records =
		last === undefined
			? newer
			: newer.filter(one => !isLater(one.revision, last))
	return { hasMore: records.length < newer.length, records }
}

/** Takes removals that a peer had doubted, where the source is out of reach. */
export function receiveRemovals(ctx: GatewayContext, params: unknown): void {
	const { records } = v.parse(RemovalsSchema, params)
	applyRecords(ctx, records.map(readRecord), { from: 'peer', peer: 'a peer' })
}

function readRecord({
	name,
	revision,
	server,
	fault,
}: Records['records'][number]): ServerRecord {
	return { name, revision, server, fault }
}
