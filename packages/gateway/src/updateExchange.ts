/**
 * Exchange of server updates between entries: changes are sent at once, the whole state
 * on a new link, and each entry forwards the updates that change its state, until all
 * entries have them.
 */

import type { ServerUpdate, UpdateOf } from '@juniperhook/core'
import {
	listEvacuationUpdates,
	listLimitUpdates,
	listServerUpdates,
} from '@juniperhook/core'
import type { RpcLink } from '@juniperhook/runtime'
import { notify, readElapsed } from '@juniperhook/runtime'
import { receiveColdUpdates } from './coldServers.ts'
import type { GatewayContext } from './context.ts'
import { receiveCrashUpdates } from './crashEvidence.ts'
import { receiveEvacuations } from './evacuations.ts'
import { drainOutbox } from './outbox.ts'
import type { WireUpdate } from './peerMessages.ts'
import { parseUpdates } from './peerMessages.ts'
import { receiveLimits } from './rateLimits.ts'
import { receiveBackoffs } from './serverBackoffs.ts'
import { recordLeaving } from './serverRecords.ts'

/** Maximum number of departed servers, the most recent, that are sent on a new link. */
const MAX_DEPARTED_SENT = 512
/** Maximum number of unknown kinds of updates that are logged. */
const MAX_UNKNOWN_KINDS = 32
/**
 * Kinds that entries of earlier versions do not know. They are sent in a message of their
 * own, since such an entry rejects the whole message.
 */
const LATER_KINDS: ReadonlySet<string> = new Set(['cold', 'evacuation'])

/** Sends updates over links. */
export function sendUpdates(
	links: readonly RpcLink[],
	updates: readonly WireUpdate[],
): void {
	const later = updates.filter(({ kind }) => LATER_KINDS.has(kind))
	const others = updates.filter(({ kind }) => !LATER_KINDS.has(kind))
	for (const items of [others, later])
		if (items.length > 0)
			for (const link of links) notify(link, 'news', { items })
}

/** Parses and merges updates from another entry; unknown ones are skipped. */
export function receiveItems(
	ctx: GatewayContext,
	items: readonly unknown[],
	from: string,
): void {
	const { updates, skippedKinds } = parseUpdates(items)
	const { updateKinds } = ctx.unrecognizedSignals
	for (const kind of skippedKinds) {
		if (updateKinds.has(kind) || updateKinds.size >= MAX_UNKNOWN_KINDS) continue
		updateKinds.add(kind)
		ctx.log.write('update skipped', { kind, from })
	}
	receiveUpdates(ctx, updates, from)
}

/** Merges updates from another entry. */
export function receiveUpdates(
	ctx: GatewayContext,
	items: readonly WireUpdate[],
	from: string,
): void {
	const now = readElapsed()
	const updates = items.map(item => fromWire(item, now))
	const ofKind = <K extends ServerUpdate['kind']>(...kinds: readonly K[]) =>
		updates.filter((one): one is UpdateOf<K> => kinds.some(k => k === one.kind))
	receiveLimits(ctx, ofKind('limit'), from)
	recordLeaving(ctx, ofKind('left'), from)
	receiveCrashUpdates(ctx, ofKind('end', 'served'), from)
	receiveBackoffs(ctx, ofKind('rest'), from)
	receiveColdUpdates(ctx, ofKind('cold'), from)
	receiveEvacuations(ctx, ofKind('evacuation'), from)
}

/** Removes and returns the updates that have not been sent to other entries yet. */
export function drainUpdates({ outbox }: GatewayContext): WireUpdate[] {
	const now = readElapsed()
	return drainOutbox(outbox).map(one => toWire(one, now))
}

/** Lists the whole state as updates, for an entry that may have none of it. */
export function listAllUpdates({ sharedState }: GatewayContext): WireUpdate[] {
	const now = readElapsed()
	return listServerUpdates(sharedState, MAX_DEPARTED_SENT).map(one =>
		toWire(one, now),
	)
}

/** Lists the known rate limits, lifted ones included; each state message repeats them. */
export function listRateLimits({ sharedState }: GatewayContext): WireUpdate[] {
	const now = readElapsed()
	return listLimitUpdates(sharedState).map(one => toWire(one, now))
}

/** Lists the evacuations, as each state message repeats them. */
export function listEvacuations({ sharedState }: GatewayContext): WireUpdate[] {
	const now = readElapsed()
	return listEvacuationUpdates(sharedState).map(one => toWire(one, now))
}

/** Converts times to ages and remaining times, as the clocks of entries differ. */
function toWire(update: ServerUpdate, now: number): WireUpdate {
	const agoMs = (at: number) => Math.max(0, Math.round(now - at))
	switch (update.kind) {
		case 'limit': {
			const { kind, server, perSecond, at } = update
			return { kind, server, perSecond, agoMs: agoMs(at) }
		}
		case 'left':
			return update
		case 'end': {
			const { kind, server, at } = update
			const ran = [...update.ran].map(([one, ms]) => [one, Math.round(ms)])
			return { kind, server, agoMs: agoMs(at), ran: Object.fromEntries(ran) }
		}
		case 'served': {
			const { kind, subject, at } = update
			return { kind, fingerprint: subject, agoMs: agoMs(at) }
		}
		case 'rest': {
			const { kind, server, entry, endsAt } = update
			return { kind, server, entry, leftMs: Math.round(endsAt - now) }
		}
		case 'cold': {
			const { kind, server, endsAt } = update
			return { kind, server, leftMs: Math.round(endsAt - now) }
		}
		case 'evacuation':
			return update
		default:
			return update satisfies never
	}
}

function fromWire(item: WireUpdate, now: number): ServerUpdate {
	switch (item.kind) {
		case 'limit': {
			const { kind, server, perSecond, agoMs } = item
			return { kind, server, perSecond, at: now - agoMs }
		}
		case 'left':
			return item
		case 'end': {
			const { kind, server, agoMs } = item
			const ran = new Map(Object.entries(item.ran))
			return { kind, server, at: now - agoMs, ran }
		}
		case 'served': {
			const { kind, fingerprint, agoMs } = item
			return { kind, subject: fingerprint, at: now - agoMs }
		}
		case 'rest': {
			const { kind, server, entry, leftMs } = item
			return { kind, server, entry, endsAt: now + leftMs }
		}
		case 'cold': {
			const { kind, server, leftMs } = item
			return { kind, server, endsAt: now + leftMs }
		}
		case 'evacuation':
			return item
		default:
			return item satisfies never
	}
}
