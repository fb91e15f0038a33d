/**
 * Pulls configurations and server records from peers that are ahead. At most one pull of
 * each kind is in progress, whatever the number of such peers: the answers share one
 * link, and parallel pulls delay each other beyond their timeouts. After a failure, the
 * next peer that sends its state is tried; each sends it twice a second.
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
 * Records per page, of about 250 bytes each. A page is extended to the end of its last
 * revision: the next page starts after that revision and would skip the rest of it.
 */
const PAGE_RECORDS = 200

/**
 * Delay before pulling what a peer is ahead with, ms: in most cases the answer of the
 * source itself is already on its way.
 */
const PULL_GRACE_MS = 300

/** Pulls in progress, and what peers are ahead with. */
export interface PeerPulls {
	readonly source: CatalogSource
	readonly pending: Set<PullKind>
	/** Gaps to peers that are ahead, by kind. */
	readonly gaps: Map<PullKind, Gap>
}

/** A newer version announced by a peer. */
interface Gap {
	/** The newer version; the gap is closed once this entry has it. */
	readonly target: TermRevision
	/** When it was announced first, ms. */
	readonly since: number
}

/** What an entry pulls from peers. */
export type PullKind = 'config' | 'records'

/** Creates a state without pulls. */
export function createPeerPulls(source: CatalogSource): PeerPulls {
	return { source, pending: new Set(), gaps: new Map() }
}

/** Pulls from a peer what it is ahead with according to its state. */
export function pullIfBehind(
	ctx: GatewayContext,
	pulls: PeerPulls,
	state: PeerState,
	link: RpcLink,
): void {
	if (
		isPullDue(
			pulls,
			'config',
			asRevision(activeVersion(ctx)),
			asRevision(state.config),
		)
	)
		void pull(ctx, pulls, 'config', state, () =>
			pullConfig(ctx, pulls.source, state, link),
		)
	if (isPullDue(pulls, 'records', ctx.list.revision, state.list))
		void pull(ctx, pulls, 'records', state, () =>
			pullRecords(ctx, state.name, link),
		)
}

/**
 * Whether a peer is ahead, and the grace period for the source's own answer is over. An
 * entry without any version does not wait.
 */
function isPullDue(
	{ gaps }: PeerPulls,
	kind: PullKind,
	own: TermRevision,
	ofPeer: TermRevision,
): boolean {
	if (!isLater(ofPeer, own)) return false
	const now = readNow()
	const gap = gaps.get(kind)
	const hasNothing = !isLater(own, NO_REVISION)
	if (gap && isLater(gap.target, own))
		return hasNothing || now - gap.since >= PULL_GRACE_MS
	gaps.set(kind, { target: ofPeer, since: now })
	return hasNothing
}

/** Converts a configuration's version, which has no term. */
function asRevision(version: number): TermRevision {
	return { term: 0, revision: version }
}

/** Returns the version of the active configuration; -1 before the first. */
export function activeVersion({ routes }: GatewayContext): number {
	return routes?.config.version ?? -1
}

async function pull(
	ctx: GatewayContext,
	pulls: PeerPulls,
	kind: PullKind,
	state: PeerState,
	fetch: () => Promise<PullResult>,
): Promise<void> {
	if (pulls.pending.has(kind)) return
	pulls.pending.add(kind)
	const startedAt = readNow()
	const inputs = { held: activeVersion(ctx), told: state.config }
	let result: PullResult
	try {
		result = await fetch()
	} catch (err) {
		result = { outcome: 'failed', reason: messageOf(err), bytes: 0 }
	}
	pulls.pending.delete(kind)
	ctx.metrics.pulls.inc({ kind, outcome: result.outcome })
	ctx.metrics.pulledBytes.inc(result.bytes)
	ctx.log.write('peer asked', {
		peer: state.name,
		kind,
		...inputs,
		...result,
		tookMs: Math.round(readNow() - startedAt),
	})
}

/** Result of a pull. */
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
	// The source's own answer may have arrived first.
	if (state.config <= activeVersion(ctx)) return { outcome: 'known', bytes }
	const published = source.decode(fetched.text)
	if (!published) return { outcome: 'refused', bytes }
	const isActivated = adoptConfig(ctx, published, state.name)
	return { outcome: isActivated ? 'taken' : 'known', bytes }
}

async function pullRecords(
	ctx: GatewayContext,
	peer: string,
	link: RpcLink,
): Promise<PullResult> {
	let after = laterOf(ctx.list.revision, ctx.list.readUpTo)
	let count = 0
	for (;;) {
		const reply = await call(link, 'records', { after })
		const page = v.parse(RecordsSchema, reply)
		const records = page.records.map(toRecord)
		applyRecords(ctx, records, { from: 'peer', peer })
		count += records.length
		after = records.reduce((last, one) => laterOf(last, one.revision), after)
		if (!page.hasMore || records.length === 0) break
	}
	return { outcome: count > 0 ? 'taken' : 'known', bytes: 0 }
}

/** Answers a peer's request for newer records. */
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

/** Applies removals confirmed by a peer, while this entry has lost the source. */
export function receiveRemovals(ctx: GatewayContext, params: unknown): void {
	const { records } = v.parse(RemovalsSchema, params)
	applyRecords(ctx, records.map(toRecord), { from: 'peer', peer: 'a peer' })
}

function toRecord({
	name,
	revision,
	server,
	fault,
}: Records['records'][number]): ServerRecord {
	return { name, revision, server, fault }
}
