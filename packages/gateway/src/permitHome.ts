/**
 * Grants permits for rate-limited servers. Each such server has a permit home, the entry
 * that grants its permits. It is chosen by rendezvous hashing, so that entries with the
 * same view of the membership choose the same one.
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
import { PermitQuerySchema } from './peerMessages.ts'
import { receiveLimits } from './rateLimits.ts'

/** Updates the membership, and permit homes when the reachable entries have changed. */
export function updatePermitHomes(
	ctx: GatewayContext,
	isLinked: (address: string) => boolean,
): void {
	const { membership, pools, homes } = ctx.permitHomes
	const { control } = ctx.settings
	if (!updateEntryMembership(membership, control, isLinked, readElapsed()))
		return
	const before = [...homes]
	homes.clear()
	for (const server of [...pools.keys()])
		if (permitHomeOf(ctx, server) !== control) pools.delete(server)
	for (const [server, home] of before) {
		const current = permitHomeOf(ctx, server)
		if (current !== home)
			ctx.log.write('permit home', { server, home: current, before: home })
	}
}

/** Returns the control address of a server's permit home. */
export function permitHomeOf(ctx: GatewayContext, server: string): string {
	const { homes, membership } = ctx.permitHomes
	const known = homes.get(server)
	if (known !== undefined) return known
	const permitHome =
		findPermitHome(server, membership.reachable) ?? ctx.settings.control
	homes.set(server, permitHome)
	return permitHome
}

/** Grants permits for a server whose permit home is this entry. */
export function grantFromPool(
	ctx: GatewayContext,
	server: string,
	perSecond: number,
	request: PermitRequest,
): PermitGrant {
	const { pools, membership } = ctx.permitHomes
	const pool = pools.get(server) ?? createPermitPool()
	pools.set(server, pool)
	const schedule = permitScheduleFor(perSecond, membership.count)
	return grantPermits(pool, schedule, request, readElapsed())
}

/** Answers another entry's request for permits. */
export function answerPermits(
	ctx: GatewayContext,
	params: unknown,
): PermitReply {
	const query = v.parse(PermitQuerySchema, params)
	const { server, limit, limitAgoMs, count, withinMs } = query
	const at = readElapsed() - limitAgoMs
	receiveLimits(ctx, [{ kind: 'limit', server, perSecond: limit, at }], 'peer')
	if (permitHomeOf(ctx, server) !== ctx.settings.control)
		return { type: 'notHome' }
	const perSecond = rateLimitOf(ctx.rateLimits, server)
	// The limit has been lifted; the sender will receive that update.
	if (perSecond === undefined) return { type: 'notHome' }
	const permits = grantFromPool(ctx, server, perSecond, { count, withinMs })
	return { type: 'permits', ...permits, dueMs: [...permits.dueMs] }
}
