/**
 * Times the passes of a group at the engine beside the coordinator, and fits the
 * model of a pass to them. On an emulated day with a slow rank, means of four
 * passes were predicted within 10% (p50) and 16% (p90).
 */

import type { PassSample, RankReport } from '@juniperhook/core'
import { addPassSample, predictPassMs } from '@juniperhook/core'
import { countClockJumps, readNow, rpcCounts } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { factorNow } from './mapPlanning.ts'
import type { PublishedGroup } from './ports.ts'

/** Passes that are timed together: looks are as far apart as passes take. */
const PASSES = 4
/** Between two lines that compare a prediction with what was seen, ms. */
const LOG_MS = 1_000
/** A mean beyond this is of a group that stood still, not of passes, ms. */
const MAX_PASS_MS = 1_000

/** Factors this far apart count as the same conditions. */
const SAME_FACTOR = 0.15

/** Takes a fresh report of the engine beside this process. */
export function watchPasses(co: Coordinator, report: RankReport): void {
	const { group, map, passes, copying } = co
	if (!group || !map || !report.open) {
		passes.since = undefined
		return
	}
	const at = readNow()
	const jumps = countClockJumps()
	const factor = factorNow(co, group, map)
	const { since } = passes
	const isSame =
		since !== undefined &&
		since.report.epoch === report.epoch &&
		since.report.map === report.map &&
		report.map === co.mapVersion &&
		passes.copying === copying &&
		passes.jumps === jumps &&
		Math.abs(passes.factor / factor - 1) < SAME_FACTOR
	if (isSame && report.step - since.report.step < PASSES) return
	if (isSame) {
		const passMs = (at - since.at) / (report.step - since.report.step)
		takePasses(co, group, { passMs, inFlight: co.held, factor, copying })
	}
	passes.since = { report, at }
	passes.copying = copying
	passes.jumps = jumps
	passes.factor = factor
}

function takePasses(
	co: Coordinator,
	group: PublishedGroup,
	seen: PassSample,
): void {
	if (seen.passMs > MAX_PASS_MS || seen.inFlight <= 0) return
	const { fitter, passes } = co
	const { fit } = fitter
	const predicted = predictPassMs(group.cost, fit, seen.inFlight, seen)
	addPassSample(fitter, group.cost, seen)
	const now = readNow()
	if (now - passes.loggedAt < LOG_MS) return
	const sinceMs = now - passes.loggedAt
	passes.loggedAt = now
	const { bytesIn, bytesOut } = rpcCounts
	const perSecond = (bytes: number) => Math.round((bytes * 1_000) / sinceMs)
	const inPerSecond = perSecond(bytesIn - passes.bytesIn)
	const outPerSecond = perSecond(bytesOut - passes.bytesOut)
	passes.bytesIn = bytesIn
	passes.bytesOut = bytesOut
	co.log.write('passes seen', {
		passMs: Math.round(seen.passMs),
		predictedMs: Math.round(predicted),
		held: Number(seen.inFlight.toFixed(2)),
		factor: Number(seen.factor.toFixed(2)),
		copying: seen.copying,
		base: Number(fit.base.toFixed(2)),
		stepSkew: Number(fit.stepSkew.toFixed(2)),
		agreement: Number(co.agreement.toFixed(3)),
		inPerSecond,
		outPerSecond,
	})
	co.agreement = 1
}
