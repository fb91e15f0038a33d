/** Applies server records from the source and from other entries to the server list. */

import type { ListedServer, ServerRecord, UpdateOf } from '@juniperhook/core'
import {
	applyPeerRecord,
	applyRecord,
	applyRestoredRecord,
	deferRemoval,
	formatRevision,
	isEvacuated,
	markDisplaced,
	mergeServerUpdates,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { recordListedCold } from './coldServers.ts'
import type { GatewayContext } from './context.ts'
import { resolveChecksByList } from './crashDetector.ts'
import { applyServerList } from './fleet.ts'
import { enqueueUpdates } from './outbox.ts'
import { closeIdle } from './serverPool.ts'
import { serveQueues } from './serverQueue.ts'

/** Origin of records: the source, an older copy that it was restored from, or a peer. */
export type RecordOrigin =
	| { readonly from: 'source' | 'copy'; readonly deferRemovalsUntil: number }
	| { readonly from: 'peer'; readonly peer: string }

/** Applies server records. */
export function applyRecords(
	ctx: GatewayContext,
	records: readonly ServerRecord[],
	origin: RecordOrigin,
): void {
	const now = readElapsed()
	const from = origin.from === 'peer' ? origin.peer : origin.from
	// The servers that are listed when this entry starts may have run for long.
	const isFirst = ctx.list.records.size === 0
	const started = isFirst ? [] : records.filter(one => isStarted(ctx, one))
	const changes = records.filter(record => applyFrom(ctx, record, origin, now))
	for (const record of changes) {
		if (record.server)
			recordListedCold(ctx, record.server, started.includes(record))
		logRecord(ctx, record, from)
	}
	if (changes.length > 0) refreshFleet(ctx)
}

/** Whether a record shows an incarnation that was not known before. */
function isStarted(
	{ list }: GatewayContext,
	{ name, server }: ServerRecord,
): boolean {
	if (!server || server.leaving || list.removed.has(server.id)) return false
	return list.records.get(name)?.server?.id !== server.id
}

/** Applies a record as its origin permits. Returns whether it changed the list. */
function applyFrom(
	{ list }: GatewayContext,
	record: ServerRecord,
	origin: RecordOrigin,
	now: number,
): boolean {
	if (origin.from === 'peer') return applyPeerRecord(list, record, now)
	const isRemoval = !record.server && record.fault === undefined
	if (isRemoval && now < origin.deferRemovalsUntil) {
		deferRemoval(list, record, origin.deferRemovalsUntil)
		return false
	}
	return origin.from === 'copy'
		? applyRestoredRecord(list, record, now)
		: applyRecord(list, record)
}

/** Logs the state of a server. */
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
 * Merges updates of servers that leave or have left. This is final: later records of the
 * same incarnation from the source do not bring it back.
 */
export function recordLeaving(
	ctx: GatewayContext,
	updates: readonly UpdateOf<'left'>[],
	from: string,
): void {
	const changes = mergeServerUpdates(ctx.sharedState, updates, readElapsed())
	if (changes.length === 0) return
	enqueueUpdates(ctx.outbox, changes)
	for (const { server } of changes)
		ctx.log.write('server', { server, state: 'leaving', from })
	refreshFleet(ctx)
}

/** Removes a server whose address answered with another server's identity. */
export function dropDisplaced(ctx: GatewayContext, id: string): void {
	markDisplaced(ctx.list, id)
	ctx.log.write('server', { server: id, state: 'displaced', from: 'answer' })
	refreshFleet(ctx)
}

/** Updates everything that depends on the server list and the configuration. */
export function refreshFleet(ctx: GatewayContext): void {
	const { fleet, list, routes, settings, sharedState } = ctx
	const before = fleet.servers
	const isOpen = ({ dataCentre }: ListedServer) =>
		!isEvacuated(sharedState.evacuations, dataCentre)
	applyServerList(fleet, list, settings.dataCentre, routes, isOpen)
	closeStaleConnections(ctx, before)
	resolveChecksByList(ctx)
	serveQueues(ctx)
}

/**
 * Closes idle connections to former incarnations of servers. After a network partition
 * these stay half-open, and a request sent on one is lost.
 */
function closeStaleConnections(
	{ fleet, list, pool, log }: GatewayContext,
	before: readonly ListedServer[],
): void {
	for (const { id, name, address } of before) {
		if (fleet.table.rowOf.has(id)) continue
		closeIdle(pool, address)
		const current = list.records.get(name)?.server
		if (current && current.id !== id)
			log.write('server started again', { server: current.id, before: id })
	}
}
