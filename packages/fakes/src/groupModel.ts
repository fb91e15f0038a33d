/**
 * What a group of ranks does in a step: spreads tokens over experts by the map,
 * takes the time of its slowest rank, and asserts that all use one map.
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
/** Name of the map that a group starts with. */
export const FIRST_MAP = 'first'

/** Sizes and speeds of a group. */
export interface GroupOptions {
	readonly layers: number
	readonly experts: number
	/** Time of a step without work, ms. */
	readonly baseMs: number
	/** Time per token of the rank's own requests, ms. */
	readonly tokenMs: number
	/** Time per token through one expert of one layer, ms. */
	readonly expertMs: number
	/** Experts that each token passes in a layer. */
	readonly topK: number
	readonly bytesPerExpert: number
	/** Weight store, `IP:port`; empty: weights come at once. */
	readonly store: string
	/** Whether engines refuse orders with a lower fence. */
	readonly checksFences: boolean
}

/** Options of a group's process. */
export interface GroupProcessOptions extends GroupOptions {
	readonly ips: readonly string[]
	readonly slots: number
	readonly exponent: number
	readonly seed: number
	readonly pace: number
	/** Neighbours that change places a layer each second. */
	readonly driftPerSecond: number
	/** Storm after so many seconds; 0: none. */
	readonly stormAfterSeconds: number
}

/** Experts held by one rank: `slots[layer]` lists them. */
export type RankSlots = readonly (readonly number[])[]

/** One rank's engine, as far as maps go. */
export interface RankModel {
	/** What it has promised and runs; see the map protocol. */
	protocol: RankState
	slots: RankSlots
	/** Slots of maps that may come into force. */
	readonly staged: Map<string, RankSlots>
	/** Weights in memory, as {@link weightOf} names them. */
	readonly loaded: Set<string>
	stepMs: number
	/** Tokens since the start, `layer * experts + expert`. */
	readonly tokens: Float64Array
	/** Step from which the present map has been used in this generation. */
	mapSince: number
	/** Generation of the last step begun. */
	begunGeneration: number
	/** The rank hangs until this time, Unix ms. */
	stalledUntil: number
}

/** A group. */
export interface GroupModel {
	readonly options: GroupOptions
	readonly popularity: Popularity
	readonly ranks: RankModel[]
	step: number
	stepMs: number
	meanStepMs: number
	/** Smoothed slowest over mean, experts' work alone. */
	meanSkew: number
	/** Time that gates held the group, ms. */
	gateMs: number
	gatedSince: number | undefined
	switches: number
	/** Steps in which ranks used different maps, or lacked weights. */
	violations: number
}

/** Makes a group on its first map; `slots[rank][layer]` lists experts. */
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
		begunGeneration: 1,
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

/** Names the weights of an expert. */
export function weightOf(layer: number): (expert: number) => string {
	return expert => `${layer}:${expert}`
}

/** Even blocks of experts, the same in every layer. */
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
 * Makes one step, `batch[rank]` requests on each rank. Gives false while a gate
 * or a stalled rank holds the group.
 */
export function advanceModel(
	model: GroupModel,
	batch: readonly number[],
): boolean {
	const now = Date.now()
	const gated = model.ranks.some(rank => !mayBeginStep(rank.protocol))
	if (gated) model.gatedSince ??= now
	const [first] = model.ranks
	const apart = model.ranks.some(
		({ protocol }) =>
			protocol.generation !== first!.protocol.generation ||
			protocol.step !== first!.protocol.step,
	)
	const stalled = model.ranks.some(rank => rank.stalledUntil > now)
	if (gated || apart || stalled) return false
	if (model.gatedSince !== undefined) model.gateMs += now - model.gatedSince
	model.gatedSince = undefined
	for (const rank of model.ranks) begin(model, rank)
	model.step = first!.protocol.step
	assertOneMap(model)
	measure(model, batch)
	return true
}

/** Lets one rank's engine lose all that it held, as a restart does. */
export function crashRank(model: GroupModel, rank: number): void {
	const state = model.ranks[rank]!
	state.protocol = createRestartedRank(state.protocol.incarnation + 1)
	state.staged.clear()
	state.loaded.clear()
}

/** Time of the last step, ms. */
export function stepTimeOf(model: GroupModel): number {
	return model.stepMs || model.options.baseMs
}

function begin(model: GroupModel, rank: RankModel): void {
	const { mapId } = rank.protocol
	beginStep(rank.protocol)
	const { generation, step } = rank.protocol
	const barrier = generation !== rank.begunGeneration
	rank.begunGeneration = generation
	if (barrier) rank.mapSince = step
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

/** Whether a rank holds all weights of a map; another one's may be dropped. */
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
	process.stderr.write(`two maps in step ${model.step}: ${names}\n`)
}

/** Ranks wait for each other in every layer, as the exchange of tokens does. */
function measure(model: GroupModel, batch: readonly number[]): void {
	const { options, popularity, ranks } = model
	const requests = batch.reduce((sum, size) => sum + size, 0)
	const own = ranks.map((_, rank) => options.tokenMs * (batch[rank] ?? 0))
	const times = own.map(time => options.baseMs + time)
	let slowest = 0
	for (let layer = 0; layer < options.layers; layer++) {
		const holders = countHolders(model, layer)
		const spent = ranks.map(rank => {
			let tokens = 0
			for (const expert of rank.slots[layer]!) {
				const share = popularity.share[layer]![expert]!
				const part = (requests * options.topK * share) / holders[expert]!
				rank.tokens[layer * options.experts + expert]! += part
				tokens += part
			}
			return tokens * options.expertMs
		})
		slowest += Math.max(...spent)
		for (const [rank, time] of spent.entries()) times[rank]! += time
	}
	const mean = times.reduce((sum, time) => sum + time, 0) / times.length
	for (const [at, rank] of ranks.entries()) rank.stepMs = times[at]!
	model.stepMs = options.baseMs + Math.max(...own) + slowest
	model.meanStepMs = mean
	const base = options.baseMs + Math.max(...own)
	if (requests === 0 || mean <= base) return
	const skew = slowest / (mean - base)
	model.meanSkew += SMOOTHING * (skew - model.meanSkew)
}

function countHolders(model: GroupModel, layer: number): Uint16Array {
	const holders = new Uint16Array(model.options.experts)
	for (const rank of model.ranks)
		for (const expert of rank.slots[layer]!) holders[expert]!++
	return holders
}
