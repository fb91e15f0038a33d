/** What the callers of a service may expect while all of its servers have limits. */

import { listDueMs, perSecondOf } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { heldOf } from './permitGate.ts'

/** When a service's next permits may be used, if all of its servers have limits. */
export interface PermitOutlook {
	/** From now, the soonest first, ms; those that are held. */
	readonly dueMs: readonly number[]
	/** From now until more may be given, ms. */
	readonly moreMs: number
}

/** What a service's callers may expect; undefined unless all its servers have limits. */
export function outlookOf(
	ctx: GatewayContext,
	service: string,
): PermitOutlook | undefined {
	if (ctx.rateLimits.size === 0) return undefined
	const { fleet, rateLimits } = ctx
	const rows = fleet.rowsOf.get(service) ?? []
	const ids = rows.map(row => fleet.servers[row]!.id)
	const isLimited = (id: string) => perSecondOf(rateLimits, id) !== undefined
	if (ids.length === 0 || !ids.every(isLimited)) return undefined
	const now = readElapsed()
	const all = ids.map(id => heldOf(ctx, id))
	const dueMs = all.flatMap(held => listDueMs(held, now)).sort((a, b) => a - b)
	const more = all.map(({ isAsking, notBefore }) =>
		isAsking ? 0 : Math.max(0, notBefore - now),
	)
	return { dueMs, moreMs: Math.min(...more) }
}

/** How long the request after `before` others will wait for a permit, ms. */
export function permitWaitMs(
	{ dueMs, moreMs }: PermitOutlook,
	before: number,
): number {
	return dueMs[before] ?? moreMs
}
