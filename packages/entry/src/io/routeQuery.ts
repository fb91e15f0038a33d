/** Which servers a request may go to, and whose cache may help it. */

import type { RouteQuery } from '@juniperhook/core'
import { findKeyHome, findPrefix, scopeKey } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { EntryContext, Exchange } from './entryContext.ts'
import { findSoonest, listFree, peerOfRow, wakePeer } from './servers.ts'

/** The choice to be made for a try that avoids row `avoid`, or -1. */
export function createQuery(
	ctx: EntryContext,
	exchange: Exchange,
	avoid: number,
): RouteQuery {
	const candidates = candidateRows(ctx, exchange)
	const rows = listUsable(ctx, candidates)
	const { prefix } = exchange.intake
	const mark =
		prefix === undefined
			? undefined
			: findPrefix(ctx.affinity, prefix, readNow())
	const cachedRow = mark ? (ctx.servers.table.rowOf.get(mark.server) ?? -1) : -1
	return { rows, avoid, cachedRow, credit: mark?.credit ?? 0 }
}

/** Who takes something now; if nobody does, who is the first to: it tells when. */
function listUsable(
	{ servers }: EntryContext,
	candidates: readonly number[],
): readonly number[] {
	const free = listFree(servers, candidates)
	if (free.length > 0) return free
	const soonest = findSoonest(servers, candidates)
	return soonest === undefined ? candidates : [soonest]
}

/** Whether a request may wait at a server that takes nothing for now. */
export function mayWaitAt(
	ctx: EntryContext,
	exchange: Exchange,
	row: number,
): boolean {
	const free = listFree(ctx.servers, candidateRows(ctx, exchange))
	return free.every(one => one === row)
}

/** Rows of the servers that can serve the request; a key has one, its home. */
export function candidateRows(
	ctx: EntryContext,
	exchange: Exchange,
): readonly number[] {
	const { target, key } = exchange.intake
	switch (target.kind) {
		case 'model':
			return ctx.servers.rowsOfModel.get(target.model) ?? []
		case 'service': {
			const rows = ctx.servers.rowsOfService.get(target.service) ?? []
			return key ? homeRow(ctx, exchange, target.service, key.value) : rows
		}
		default:
			return target satisfies never
	}
}

function homeRow(
	ctx: EntryContext,
	exchange: Exchange,
	service: string,
	key: string,
): readonly number[] {
	if (!ctx.config) return []
	const scoped = scopeKey(exchange.intake.teamName, service, key)
	const home = findKeyHome(ctx.config, service, scoped)
	const row = home && ctx.servers.table.rowOf.get(home)
	return typeof row === 'number' ? [row] : []
}

/** The home of a key may lie outside this entry's subset. */
export function wakeOnly(ctx: EntryContext, row: number): boolean {
	return wakePeer(ctx.servers, peerOfRow(ctx.servers, row))
}
