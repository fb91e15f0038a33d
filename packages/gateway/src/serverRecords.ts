/**
 * What is believed of servers by what the source and other entries tell, and what follows
 * from it.
 */

import type { ListedServer, ServerRecord, UpdateOf } from '@juniperhook/core'
import {
	applyPeerRecord,
	applyRecord,
	applyRestoredRecord,
	deferRemoval,
	formatRevision,
	markDisplaced,
	mergeServerUpdates,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { settleByList } from './crashDetector.ts'
import { applyServerList } from './fleet.ts'
import { postNews } from './outbox.ts'
import { closeIdle } from './serverPool.ts'
import { serveQueues } from './serverQueue.ts'

/** Where records come from: the source, an older copy of it, or another entry. */
export type RecordOrigin =
	| { readonly from: 'source' | 'copy'; readonly doubtUntil: number }
	| { readonly from: 'peer'; readonly peer: string }

/** Takes records of servers. */
export function takeRecords(
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
	if (origin.from === 'peer') return applyPeerRecord(list, record, now)
	const mayHaveLapsed = !record.server && record.fault === undefined
	if (mayHaveLapsed && now < origin.doubtUntil) {
		deferRemoval(list, record, origin.doubtUntil)
		return false
	}
	return origin.from === 'copy'
		? applyRestoredRecord(list, record, now)
		: applyRecord(list, record)
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
export function recordLeaving(
	ctx: GatewayContext,
	told: readonly UpdateOf<'left'>[],
	from: string,
): void {
	const fresh = mergeServerUpdates(ctx.sharedState, told, readElapsed())
	if (fresh.length === 0) return
	postNews(ctx.outbox, fresh)
	for (const { server } of fresh)
		ctx.log.write('server', { server, state: 'leaving', from })
	refreshFleet(ctx)
}

/** Takes a server out that has said that it is another one. */
export function dropDisplaced(ctx: GatewayContext, id: string): void {
	markDisplaced(ctx.list, id)
	ctx.log.write('server', { server: id, state: 'displaced', from: 'answer' })
	refreshFleet(ctx)
}

/** Fits what depends on the list and the configuration to them. */
export function refreshFleet(ctx: GatewayContext): void {
	const { fleet, list, routes, settings } = ctx
	const before = fleet.servers
	applyServerList(fleet, list, settings.dataCentre, routes)
	closeEnded(ctx, before)
	settleByList(ctx)
	serveQueues(ctx)
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
