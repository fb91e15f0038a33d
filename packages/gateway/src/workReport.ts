/** Metrics and log events about groups' pace and answers' lengths. */

import {
	estimatePace,
	fullPassMs,
	isSlowed,
	learnedEventsPerToken,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { serviceOf } from './fleet.ts'
import { weighedEngineOf } from './workState.ts'

/** Interval of reports, ms. */
const REPORT_INTERVAL_MS = 500
const SECOND_MS = 1_000

/** Reports paces and lengths at a limited rate, and drops groups that are gone. */
export function reportWork(ctx: GatewayContext): void {
	const { work, metrics } = ctx
	const now = readNow()
	if (now - work.reportedAt < REPORT_INTERVAL_MS) return
	work.reportedAt = now
	for (const group of work.paces.keys()) reportPace(ctx, group, now)
	for (const [service, lengths] of work.lengths) {
		const perToken = learnedEventsPerToken(lengths)
		if (perToken !== undefined)
			metrics.eventsPerHintToken.set({ service }, perToken)
	}
}

function reportPace(ctx: GatewayContext, group: string, now: number): void {
	const { work, metrics, log, fleet } = ctx
	const engine = weighedEngineOf(ctx, serviceOf(group))
	if (!engine || !fleet.groups.includes(group)) {
		work.paces.delete(group)
		work.slowed.delete(group)
		metrics.groupPace.remove({ group })
		return
	}
	const paceMs = estimatePace(work.paces.get(group)!, now)?.paceMs
	if (paceMs === undefined) metrics.groupPace.remove({ group })
	else metrics.groupPace.set({ group }, paceMs / SECOND_MS)
	const usualMs = fullPassMs(engine)
	const slowed = paceMs !== undefined && isSlowed(paceMs, usualMs)
	if (slowed === work.slowed.has(group)) return
	if (slowed) work.slowed.add(group)
	else work.slowed.delete(group)
	log.write(slowed ? 'group slowed' : 'group pace usual', {
		group,
		paceMs: paceMs && Math.round(paceMs),
		usualMs: Math.round(usualMs),
	})
}
