/**
 * Simulation of a lock-step group in virtual time. Streams belong to subjects, whose
 * affinities determine the demand for experts; a pass takes as long as the most loaded
 * rank of each set requires; demand shifts periodically. Decisions are made with the same
 * functions as in the agents.
 */

import type { ExpertLayout, GroupMap, Random } from '@juniperhook/core'
import {
	computeSetSkew,
	createRandom,
	distributeRoundRobin,
	passFactor,
} from '@juniperhook/core'

/** Parameters of a simulation. */
export interface ExpertWorkload {
	readonly ranks: number
	readonly layout: ExpertLayout
	/** Maximum number of streams per rank. */
	readonly slots: number
	readonly stepsPerPass: number
	readonly stepMs: number
	readonly perRequestMs: number
	readonly linkMbps: number
	/** Streams that arrive per second. */
	readonly arrivalsPerSecond: number
	/** Mean number of events of a stream. */
	readonly events: number
	readonly subjects: number
	/** Share of the affinities that a demand shift redraws. */
	readonly shiftShare: number
	readonly shiftEveryMs: number
	/** Duration of the simulation, ms. */
	readonly lengthMs: number
	readonly seed: number
}

interface Stream {
	readonly subject: number
	readonly rank: number
	remainingEvents: number
}

/** State of a simulated group. */
export interface ExpertGroup {
	readonly workload: ExpertWorkload
	readonly random: Random
	/** Affinities of each subject, indexed by `set * experts + expert`. */
	readonly affinities: Float64Array[]
	readonly streams: Stream[]
	map: GroupMap
	nowMs: number
	/** When the copying of experts ends, ms. */
	copyingUntil: number
	nextArrival: number
	nextShift: number
	/** Experts copied so far. */
	copies: number
	/** Maps that have replaced another one so far. */
	changes: number
	/** Duration of each pass, ms. */
	readonly passes: number[]
	/** Streams that have arrived and wait for a slot. */
	waiting: number
}

/** Factor on the duration of passes while experts are copied. */
const COPY_SLOWDOWN = 1.15
/** Exponent of a subject's affinities; high, as measured expert counts are skewed. */
const AFFINITY_EXPONENT = 3
/** Zipf exponent of the subjects' popularity. */
const SUBJECT_EXPONENT = 1.1
const BITS_PER_BYTE = 8

/** Creates a simulated group with the initial map of a newly formed group. */
export function createExpertGroup(workload: ExpertWorkload): ExpertGroup {
	const random = createRandom(workload.seed)
	const placement = distributeRoundRobin(workload.ranks, workload.layout)
	return {
		workload,
		random,
		affinities: Array.from({ length: workload.subjects }, () =>
			drawAffinities(workload, random),
		),
		streams: [],
		map: Array.from({ length: workload.layout.sets }, () => placement),
		nowMs: 0,
		copyingUntil: 0,
		nextArrival: 0,
		nextShift: workload.shiftEveryMs,
		copies: 0,
		changes: 0,
		passes: [],
		waiting: 0,
	}
}

/** Returns the current demand, by `set * experts + expert`; each set adds up to 1. */
export function demandOf(group: ExpertGroup): Float64Array {
	const { sets, experts } = group.workload.layout
	const demand = new Float64Array(sets * experts).fill(1e-6)
	for (const { subject } of group.streams) {
		const affinity = group.affinities[subject]!
		for (let at = 0; at < demand.length; at++) demand[at]! += affinity[at]!
	}
	for (let set = 0; set < sets; set++) {
		const ofSet = demand.subarray(set * experts, (set + 1) * experts)
		const total = ofSet.reduce((sum, value) => sum + value, 0)
		for (let at = 0; at < experts; at++) ofSet[at]! /= total
	}
	return demand
}

/** Simulates one pass and returns its duration, ms. */
export function simulatePass(group: ExpertGroup): number {
	const { workload } = group
	admitArrivals(group)
	const demand = demandOf(group)
	const { experts, expertShare } = workload.layout
	const skews = group.map.map((placement, set) =>
		computeSetSkew(
			placement,
			demand.subarray(set * experts, (set + 1) * experts),
			workload.layout,
		),
	)
	const streamsPerRank = group.streams.length / workload.ranks
	const balancedMs =
		workload.stepsPerPass *
		(workload.stepMs + streamsPerRank * workload.perRequestMs)
	const slowdown = group.nowMs < group.copyingUntil ? COPY_SLOWDOWN : 1
	const passMs = balancedMs * passFactor(skews, expertShare) * slowdown
	group.nowMs += passMs
	group.passes.push(passMs)
	for (const stream of group.streams) stream.remainingEvents--
	for (let at = group.streams.length - 1; at >= 0; at--)
		if (group.streams[at]!.remainingEvents <= 0) group.streams.splice(at, 1)
	while (group.nowMs >= group.nextShift) applyDemandShift(group)
	return passMs
}

/** Starts copying the experts that a new map needs; returns the duration, ms. */
export function startCopies(group: ExpertGroup, map: GroupMap): number {
	let maxNewCopies = 0
	for (let rank = 0; rank < group.workload.ranks; rank++) {
		let newCopies = 0
		for (const [set, placement] of map.entries())
			for (const expert of placement[rank]!)
				if (!group.map[set]![rank]!.includes(expert)) newCopies++
		group.copies += newCopies
		maxNewCopies = Math.max(maxNewCopies, newCopies)
	}
	const { layout, linkMbps } = group.workload
	const copyMs =
		(maxNewCopies * layout.expertMb * BITS_PER_BYTE) / (linkMbps / 1_000)
	group.copyingUntil = group.nowMs + copyMs
	return copyMs
}

function admitArrivals(group: ExpertGroup): void {
	const { workload, random, streams } = group
	while (group.nextArrival <= group.nowMs) {
		group.nextArrival +=
			(-Math.log(1 - random()) * 1_000) / workload.arrivalsPerSecond
		group.waiting++
	}
	while (
		group.waiting > 0 &&
		streams.length < workload.ranks * workload.slots
	) {
		group.waiting--
		streams.push({
			subject: drawSubject(workload, random),
			rank: Math.floor(random() * workload.ranks),
			remainingEvents: Math.ceil(-Math.log(1 - random()) * workload.events),
		})
	}
}

function drawSubject(workload: ExpertWorkload, random: Random): number {
	const weights = Array.from(
		{ length: workload.subjects },
		(_, at) => (at + 1) ** -SUBJECT_EXPONENT,
	)
	const total = weights.reduce((sum, weight) => sum + weight, 0)
	let remaining = random() * total
	for (const [at, weight] of weights.entries()) {
		remaining -= weight
		if (remaining < 0) return at
	}
	return 0
}

function drawAffinities(
	workload: ExpertWorkload,
	random: Random,
): Float64Array {
	const { sets, experts } = workload.layout
	return new Float64Array(sets * experts).map(
		() => random() ** AFFINITY_EXPONENT + 0.02,
	)
}

function applyDemandShift(group: ExpertGroup): void {
	const { workload, random, affinities } = group
	group.nextShift += workload.shiftEveryMs
	for (const affinity of affinities)
		for (let at = 0; at < affinity.length; at++)
			if (random() < workload.shiftShare)
				affinity[at] = random() ** AFFINITY_EXPONENT + 0.02
}
