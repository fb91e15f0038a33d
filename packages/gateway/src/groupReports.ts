/**
 * Reports of coordinators on lock-step groups that are broken, have slow ranks or a
 * limit. A coordinator sends a report to some entries, which forward it until all have
 * it: a limit that only some entries apply rejects callers needlessly.
 */

import { readElapsed } from '@juniperhook/runtime'
import * as v from 'valibot'
import { handleGroupBroken, handleGroupOpened } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { applyGroupReports, serviceOf } from './fleet.ts'
import { GroupReportSchema } from './peerMessages.ts'
import { serveQueues } from './serverQueue.ts'

/** Lifetime of a report, ms; coordinators repeat theirs each second. */
const REPORT_RETENTION_MS = 2_500
/**
 * Retention of sequence numbers, ms: far longer than a report takes on any path between
 * entries, so that no report circulates forever.
 */
const SEQUENCE_RETENTION_MS = 30_000

/** A report as it is forwarded between entries. */
export type GroupReportMessage = v.InferOutput<typeof GroupReportSchema>

/** Applies a report. Returns it for forwarding, or undefined if it was known already. */
export function receiveGroupReport(
	ctx: GatewayContext,
	params: unknown,
): GroupReportMessage | undefined {
	const report = v.parse(GroupReportSchema, params)
	const { group, by, number, slow, limit, broken, hops } = report
	const { groupReports, lastGroupReports } = ctx.fleet
	const key = `${group} ${by}`
	const last = lastGroupReports.get(key)
	if (last && last.number >= number) return undefined
	const at = readElapsed()
	lastGroupReports.set(key, { number, at })
	const ranks = Object.keys(slow)
	const wasBroken = groupReports.get(group)?.broken
	const isHealthy = ranks.length === 0 && limit === undefined && !broken
	if (isHealthy) groupReports.delete(group)
	else groupReports.set(group, { slow, limit, broken, at })
	const { log } = ctx
	log.write('paces told', { group, slow: ranks, limit, broken, by, hops })
	applyGroupReports(ctx.fleet)
	if (broken) handleGroupBroken(ctx, group, 'coordinator')
	// An outdated report of a healthy group may arrive after a rank's refusal.
	else if (wasBroken && handleGroupOpened(ctx, group, 'coordinator'))
		dispatchQueued(ctx, group)
	return { ...report, hops: hops + 1 }
}

/**
 * Dispatches the requests that wait for a group that has opened. Groups that broke
 * together open within some ms, and the first one would get the requests meant for all
 * of them; while another one is closed, dispatch is left to the next periodic run.
 */
function dispatchQueued(ctx: GatewayContext, group: string): void {
	const service = serviceOf(group)
	const closed = [...ctx.closures.keys()]
	if (!closed.some(other => serviceOf(other) === service)) serveQueues(ctx)
}

/** Drops reports that were not repeated in time. */
export function expireGroupReports(ctx: GatewayContext, now: number): void {
	const { groupReports, lastGroupReports } = ctx.fleet
	for (const [key, { at }] of lastGroupReports)
		if (now - at > SEQUENCE_RETENTION_MS) lastGroupReports.delete(key)
	const expired = [...groupReports].filter(
		([, { at }]) => now - at > REPORT_RETENTION_MS,
	)
	if (expired.length === 0) return
	for (const [group] of expired) groupReports.delete(group)
	applyGroupReports(ctx.fleet)
}
