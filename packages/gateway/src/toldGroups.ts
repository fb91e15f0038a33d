/**
 * Lock-step groups that are broken, have slow ranks or a limit. A coordinator tells
 * some entries, and news go on from entry to entry until all know them: a limit that
 * some keep and others do not turns callers away for nothing.
 */

import { readElapsed } from '@juniperhook/runtime'
import * as v from 'valibot'
import { openGroup, shutGroup } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { applyToldGroups, serviceOf } from './fleet.ts'
import { GroupReportSchema } from './peerMessages.ts'
import { serveWaiting } from './waiting.ts'

/** Coordinators repeat what they tell each second; older is forgotten, ms. */
const PACES_MS = 2_500
/**
 * News that have been heard are known again for this long, ms: far more than any
 * way from entry to entry takes, so that none of them goes round for ever.
 */
const HEARD_MS = 30_000

/** News of a group, as they are told on. */
export type GroupReportMessage = v.InferOutput<typeof GroupReportSchema>

/** Takes news of a group; gives them for others if they are new here. */
export function takePaces(
	ctx: GatewayContext,
	params: unknown,
): GroupReportMessage | undefined {
	const news = v.parse(GroupReportSchema, params)
	const { group, by, number, slow, limit, broken, hops } = news
	const { toldGroups, heardNews } = ctx.fleet
	const key = `${group} ${by}`
	const heard = heardNews.get(key)
	if (heard && heard.number >= number) return undefined
	const at = readElapsed()
	heardNews.set(key, { number, at })
	const ranks = Object.keys(slow)
	const wasBroken = toldGroups.get(group)?.broken
	const isWell = ranks.length === 0 && limit === undefined && !broken
	if (isWell) toldGroups.delete(group)
	else toldGroups.set(group, { slow, limit, broken, at })
	const { log } = ctx
	log.write('paces told', { group, slow: ranks, limit, broken, by, hops })
	applyToldGroups(ctx.fleet)
	if (broken) shutGroup(ctx, group, 'coordinator')
	// Older news of a group that runs may come after a rank's refusal.
	else if (wasBroken && openGroup(ctx, group, 'coordinator'))
		serveOpened(ctx, group)
	return { ...news, hops: hops + 1 }
}

/**
 * Grants what waits for a group that has opened. Groups that broke together open
 * within some ms, and the first one would be given what all of them are to serve. While another one is closed, the next look at the queues does it.
 */
function serveOpened(ctx: GatewayContext, group: string): void {
	const service = serviceOf(group)
	const closed = [...ctx.closures.keys()]
	if (!closed.some(other => serviceOf(other) === service)) serveWaiting(ctx)
}

/** What has not been told again is no longer believed. */
export function expireGroupReports(ctx: GatewayContext, now: number): void {
	const { toldGroups, heardNews } = ctx.fleet
	for (const [key, { at }] of heardNews)
		if (now - at > HEARD_MS) heardNews.delete(key)
	const old = [...toldGroups].filter(([, { at }]) => now - at > PACES_MS)
	if (old.length === 0) return
	for (const [group] of old) toldGroups.delete(group)
	applyToldGroups(ctx.fleet)
}
