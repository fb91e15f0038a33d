/**
 * News of servers between entries: told on change, all of it on a new link, and passed on
 * by whoever they are news to, until all know.
 */

import type { NewsOf, ServerNews } from '@juniperhook/core'
import { listLimitNews, listServerNews } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { drainOutbox } from './outbox.ts'
import type { WireUpdate } from './peerMessages.ts'
import { receiveCrashUpdates } from './quarantineGate.ts'
import { receiveLimits } from './rateLimits.ts'
import { noteLeaving } from './serverRecords.ts'
import { receiveBackoffs } from './serverRests.ts'

/** Ids of servers that left, of which a new link is told the last ones. */
const MAX_LEFT_TOLD = 512

/** Takes what another entry tells. */
export function takeTold(
	ctx: GatewayContext,
	items: readonly WireUpdate[],
	from: string,
): void {
	const now = readElapsed()
	const news = items.map(item => fromWire(item, now))
	const of = <K extends ServerNews['kind']>(...kinds: readonly K[]) =>
		news.filter((one): one is NewsOf<K> => kinds.some(k => k === one.kind))
	receiveLimits(ctx, of('limit'), from)
	noteLeaving(ctx, of('left'), from)
	receiveCrashUpdates(ctx, of('end', 'served'), from)
	receiveBackoffs(ctx, of('rest'), from)
}

/** What has changed since other entries were last told. */
export function drainUpdates({ outbox }: GatewayContext): WireUpdate[] {
	const now = readElapsed()
	return drainOutbox(outbox).map(one => toWire(one, now))
}

/** All that is known, for an entry that may know nothing. */
export function listAllUpdates({ book }: GatewayContext): WireUpdate[] {
	const now = readElapsed()
	return listServerNews(book, MAX_LEFT_TOLD).map(one => toWire(one, now))
}

/** What is known of limits, which is told again and again while they last. */
export function listRateLimits({ book }: GatewayContext): WireUpdate[] {
	const now = readElapsed()
	return listLimitNews(book).map(one => toWire(one, now))
}

function toWire(news: ServerNews, now: number): WireUpdate {
	const agoMs = (at: number) => Math.max(0, Math.round(now - at))
	switch (news.kind) {
		case 'limit': {
			const { kind, server, perSecond, at } = news
			return { kind, server, perSecond, agoMs: agoMs(at) }
		}
		case 'left':
			return news
		case 'end': {
			const { kind, server, at } = news
			const ran = [...news.ran].map(([one, ms]) => [one, Math.round(ms)])
			return { kind, server, agoMs: agoMs(at), ran: Object.fromEntries(ran) }
		}
		case 'served': {
			const { kind, fingerprint, at } = news
			return { kind, fingerprint, agoMs: agoMs(at) }
		}
		case 'rest': {
			const { kind, server, entry, endsAt } = news
			return { kind, server, entry, leftMs: Math.round(endsAt - now) }
		}
		default:
			return news satisfies never
	}
}

function fromWire(item: WireUpdate, now: number): ServerNews {
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
