/**
 * An emulated lock-step group in virtual time: streams of many subjects, whose
 * tokens choose experts; passes as long as the most loaded rank of each set; and
 * demand that shifts. What it takes to decide goes through the same functions
 * as in the agents.
 */

import type { ExpertLayout, GroupMap, Random } from '@juniperhook/core'
import {
	computeSetSkew,
	createRandom,
	distributeRoundRobin,
	passFactor,
} from '@juniperhook/core'

/** What is emulated. */
export interface ExpertWorkload {
	readonly ranks: number
	readonly layout: ExpertLayout
	readonly slots: number
	readonly stepsPerPass: number
	readonly stepMs: number
	readonly perRequestMs: number
	readonly linkMbps: number
	/** Streams that arrive in a second. */
	readonly arrivalsPerSecond: number
	/** Events of a stream in the mean. */
	readonly events: number
	readonly subjects: number
	/** Part of what is liked that changes at a shift. */
	readonly shiftShare: number
	readonly shiftEveryMs: number
	readonly lengthMs: number
	readonly seed: number
}

interface Stream {
	readonly subject: number
	readonly rank: number
	left: number
}

/** A group being emulated. */
export interface ExpertGroup {
	readonly workload: ExpertWorkload
	readonly random: Random
	/** Demand of each subject: set by set, expert by expert. */
	readonly likes: Float64Array[]
	readonly streams: Stream[]
	map: GroupMap
	nowMs: number
	/** Copying goes on until then, ms. */
	copyingUntil: number
	nextArrival: number
	nextShift: number
	copies: number
	changes: number
	/** Length of each pass, ms. */
	readonly passes: number[]
	waiting: number
}

/** Passes take this much longer while experts are copied. */
const COPY_SLOWDOWN = 1.15
/** Exponent of what experts a subject likes; steep, as counts showed. */
const LIKE_POWER = 3
/** Popularity of subjects by rank. */
const SUBJECT_SKEW = 1.1
const BITS = 8

/** Begins a day under the map that a group forms with. */
export function createExpertGroup(day: ExpertWorkload): ExpertGroup {
	const random = createRandom(day.seed)
	const dealt = distributeRoundRobin(day.ranks, day.layout)
	return {
		workload: day,
		random,
		likes: Array.from({ length: day.subjects }, () => drawLikes(day, random)),
		streams: [],
		map: Array.from({ length: day.layout.sets }, () => dealt),
		nowMs: 0,
		copyingUntil: 0,
		nextArrival: 0,
		nextShift: day.shiftEveryMs,
		copies: 0,
		changes: 0,
		passes: [],
		waiting: 0,
	}
}

/** Demand now: set by set, each set's parts add up to 1. */
export function demandOf(group: ExpertGroup): Float64Array {
	const { sets, experts } = group.workload.layout
	const demand = new Float64Array(sets * experts).fill(1e-6)
	for (const { subject } of group.streams) {
		const likes = group.likes[subject]!
		for (let at = 0; at < demand.length; at++) demand[at]! += likes[at]!
	}
	for (let set = 0; set < sets; set++) {
		const part = demand.subarray(set * experts, (set + 1) * experts)
		const total = part.reduce((sum, value) => sum + value, 0)
		for (let at = 0; at < experts; at++) part[at]! /= total
	}
	return demand
}

/** Plays one pass and gives its length, ms. */
export function simulatePass(group: ExpertGroup): number {
	const { workload: day } = group
	takeArrivals(group)
	const demand = demandOf(group)
	const { experts, expertShare } = day.layout
	const skews = group.map.map((placement, set) =>
		computeSetSkew(
			placement,
			demand.subarray(set * experts, (set + 1) * experts),
			day.layout,
		),
	)
	const held = group.streams.length / day.ranks
	const balanced = day.stepsPerPass * (day.stepMs + held * day.perRequestMs)
	const slowdown = group.nowMs < group.copyingUntil ? COPY_SLOWDOWN : 1
	const passMs = balanced * passFactor(skews, expertShare) * slowdown
	group.nowMs += passMs
	group.passes.push(passMs)
	for (const stream of group.streams) stream.left--
	for (let at = group.streams.length - 1; at >= 0; at--)
		if (group.streams[at]!.left <= 0) group.streams.splice(at, 1)
	while (group.nowMs >= group.nextShift) shift(group)
	return passMs
}

/** Begins to copy what a new map needs; gives the time it takes, ms. */
export function startCopies(group: ExpertGroup, map: GroupMap): number {
	let most = 0
	for (let rank = 0; rank < group.workload.ranks; rank++) {
		let fresh = 0
		for (const [set, placement] of map.entries())
			for (const expert of placement[rank]!)
				if (!group.map[set]![rank]!.includes(expert)) fresh++
		group.copies += fresh
		most = Math.max(most, fresh)
	}
	const { layout, linkMbps } = group.workload
	const copyMs = (most * layout.expertMb * BITS) / (linkMbps / 1_000)
	group.copyingUntil = group.nowMs + copyMs
	return copyMs
}

function takeArrivals(group: ExpertGroup): void {
	const { workload: day, random, streams } = group
	while (group.nextArrival <= group.nowMs) {
		group.nextArrival +=
			(-Math.log(1 - random()) * 1_000) / day.arrivalsPerSecond
		group.waiting++
	}
	while (group.waiting > 0 && streams.length < day.ranks * day.slots) {
		group.waiting--
		streams.push({
			subject: drawSubject(day, random),
			rank: Math.floor(random() * day.ranks),
			left: Math.ceil(-Math.log(1 - random()) * day.events),
		})
	}
}

function drawSubject(day: ExpertWorkload, random: Random): number {
	const weights = Array.from(
		{ length: day.subjects },
		(_, at) => (at + 1) ** -SUBJECT_SKEW,
	)
	const total = weights.reduce((sum, weight) => sum + weight, 0)
	let left = random() * total
	for (const [at, weight] of weights.entries()) {
		left -= weight
		if (left < 0) return at
	}
	return 0
}

function drawLikes(day: ExpertWorkload, random: Random): Float64Array {
	const { sets, experts } = day.layout
	return new Float64Array(sets * experts).map(
		() => random() ** LIKE_POWER + 0.02,
	)
}

function shift(group: ExpertGroup): void {
	const { workload: day, random, likes } = group
	group.nextShift += day.shiftEveryMs
	for (const like of likes)
		for (let at = 0; at < like.length; at++)
			if (random() < day.shiftShare) like[at] = random() ** LIKE_POWER + 0.02
}
