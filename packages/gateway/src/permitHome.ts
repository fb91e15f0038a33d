/**
 * The side of an entry that hands out the permits of servers with a limit. All entries
 * that hear each other take the same one of them for a server's home.
 */

import type { PermitGrant, PermitRequest } from '@juniperhook/core'
import {
	createPermitPool,
	findPermitHome,
	grantPermits,
	permitScheduleFor,
	rateLimitOf,
	updateEntryMembership,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import * as v from 'valibot'
import type { GatewayContext } from './context.ts'
import type { PermitReply } from './peerMessages.ts'
import { PermitAskSchema } from './peerMessages.ts'
import { recordLimits } from './rateLimits.ts'

/** Takes stock of the entries that are heard; homes move with them. */
export function lookAtHomes(
	ctx: GatewayContext,
	isLinked: (address: string) => boolean,
): void {
	const { membership: roster, pools, homes } = ctx.permitHomes
	const { control } = ctx.settings
	if (!updateEntryMembership(roster, control, isLinked, readElapsed())) return
	const before = [...homes]
	homes.clear()
	for (const server of [...pools.keys()])
		if (homeOf(ctx, server) !== control) pools.delete(server)
	for (const [server, home] of before) {
		const after = homeOf(ctx, server)
		if (after !== home)
			ctx.log.write('permit home', { server, home: after, before: home })
	}
}

/** Control address of a server's home. */
export function homeOf(ctx: GatewayContext, server: string): string {
	const { homes, membership: roster } = ctx.permitHomes
	const known = homes.get(server)
	if (known !== undefined) return known
	const home = findPermitHome(server, roster.reachable) ?? ctx.settings.control
	homes.set(server, home)
	return home
}

/** Gives permits of a server that this entry is home to. */
export function givePermits(
	ctx: GatewayContext,
	server: string,
	perSecond: number,
	wish: PermitRequest,
): PermitGrant {
	const { pools, membership: roster } = ctx.permitHomes
	const pool = pools.get(server) ?? createPermitPool()
	pools.set(server, pool)
	const pace = permitScheduleFor(perSecond, roster.count)
	return grantPermits(pool, pace, wish, readElapsed())
}

/** Answers another entry that asks for permits. */
export function answerPermits(
	ctx: GatewayContext,
	params: unknown,
): PermitReply {
	const ask = v.parse(PermitAskSchema, params)
	const { server, limit, limitAgoMs, count, withinMs } = ask
	const at = readElapsed() - limitAgoMs
	recordLimits(ctx, [{ kind: 'limit', server, perSecond: limit, at }], 'peer')
	if (homeOf(ctx, server) !== ctx.settings.control) return { type: 'notHome' }
	const perSecond = rateLimitOf(ctx.rateLimits, server)
	// What is believed to have no limit any more: the asker will hear of it.
	if (perSecond === undefined) return { type: 'notHome' }
	const permits = givePermits(ctx, server, perSecond, { count, withinMs })
	return { type: 'permits', ...permits, dueMs: [...permits.dueMs] }
}
