/** Candidate servers of a request, and the one that may have its prefix cached. */

import type { RouteQuery } from '@juniperhook/core'
import { findKeyHome, findPrefix, scopeKey } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { EntryContext, Exchange } from './entryContext.ts'
import {
	ensureLink,
	findFirstAvailable,
	listAvailable,
	peerOfRow,
} from './servers.ts'

/** Creates the query for an attempt that avoids row `avoid`; -1 for none. */
export function createRouteQuery(
	ctx: EntryContext,
	exchange: Exchange,
	avoid: number,
): RouteQuery {
	const candidates = candidateRows(ctx, exchange)
	const rows = listPreferred(ctx, candidates)
	const { prefix } = exchange.request
	const cached =
		prefix === undefined
			? undefined
			: findPrefix(ctx.affinity, prefix, readNow())
	const cachedRow = cached
		? (ctx.servers.table.rowOf.get(cached.server) ?? -1)
		: -1
	return { rows, avoid, cachedRow, cacheConfidence: cached?.credit ?? 0 }
}

/**
 * Returns the candidates that accept requests now. If there are none, returns the one
 * that will first, which refuses with the earliest Retry-After.
 */
function listPreferred(
	{ servers }: EntryContext,
	candidates: readonly number[],
): readonly number[] {
	const available = listAvailable(servers, candidates)
	if (available.length > 0) return available
	const first = findFirstAvailable(servers, candidates)
	return first === undefined ? candidates : [first]
}

/** Whether a request may wait at the server in `row`: only if no other is available. */
export function mayWaitAt(
	ctx: EntryContext,
	exchange: Exchange,
	row: number,
): boolean {
	const available = listAvailable(ctx.servers, candidateRows(ctx, exchange))
	return available.every(other => other === row)
}

/** Returns the rows of servers that can serve the request; with a key, its key home. */
export function candidateRows(
	ctx: EntryContext,
	exchange: Exchange,
): readonly number[] {
	const { target, key } = exchange.request
	switch (target.kind) {
		case 'model':
			return ctx.servers.rowsOfModel.get(target.model) ?? []
		case 'service': {
			const rows = ctx.servers.rowsOfService.get(target.service) ?? []
			return key ? findHomeRow(ctx, exchange, target.service, key.value) : rows
		}
		default:
			return target satisfies never
	}
}

function findHomeRow(
	ctx: EntryContext,
	exchange: Exchange,
	service: string,
	key: string,
): readonly number[] {
	if (!ctx.config) return []
	const scoped = scopeKey(exchange.request.teamName, service, key)
	const home = findKeyHome(ctx.config, service, scoped)
	const row = home && ctx.servers.table.rowOf.get(home)
	return typeof row === 'number' ? [row] : []
}

/**
 * Opens a link to a key home outside this entry's subset; returns false if a link was
 * kept already.
 */
export function ensureLinkToRow(ctx: EntryContext, row: number): boolean {
	return ensureLink(ctx.servers, peerOfRow(ctx.servers, row))
}
