/**
 * Exchange of server updates between entries: changes are sent at once, the whole state
 * on a new link, and each entry forwards the updates that change its state, until all
 * entries have them.
 */

import type { ServerUpdate, UpdateOf } from '@juniperhook/core'
import { listLimitUpdates, listServerUpdates } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { drainOutbox } from './outbox.ts'
import type { WireUpdate } from './peerMessages.ts'
import { receiveCrashUpdates } from './quarantineGate.ts'
import { receiveLimits } from './rateLimits.ts'
import { receiveBackoffs } from './serverBackoffs.ts'
import { recordLeaving } from './serverRecords.ts'

/** Maximum number of departed servers, the most recent, that are sent on a new link. */
const MAX_DEPARTED_SENT = 512

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
			const { kind, fingerprint, at } = update
			return { kind, fingerprint, agoMs: agoMs(at) }
		}
		case 'rest': {
			const { kind, server, entry, endsAt } = update
			return { kind, server, entry, leftMs: Math.round(endsAt - now) }
		}
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
			return { kind, fingerprint, at: now - agoMs }
		}
		case 'rest': {
			const { kind, server, entry, leftMs } = item
			return { kind, server, entry, endsAt: now + leftMs }
		}
		default:
			return item satisfies never
	}
}
