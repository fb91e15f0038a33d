/**
 * What a coordinator learns of its group: experts in demand, how busy and how
 * slow ranks are, when demand shifts, and what the group may hold for that.
 */

import { isRankTooSlow, maxInFlightPerRank } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { sampleBytes } from './rankSample.ts'
import type { Coordinator } from './coordinatorState.ts'
import { noteStatus, pause } from './coordinatorState.ts'
import { AGREES_NOT, isShifting, refreshDemand, addChoices } from './demand.ts'
import { factorNow } from './mapPlanning.ts'
import { watchPasses } from './passMonitor.ts'
import type { RankBusy } from './ports.ts'
import type { RankClient } from './rankClient.ts'
import { busyOfRank, reportRank, sampleRank } from './rankClient.ts'

/** Between readings of all ranks' counts, ms: a few passes. */
const COUNTS_MS = 200
/**
 * Between readings of the counts of the engine beside this process, ms: a pass or
 * less, so that a shift of demand is seen with the first passes that have it.
 */
const HOME_COUNTS_MS = 50
/** Ranks whose counts are read; the others' requests are like theirs. */
const MAX_COUNTED = 16
const MIN_COUNTED = 4
/**
 * Part of the coordinator's link that counts may take: with more, reports of the
 * anchor came 0.3 s late and other agents took the coordinator for dead.
 */
const COUNTS_LINK_SHARE = 0.25
/** A sample besides its counts, and a byte of them in base64, bytes. */
const SAMPLE_BYTES = 150
const BASE64_TIMES = 4 / 3
/**
 * Other ranks that are asked how busy they are at each reading, in turn: one
 * slow rank slows its whole group, so each is asked twice a second.
 */
const ASKED_IN_TURN = 28
/** Choices that must have been seen before the first plan. */
export const MIN_SEEN = 20_000
/**
 * Weight of a new reading of what ranks hold: a group that opens is filled
 * within a second, and a plan for an empty one has to be made again.
 */
const RISING_WEIGHT = 0.8
const FALLING_WEIGHT = 0.3
/** A shift may show in several readings; they count as one, ms. */
const ONE_SHIFT_MS = 1_000
/** Weight of a new interval between shifts. */
const STEADY_WEIGHT = 0.4
/** A shift is expected to be cured within so many times what rounds take. */
const CURE_TIMES = 2
/** What is kept of the factor of calm times at each reading. */
const CALM_KEPT = 0.8
/** Limits are told in steps of this, so that news of them stay rare. */
const LIMIT_STEP = 0.25

/** Goes on during rounds: the plan that follows one needs fresh counts. */
export async function followDemand(co: Coordinator): Promise<void> {
	while (!co.stopped) {
		const startedAt = readNow()
		// What all ranks are asked for now must not wait behind counts.
		if (!co.urgent) await readDemand(co)
		await watchHome(co, startedAt + COUNTS_MS)
	}
}

/** Waits until `until`, or until the engine at home shows another demand. */
async function watchHome(co: Coordinator, until: number): Promise<void> {
	const home = co.clients.get(co.homeRank)
	while (!co.stopped && readNow() < until) {
		await pause(Math.min(HOME_COUNTS_MS, Math.max(0, until - readNow())))
		if (!home) continue
		const report = await reportRank(home)
		if (report) watchPasses(co, report)
		const sample = await sampleRank(home, expertsOf(co), report)
		if (!sample) continue
		addChoices(co.demand, sample.chosen)
		if (isShifting(co.demand)) return
	}
}

async function readDemand(co: Coordinator): Promise<void> {
	const clients = [...co.clients.values()]
	const counting = countedRanks(co)
	const counted = clients.slice(0, counting)
	const others = takeTurn(co, clients.slice(counting))
	const busy: number[] = []
	const note = ({ member }: RankClient, told: RankBusy) => {
		busy.push(told.running + told.waiting)
		co.paces.set(member.rank, told.pace)
	}
	await Promise.all([
		...counted.map(async client => {
			const sample = await sampleRank(client, expertsOf(co))
			if (!sample) return
			addChoices(co.demand, sample.chosen)
			note(client, sample)
		}),
		...others.map(async client => {
			const told = await busyOfRank(client)
			if (told) note(client, told)
		}),
	])
	noteDemand(co)
	const paces = clients.map(
		({ member }) => [member.engine, co.paces.get(member.rank) ?? 1] as const,
	)
	noteStatus(co, { paces: new Map(paces), allowedHeld: letIn(co) })
	if (busy.length === 0) return
	const mean = busy.reduce((sum, held) => sum + held, 0) / busy.length
	const weight = mean > co.held ? RISING_WEIGHT : FALLING_WEIGHT
	co.held += (mean - co.held) * weight
}

/** Experts of all sets. */
function expertsOf({ demand }: Coordinator): number {
	return demand.sets * demand.experts
}

/** Ranks whose counts the coordinator's link carries beside everything else. */
function countedRanks(co: Coordinator): number {
	const bytes = SAMPLE_BYTES + BASE64_TIMES * sampleBytes(expertsOf(co))
	const carried = COUNTS_LINK_SHARE * co.bytesPerMs * COUNTS_MS
	const fitting = Math.floor(carried / bytes)
	return Math.min(MAX_COUNTED, Math.max(MIN_COUNTED, fitting))
}

function noteDemand(co: Coordinator): void {
	const now = readNow()
	const agreement = refreshDemand(co.demand, now)
	co.agreement = Math.min(co.agreement, agreement)
	const sinceMs = now - co.shiftedAt
	const factor = factorOfDemand(co)
	// The map that a group forms with fits demand no better than one after a shift.
	if (co.mapVersion === 0 && factor !== undefined) co.shiftedFactor = factor
	// Where shifts have stopped, demand is expected to stay.
	if (sinceMs < Number.POSITIVE_INFINITY)
		co.steadyMs = Math.max(co.steadyMs, sinceMs)
	if (agreement >= AGREES_NOT) return
	if (sinceMs > ONE_SHIFT_MS) {
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

/** What demand alone makes of passes, slow ranks left out. */
function factorOfDemand(co: Coordinator): number | undefined {
	const { group, map, demand } = co
	if (!group || !map || demand.totalChoices < MIN_SEEN) return undefined
	return factorNow(co, group, map, [])
}

/** The clients that are asked this time. */
function takeTurn(
	co: Coordinator,
	others: readonly RankClient[],
): readonly RankClient[] {
	if (others.length <= ASKED_IN_TURN) return others
	const from = co.turn % others.length
	co.turn = from + ASKED_IN_TURN
	return [...others.slice(from), ...others.slice(0, from)].slice(
		0,
		ASKED_IN_TURN,
	)
}

/**
 * The factor that a limit is for. Right after a shift passes are long until the new
 * map is in use; the streams that live then are late already, and callers turned
 * away would come back when the map is.
 */
function lastingFactor(co: Coordinator, factor: number): number {
	const { calmFactor, shiftedAt, overheadMs } = co
	const isCuring = readNow() - shiftedAt < CURE_TIMES * overheadMs
	if (isCuring) return Math.min(factor, calmFactor ?? factor)
	co.calmFactor = factor + CALM_KEPT * ((calmFactor ?? factor) - factor)
	return factor
}

/** Requests that a rank may hold; undefined for as many as fit. */
function letIn(co: Coordinator): number | undefined {
	const { group, map, shiftedFactor, steadyMs, fitter } = co
	if (!group || !map) return undefined
	const slowest = Math.max(1, ...co.paces.values())
	if (isRankTooSlow(group, group.cost, slowest)) return undefined
	const factor = lastingFactor(co, factorNow(co, group, map))
	const copiesLong = co.copyingMs === undefined || co.copyingMs > co.passMs
	const { fit } = fitter
	const state = { factor, shiftedFactor, steadyMs, copiesLong, fit }
	const limit = maxInFlightPerRank(state, group, group.cost)
	if (limit === undefined) return undefined
	return Math.floor(limit / LIMIT_STEP) * LIMIT_STEP
}
