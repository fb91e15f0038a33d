/**
 * Monitors a group for its coordinator: demand for experts and its shifts, load and
 * slowdown of ranks. Derives the group's limit of requests in flight from them.
 */

import { isRankTooSlow, maxInFlightPerRank } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { delay, updateStatus } from './coordinatorState.ts'
import {
	addChoices,
	isShifting,
	MIN_AGREEMENT,
	refreshDemand,
} from './demand.ts'
import { computePassFactor } from './mapPlanning.ts'
import { recordPasses } from './passMonitor.ts'
import type { RankLoad } from './ports.ts'
import type { RankClient } from './rankClient.ts'
import { readRankLoad, readRankReport, readRankSample } from './rankClient.ts'
import { sampleSize } from './rankSample.ts'

/** Interval between readings of the ranks' counts, ms: a few passes. */
const COUNTS_INTERVAL_MS = 200
/**
 * Interval between readings of the local engine's counts, ms: at most a pass, so that a
 * demand shift is detected within its first passes.
 */
const LOCAL_COUNTS_INTERVAL_MS = 50
/** Maximum number of ranks whose counts are read; other ranks have similar requests. */
const MAX_COUNTED_RANKS = 16
const MIN_COUNTED_RANKS = 4
/**
 * Share of the coordinator's link that counts may use. With more, the anchor's reports
 * arrived 0.3 s late and other agents considered the coordinator down.
 */
const COUNTS_LINK_SHARE = 0.25
/** Size of a sample without its counts, bytes; size of base64 relative to its input. */
const SAMPLE_OVERHEAD_BYTES = 150
const BASE64_RATIO = 4 / 3
/**
 * Number of other ranks whose load is read each time, round robin. One slow rank slows
 * its whole group, so the load of each rank is read twice a second.
 */
const POLLED_PER_READING = 28
/** Minimum number of choices before the first plan. */
export const MIN_PLAN_CHOICES = 20_000
/**
 * Weights of a new reading in the smoothed requests in flight. The weight is larger when
 * they rise, because a group that opens is filled within a second, and a plan for an
 * empty group would have to be replaced.
 */
const RISING_WEIGHT = 0.8
const FALLING_WEIGHT = 0.3
/** Time within which readings that show a shift count as one shift, ms. */
const MIN_SHIFT_INTERVAL_MS = 1_000
/** Weight of a new interval between shifts in the smoothed one. */
const STEADY_WEIGHT = 0.4
/** Multiple of a round's overhead within which the map is adapted to a shift. */
const ADAPTATION_FACTOR = 2
/** Weight of the previous value in the smoothed factor between shifts. */
const SETTLED_FACTOR_DECAY = 0.8
/** Step to which limits are rounded, so that changes are rarely reported. */
const LIMIT_STEP = 0.25

/**
 * Monitors demand until the coordinator is stopped, also during rounds, because the plan
 * after a round needs recent counts.
 */
export async function monitorDemand(co: Coordinator): Promise<void> {
	while (!co.stopped) {
		const startedAt = readNow()
		// Orders to all ranks in an urgent phase must not queue behind counts.
		if (!co.urgent) await readDemand(co)
		await pollLocalEngine(co, startedAt + COUNTS_INTERVAL_MS)
	}
}

/** Polls the local engine until `until`, or until its counts show a demand shift. */
async function pollLocalEngine(co: Coordinator, until: number): Promise<void> {
	const local = co.clients.get(co.localRank)
	while (!co.stopped && readNow() < until) {
		await delay(
			Math.min(LOCAL_COUNTS_INTERVAL_MS, Math.max(0, until - readNow())),
		)
		if (!local) continue
		const report = await readRankReport(local)
		if (report) recordPasses(co, report)
		const sample = await readRankSample(local, totalExperts(co), report)
		if (!sample) continue
		addChoices(co.demand, sample.chosen)
		if (isShifting(co.demand)) return
	}
}

/** Reads counts and load of the ranks and updates the demand and the status. */
async function readDemand(co: Coordinator): Promise<void> {
	const clients = [...co.clients.values()]
	const maxCounted = maxCountedRanks(co)
	const counted = clients.slice(0, maxCounted)
	const others = selectPolled(co, clients.slice(maxCounted))
	const inFlight: number[] = []
	const recordLoad = ({ member }: RankClient, load: RankLoad) => {
		inFlight.push(load.running + load.waiting)
		co.slowdowns.set(member.rank, load.pace)
	}
	await Promise.all([
		...counted.map(async client => {
			const sample = await readRankSample(client, totalExperts(co))
			if (!sample) return
			addChoices(co.demand, sample.chosen)
			recordLoad(client, sample)
		}),
		...others.map(async client => {
			const load = await readRankLoad(client)
			if (load) recordLoad(client, load)
		}),
	])
	updateDemand(co)
	const slowdowns = clients.map(
		({ member }) =>
			[member.engine, co.slowdowns.get(member.rank) ?? 1] as const,
	)
	updateStatus(co, {
		slowdowns: new Map(slowdowns),
		maxInFlightPerRank: computeMaxInFlight(co),
	})
	if (inFlight.length === 0) return
	const mean = inFlight.reduce((sum, count) => sum + count, 0) / inFlight.length
	const weight = mean > co.inFlightPerRank ? RISING_WEIGHT : FALLING_WEIGHT
	co.inFlightPerRank += (mean - co.inFlightPerRank) * weight
}

/** Returns the number of experts of all sets. */
function totalExperts({ demand }: Coordinator): number {
	return demand.sets * demand.experts
}

/** Returns the number of ranks whose counts fit into their share of the link. */
function maxCountedRanks(co: Coordinator): number {
	const bytes =
		SAMPLE_OVERHEAD_BYTES + BASE64_RATIO * sampleSize(totalExperts(co))
	const budget = COUNTS_LINK_SHARE * co.bytesPerMs * COUNTS_INTERVAL_MS
	const fitting = Math.floor(budget / bytes)
	return Math.min(MAX_COUNTED_RANKS, Math.max(MIN_COUNTED_RANKS, fitting))
}

/** Refreshes the demand and updates the estimates of its shifts. */
function updateDemand(co: Coordinator): void {
	const now = readNow()
	const agreement = refreshDemand(co.demand, now)
	co.minAgreement = Math.min(co.minAgreement, agreement)
	const sinceMs = now - co.shiftedAt
	const factor = computeDemandFactor(co)
	// The initial map fits demand no better than any map after a shift.
	if (co.mapVersion === 0 && factor !== undefined) co.shiftedFactor = factor
	// The longer no shift occurs, the longer demand is expected to remain steady.
	if (sinceMs < Number.POSITIVE_INFINITY)
		co.steadyMs = Math.max(co.steadyMs, sinceMs)
	if (agreement >= MIN_AGREEMENT) return
	if (sinceMs > MIN_SHIFT_INTERVAL_MS) {
		if (sinceMs < Number.POSITIVE_INFINITY)
			co.steadyMs += STEADY_WEIGHT * (sinceMs - co.steadyMs)
		co.shiftedAt = now
	}
	if (factor !== undefined)
		co.shiftedFactor += STEADY_WEIGHT * (factor - co.shiftedFactor)
	co.log.write('demand shifted', {
		agreement: Number(agreement.toFixed(2)),
		steadyMs: Math.round(co.steadyMs),
		factor: Number(factor?.toFixed(2)),
		shiftedFactor: Number(co.shiftedFactor.toFixed(2)),
	})
}

/**
 * Returns the pass factor due to demand alone, without slow ranks; undefined if too
 * little is known.
 */
function computeDemandFactor(co: Coordinator): number | undefined {
	const { group, map, demand } = co
	if (!group || !map || demand.totalChoices < MIN_PLAN_CHOICES) return undefined
	return computePassFactor(co, group, map, [])
}

/** Returns the clients whose load is read this time. */
function selectPolled(
	co: Coordinator,
	others: readonly RankClient[],
): readonly RankClient[] {
	if (others.length <= POLLED_PER_READING) return others
	const from = co.nextPolled % others.length
	co.nextPolled = from + POLLED_PER_READING
	return [...others.slice(from), ...others.slice(0, from)].slice(
		0,
		POLLED_PER_READING,
	)
}

/**
 * Returns the pass factor for which the limit is computed. Right after a shift passes are
 * long until the new map is in use. A lower limit would not help then: the streams in
 * progress are late already, and refused callers would retry when the map is in use.
 */
function computeLastingFactor(co: Coordinator, factor: number): number {
	const { settledFactor, shiftedAt, overheadMs } = co
	const isAdapting = readNow() - shiftedAt < ADAPTATION_FACTOR * overheadMs
	if (isAdapting) return Math.min(factor, settledFactor ?? factor)
	co.settledFactor =
		factor + SETTLED_FACTOR_DECAY * ((settledFactor ?? factor) - factor)
	return factor
}

/** Returns the maximum number of requests in flight per rank; undefined for no limit. */
function computeMaxInFlight(co: Coordinator): number | undefined {
	const { group, map, shiftedFactor, steadyMs, fitter } = co
	if (!group || !map) return undefined
	const slowest = Math.max(1, ...co.slowdowns.values())
	if (isRankTooSlow(group, group.cost, slowest)) return undefined
	const factor = computeLastingFactor(co, computePassFactor(co, group, map))
	const copiesLong =
		co.lastCopyingMs === undefined || co.lastCopyingMs > co.passMs
	const { fit } = fitter
	const state = { factor, shiftedFactor, steadyMs, copiesLong, fit }
	const limit = maxInFlightPerRank(state, group, group.cost)
	if (limit === undefined) return undefined
	return Math.floor(limit / LIMIT_STEP) * LIMIT_STEP
}
