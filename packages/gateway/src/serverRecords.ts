/**
 * What is believed of servers by what the source and other entries tell, and what follows
 * from it.
 */

import type { ListedServer, NewsOf, ServerRecord } from '@juniperhook/core'
import {
	doubtRemoval,
	formatRevision,
	noteDisplaced,
	takeCopied,
	takeRecord,
	takeServerNews,
	takeTold,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { applyServerList } from './fleet.ts'
import { enqueueUpdates } from './outbox.ts'
import { resolveChecksByList } from './serverEnds.ts'
import { closeIdle } from './serverPool.ts'
import { serveWaiting } from './waiting.ts'

/** Where records come from: the source, an older copy of it, or another entry. */
export type RecordOrigin =
	| { readonly from: 'source' | 'copy'; readonly deferRemovalsUntil: number }
	| { readonly from: 'peer'; readonly peer: string }

/** Takes records of servers. */
export function applyRecords(
	ctx: GatewayContext,
	records: readonly ServerRecord[],
	origin: RecordOrigin,
): void {
	const now = readElapsed()
	const from = origin.from === 'peer' ? origin.peer : origin.from
	const news = records.filter(record => takeFrom(ctx, record, origin, now))
	for (const record of news) logRecord(ctx, record, from)
	if (news.length > 0) refreshFleet(ctx)
}

/** Takes a record as far as its origin is believed; true when it is news. */
function takeFrom(
	{ list }: GatewayContext,
	record: ServerRecord,
	origin: RecordOrigin,
	now: number,
): boolean {
	if (origin.from === 'peer') return takeTold(list, record, now)
	const mayHaveLapsed = !record.server && record.fault === undefined
	if (mayHaveLapsed && now < origin.deferRemovalsUntil) {
		doubtRemoval(list, record, origin.deferRemovalsUntil)
		return false
	}
	return origin.from === 'copy'
		? takeCopied(list, record, now)
		: takeRecord(list, record)
}

/** Writes what has become of a server. */
export function logRecord(
	ctx: GatewayContext,
	record: ServerRecord,
	from: string,
): void {
	const { server, fault } = record
	if (fault !== undefined) ctx.metrics.unreadableEntries.inc()
	ctx.log.write('server', {
		server: server?.id ?? record.name,
		state: stateOf(record),
		fault,
		service: server?.service,
		address: server?.address,
		revision: formatRevision(record.revision),
		from,
	})
}

function stateOf({ server, fault }: ServerRecord): string {
	if (fault !== undefined) return 'unreadable'
	if (!server) return 'gone'
	return server.leaving ? 'leaving' : 'serving'
}

/**
 * Takes news of servers that leave or have left. Nothing that the source tells of the
 * same lives brings them back.
 */
export function noteLeaving(
	ctx: GatewayContext,
	told: readonly NewsOf<'left'>[],
	from: string,
): void {
	const fresh = takeServerNews(ctx.book, told, readElapsed())
	if (fresh.length === 0) return
	enqueueUpdates(ctx.outbox, fresh)
	for (const { server } of fresh)
		ctx.log.write('server', { server, state: 'leaving', from })
	refreshFleet(ctx)
}

/** Takes a server out that has said that it is another one. */
export function dropDisplaced(ctx: GatewayContext, id: string): void {
	noteDisplaced(ctx.list, id)
	ctx.log.write('server', { server: id, state: 'displaced', from: 'answer' })
	refreshFleet(ctx)
}

/** Fits what depends on the list and the configuration to them. */
export function refreshFleet(ctx: GatewayContext): void {
	const { fleet, list, routes, settings } = ctx
	const before = fleet.servers
	applyServerList(fleet, list, settings.dataCentre, routes)
	closeEnded(ctx, before)
	resolveChecksByList(ctx)
	serveWaiting(ctx)
}

/**
 * Closes idle connections to former lives of servers: behind a cut they stay open
 * without a word, and what is sent on one is lost.
 */
function closeEnded(
	{ fleet, list, pool, log }: GatewayContext,
	before: readonly ListedServer[],
): void {
	for (const { id, name, address } of before) {
		if (fleet.table.rowOf.has(id)) continue
		closeIdle(pool, address)
		const now = list.records.get(name)?.server
		if (now && now.id !== id)
			log.write('server started again', { server: now.id, before: id })
	}
}
