/** Cold servers, as their records, their answers and other entries state them. */

import type { ListedServer, UpdateOf } from '@juniperhook/core'
import {
	applyStatedColdMs,
	listedColdMs,
	mergeServerUpdates,
	pruneColdServers,
	pruneStarts,
	recordTurn,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { enqueueUpdates } from './outbox.ts'
import type { StatementOrigin } from './ports.ts'

/**
 * Records how long a listed server remains cold. The time counts from now on, as the age
 * of the record is not known.
 */
export function recordListedCold(
	ctx: GatewayContext,
	{ id, service, coldMs }: ListedServer,
	isNewIncarnation: boolean,
): void {
	const cold = ctx.routes?.services.get(service)?.cold
	const leftMs = listedColdMs(coldMs, isNewIncarnation, cold)
	if (leftMs <= 0) return
	const endsAt = readElapsed() + leftMs
	receiveColdUpdates(ctx, [{ kind: 'cold', server: id, endsAt }], 'record')
}

/** Applies the remaining time that an answer states; no statement changes nothing. */
export function recordStatedCold(
	ctx: GatewayContext,
	{ server, sentAt }: StatementOrigin,
	leftMs: number | undefined,
): void {
	if (leftMs === undefined) return
	const { coldServers } = ctx.sharedState
	const now = readElapsed()
	if (!applyStatedColdMs(coldServers, server, { leftMs, sentAt }, now)) return
	const endsAt = coldServers.get(server)!.endsAt
	recordChanges(ctx, [{ kind: 'cold', server, endsAt }], 'answer')
}

/** Merges updates of cold servers. */
export function receiveColdUpdates(
	ctx: GatewayContext,
	updates: readonly UpdateOf<'cold'>[],
	from: string,
): void {
	const { departed } = ctx.list
	const current = updates.filter(({ server }) => !departed.has(server))
	const changes = mergeServerUpdates(ctx.sharedState, current, readElapsed())
	recordChanges(ctx, changes, from)
}

function recordChanges(
	ctx: GatewayContext,
	changes: readonly UpdateOf<'cold'>[],
	from: string,
): void {
	const { outbox, log, metrics, sharedState, fleet, routes } = ctx
	enqueueUpdates(outbox, changes)
	const now = readElapsed()
	for (const { server, endsAt } of changes) {
		const row = fleet.table.rowOf.get(server)
		const service = row === undefined ? undefined : fleet.servers[row]!.service
		log.write('server cold', {
			server,
			forMs: Math.round(endsAt - now),
			// Undefined without a published rate: the server then counts as warm.
			perSecond: service && routes?.services.get(service)?.cold?.perSecond,
			from,
		})
	}
	metrics.coldServers.set(sharedState.coldServers.size)
}

/** Ends cold periods that are over, and drops counts that are no longer needed. */
export function expireColdServers(ctx: GatewayContext): void {
	const { sharedState, coldGate, list, fleet, metrics } = ctx
	const now = readElapsed()
	recordTurn(coldGate.starts, now)
	pruneStarts(coldGate.starts, now)
	if (sharedState.coldServers.size === 0) return
	const isGone = (id: string) => list.departed.has(id)
	const ended = pruneColdServers(sharedState.coldServers, isGone, now)
	for (const server of ended) {
		const row = fleet.table.rowOf.get(server)
		if (row !== undefined && fleet.table.open[row] === 1)
			fleet.table.startsLeft[row] = Number.POSITIVE_INFINITY
		ctx.log.write('server warm', { server })
	}
	metrics.coldServers.set(sharedState.coldServers.size)
}
