/**
 * Model of a group of ranks. Each step distributes tokens over experts according to the
 * map, lasts as long as its slowest rank, and counts a violation if ranks use different
 * maps.
 */

import type { RankState } from '@juniperhook/core'
import {
	beginStep,
	createRank,
	createRestartedRank,
	mayBeginStep,
} from '@juniperhook/core'
import type { Popularity } from './popularity.ts'

const SMOOTHING = 0.02
/** Id of the map that a group starts with. */
export const FIRST_MAP = 'first'

/** Sizes and speeds of a group. */
export interface GroupOptions {
	readonly layers: number
	readonly experts: number
	/** Duration of a step without work, ms. */
	readonly baseMs: number
	/** Time per token of the rank's own requests, ms. */
	readonly tokenMs: number
	/** Time per token through one expert of one layer, ms. */
	readonly expertMs: number
	/** Experts that process each token in a layer. */
	readonly topK: number
	readonly bytesPerExpert: number
	/** Weight store, `IP:port`; empty: weights load at once. */
	readonly store: string
	/** Whether engines refuse orders with a lower fence. */
	readonly checksFences: boolean
}

/** Options of a group's process. */
export interface GroupProcessOptions extends GroupOptions {
	readonly ips: readonly string[]
	readonly slots: number
	/** Zipf exponent of the experts' popularity. */
	readonly exponent: number
	readonly seed: number
	/** Factor on step times. */
	readonly pace: number
	/** Swaps of neighbours in the popularity order per layer and second. */
	readonly driftPerSecond: number
	/** Time until demand shifts abruptly, seconds; 0: never. */
	readonly stormAfterSeconds: number
}

/** Experts held by one rank: `slots[layer]` lists them. */
export type RankSlots = readonly (readonly number[])[]

/** One rank's engine: its expert maps, weights and counts. */
export interface RankModel {
	/** State in the map protocol. */
	protocol: RankState
	slots: RankSlots
	/** Slots of the maps staged so far. */
	readonly staged: Map<string, RankSlots>
	/** Weights in memory, named by {@link weightOf}. */
	readonly loaded: Set<string>
	stepMs: number
	/** Tokens since the start, indexed by `layer * experts + expert`. */
	readonly tokens: Float64Array
	/** Step since which the current map has been in use in this generation. */
	mapSince: number
	/** Generation of the last step that was begun. */
	lastGeneration: number
	/** When a stall of the rank ends, Unix ms. */
	stalledUntil: number
}

/** State of a group. */
export interface GroupModel {
	readonly options: GroupOptions
	readonly popularity: Popularity
	readonly ranks: RankModel[]
	step: number
	stepMs: number
	meanStepMs: number
	/** Smoothed ratio of the slowest rank's to the mean expert time. */
	meanSkew: number
	/** Time that the group has waited at gates, ms. */
	gateMs: number
	gatedSince: number | undefined
	/** Switches of single ranks to another map. */
	switches: number
	/** Steps with different maps, and switches to a map without its weights. */
	violations: number
}

/** Creates a group on its first map; `slots[rank][layer]` lists experts. */
export function createGroupModel(
	options: GroupOptions,
	popularity: Popularity,
	slots: readonly RankSlots[],
): GroupModel {
	const ranks = slots.map(own => ({
		protocol: createRank(FIRST_MAP),
		slots: own,
		staged: new Map([[FIRST_MAP, own]]),
		loaded: new Set(own.flatMap((list, layer) => list.map(weightOf(layer)))),
		stepMs: 0,
		tokens: new Float64Array(options.layers * options.experts),
		mapSince: 0,
		lastGeneration: 1,
		stalledUntil: 0,
	}))
	return {
		options,
		popularity,
		ranks,
		step: 0,
		stepMs: 0,
		meanStepMs: 0,
		meanSkew: 1,
		gateMs: 0,
		gatedSince: undefined,
		switches: 0,
		violations: 0,
	}
}

/** Returns a function that names an expert's weights in `layer`. */
export function weightOf(layer: number): (expert: number) => string {
	return expert => `${layer}:${expert}`
}

/** Assigns experts to ranks in blocks of equal size, the same in every layer. */
export function createBlocks(
	ranks: number,
	layers: number,
	experts: number,
): RankSlots[] {
	const size = Math.ceil(experts / ranks)
	return Array.from({ length: ranks }, (_, rank) => {
		const own = Array.from({ length: size }, (_, at) => rank * size + at)
		const layer = own.filter(expert => expert < experts)
		return Array.from({ length: layers }, () => layer)
	})
}

/**
 * Runs one step with `batch[rank]` requests on each rank. Returns false while a gate, a
 * stalled rank or ranks at different steps block the group.
 */
export function advanceModel(
	model: GroupModel,
	batch: readonly number[],
): boolean {
	const now = Date.now()
	const gated = model.ranks.some(rank => !mayBeginStep(rank.protocol))
	if (gated) model.gatedSince ??= now
	const [first] = model.ranks
	const outOfStep = model.ranks.some(
		({ protocol }) =>
			protocol.generation !== first!.protocol.generation ||
			protocol.step !== first!.protocol.step,
	)
	const stalled = model.ranks.some(rank => rank.stalledUntil > now)
	if (gated || outOfStep || stalled) return false
	if (model.gatedSince !== undefined) model.gateMs += now - model.gatedSince
	model.gatedSince = undefined
	for (const rank of model.ranks) beginRankStep(model, rank)
	model.step = first!.protocol.step
	assertOneMap(model)
	measureStep(model, batch)
	return true
}

/** Discards the state of one rank's engine, as a restart does. */
export function crashRank(model: GroupModel, rank: number): void {
	const state = model.ranks[rank]!
	state.protocol = createRestartedRank(state.protocol.incarnation + 1)
	state.staged.clear()
	state.loaded.clear()
}

/** Returns the duration of the last step, ms. */
export function stepTimeOf(model: GroupModel): number {
	return model.stepMs || model.options.baseMs
}

function beginRankStep(model: GroupModel, rank: RankModel): void {
	const { mapId } = rank.protocol
	beginStep(rank.protocol)
	const { generation, step } = rank.protocol
	const isNewGeneration = generation !== rank.lastGeneration
	rank.lastGeneration = generation
	if (isNewGeneration) rank.mapSince = step
	if (rank.protocol.mapId === mapId) return
	if (!holdsWeights(rank, rank.protocol.mapId)) model.violations++
	const slots = rank.staged.get(rank.protocol.mapId)
	rank.slots = slots ?? rank.slots
	rank.mapSince = step
	model.switches++
	rank.loaded.clear()
	for (const [layer, own] of rank.slots.entries())
		for (const weight of own.map(weightOf(layer))) rank.loaded.add(weight)
}

/** Whether a rank holds all weights of a map; a switch to another map may drop them. */
export function holdsWeights(rank: RankModel, mapId: string): boolean {
	const slots = rank.staged.get(mapId)
	if (!slots) return false
	return slots.every((own, layer) =>
		own.every(expert => rank.loaded.has(weightOf(layer)(expert))),
	)
}

function assertOneMap(model: GroupModel): void {
	const ids = new Set(model.ranks.map(rank => rank.protocol.mapId))
	if (ids.size === 1) return
	model.violations++
	const names = [...ids].join(' and ')
	process.stderr.write(
		`ranks use different maps in step ${model.step}: ${names}\n`,
	)
}

/** Computes step times; the exchange of tokens synchronizes the ranks in every layer. */
function measureStep(model: GroupModel, batch: readonly number[]): void {
	const { options, popularity, ranks } = model
	const requests = batch.reduce((sum, size) => sum + size, 0)
	const requestMs = ranks.map((_, rank) => options.tokenMs * (batch[rank] ?? 0))
	const times = requestMs.map(ms => options.baseMs + ms)
	let slowestExpertMs = 0
	for (let layer = 0; layer < options.layers; layer++) {
		const holders = countHolders(model, layer)
		const expertMs = ranks.map(rank => {
			let tokens = 0
			for (const expert of rank.slots[layer]!) {
				const share = popularity.share[layer]![expert]!
				const rankTokens = (requests * options.topK * share) / holders[expert]!
				rank.tokens[layer * options.experts + expert]! += rankTokens
				tokens += rankTokens
			}
			return tokens * options.expertMs
		})
		slowestExpertMs += Math.max(...expertMs)
		for (const [rank, ms] of expertMs.entries()) times[rank]! += ms
	}
	const mean = times.reduce((sum, ms) => sum + ms, 0) / times.length
	for (const [at, rank] of ranks.entries()) rank.stepMs = times[at]!
	model.stepMs = options.baseMs + Math.max(...requestMs) + slowestExpertMs
	model.meanStepMs = mean
	const withoutExpertsMs = options.baseMs + Math.max(...requestMs)
	if (requests === 0 || mean <= withoutExpertsMs) return
	const skew = slowestExpertMs / (mean - withoutExpertsMs)
	model.meanSkew += SMOOTHING * (skew - model.meanSkew)
}

function countHolders(model: GroupModel, layer: number): Uint16Array {
	const holders = new Uint16Array(model.options.experts)
	for (const rank of model.ranks)
		for (const expert of rank.slots[layer]!) holders[expert]!++
	return holders
}
