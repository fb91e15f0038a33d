/**
 * News of servers between entries: told on change, all of it on a new link, and passed on
 * by whoever they are news to, until all know.
 */

import type { ServerUpdate, UpdateOf } from '@juniperhook/core'
import { listLimitUpdates, listServerUpdates } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { drainOutbox } from './outbox.ts'
import type { NewsItem } from './peerMessages.ts'
import { recordEndNews } from './quarantineGate.ts'
import { recordLimits } from './rateLimits.ts'
import { recordRests } from './serverBackoffs.ts'
import { recordLeaving } from './serverRecords.ts'

/** Ids of servers that left, of which a new link is told the last ones. */
const MAX_LEFT_TOLD = 512

/** Takes what another entry tells. */
export function receiveUpdates(
	ctx: GatewayContext,
	items: readonly NewsItem[],
	from: string,
): void {
	const now = readElapsed()
	const news = items.map(item => fromWire(item, now))
	const of = <K extends ServerUpdate['kind']>(...kinds: readonly K[]) =>
		news.filter((one): one is UpdateOf<K> => kinds.some(k => k === one.kind))
	recordLimits(ctx, of('limit'), from)
	recordLeaving(ctx, of('left'), from)
	recordEndNews(ctx, of('end', 'served'), from)
	recordRests(ctx, of('rest'), from)
}

/** What has changed since other entries were last told. */
export function drainNews({ outbox }: GatewayContext): NewsItem[] {
	const now = readElapsed()
	return drainOutbox(outbox).map(one => toWire(one, now))
}

/** All that is known, for an entry that may know nothing. */
export function listNews({ sharedState: book }: GatewayContext): NewsItem[] {
	const now = readElapsed()
	return listServerUpdates(book, MAX_LEFT_TOLD).map(one => toWire(one, now))
}

/** What is known of limits, which is told again and again while they last. */
export function listLimits({ sharedState: book }: GatewayContext): NewsItem[] {
	const now = readElapsed()
	return listLimitUpdates(book).map(one => toWire(one, now))
}

function toWire(news: ServerUpdate, now: number): NewsItem {
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

function fromWire(item: NewsItem, now: number): ServerUpdate {
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
