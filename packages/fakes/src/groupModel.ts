/**
 * What a group of ranks does in a step: spreads tokens over experts by the map,
 * takes the time of its slowest rank, and asserts that all use one map.
 */

import type { Popularity } from './popularity.ts'

const SMOOTHING = 0.02

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

/** A map as one rank runs it. */
export interface RankMap {
	/** Fence of the change that brought it; 0 for the first. */
	readonly fence: number
	/** Names the whole group's map, so that ranks can be compared. */
	readonly id: string
	readonly slots: RankSlots
}

/** One rank's engine, as far as maps go. */
export interface RankModel {
	map: RankMap
	/** Highest fence accepted in an order. */
	orderFence: number
	/** Not to begin `step` before the decision of `fence`. */
	gate: { readonly fence: number; readonly step: number } | undefined
	/** Decided: run `map` from `step` on. */
	next: { readonly step: number; readonly map: RankMap } | undefined
	readonly loaded: Set<string>
	stepMs: number
	/** Tokens per expert in the last step, over all layers. */
	tokens: number[]
	/** The rank hangs until this time, Unix ms. */
	stalledUntil: number
}

/** A group. */
export interface GroupModel {
	readonly options: GroupOptions
	readonly popularity: Popularity
	readonly ranks: RankModel[]
	generation: number
	step: number
	stepMs: number
	meanStepMs: number
	/** Smoothed slowest over mean. */
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
		map: { fence: 0, id: 'first', slots: own },
		orderFence: 0,
		gate: undefined,
		next: undefined,
		loaded: new Set(own.flatMap((list, layer) => list.map(weightOf(layer)))),
		stepMs: 0,
		tokens: new Array<number>(options.experts).fill(0),
		stalledUntil: 0,
	}))
	return {
		options,
		popularity,
		ranks,
		generation: 1,
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
	const next = model.step + 1
	const now = Date.now()
	const gated = model.ranks.some(rank => rank.gate && rank.gate.step <= next)
	if (gated) model.gatedSince ??= now
	const stalled = model.ranks.some(rank => rank.stalledUntil > now)
	if (gated || stalled) return false
	if (model.gatedSince !== undefined) model.gateMs += now - model.gatedSince
	model.gatedSince = undefined
	model.step = next
	for (const rank of model.ranks) switchMap(model, rank)
	assertOneMap(model)
	measure(model, batch)
	return true
}

/** Time of the last step, ms. */
export function stepTimeOf(model: GroupModel): number {
	return model.stepMs || model.options.baseMs
}

function switchMap(model: GroupModel, rank: RankModel): void {
	if (!rank.next || rank.next.step > model.step) return
	rank.map = rank.next.map
	rank.next = undefined
	model.switches++
	const missing = rank.map.slots.some((own, layer) =>
		own.some(expert => !rank.loaded.has(weightOf(layer)(expert))),
	)
	if (missing) model.violations++
	keepOnlyPlaced(rank)
}

function keepOnlyPlaced(rank: RankModel): void {
	const placed = rank.map.slots.flatMap((own, layer) =>
		own.map(weightOf(layer)),
	)
	rank.loaded.clear()
	for (const weight of placed) rank.loaded.add(weight)
}

function assertOneMap(model: GroupModel): void {
	const ids = new Set(model.ranks.map(rank => rank.map.id))
	if (ids.size === 1) return
	model.violations++
	const names = [...ids].join(' and ')
	process.stderr.write(`two maps in step ${model.step}: ${names}\n`)
}

function measure(model: GroupModel, batch: readonly number[]): void {
	const { options, popularity, ranks } = model
	const requests = batch.reduce((sum, size) => sum + size, 0)
	const times = ranks.map(
		(_, rank) => options.baseMs + options.tokenMs * (batch[rank] ?? 0),
	)
	for (const rank of ranks) rank.tokens.fill(0)
	for (let layer = 0; layer < options.layers; layer++) {
		const holders = countHolders(model, layer)
		for (const [at, rank] of ranks.entries())
			for (const expert of rank.map.slots[layer]!) {
				const share = popularity.share[layer]![expert]!
				const all = requests * options.topK * share
				const tokens = all / holders[expert]!
				rank.tokens[expert]! += tokens
				times[at]! += tokens * options.expertMs
			}
	}
	const slowest = Math.max(...times)
	const mean = times.reduce((sum, time) => sum + time, 0) / times.length
	for (const [at, rank] of ranks.entries()) rank.stepMs = times[at]!
	model.stepMs = slowest
	model.meanStepMs = mean
	model.meanSkew += SMOOTHING * (slowest / mean - model.meanSkew)
}

function countHolders(model: GroupModel, layer: number): Uint16Array {
	const holders = new Uint16Array(model.options.experts)
	for (const rank of model.ranks)
		for (const expert of rank.map.slots[layer]!) holders[expert]!++
	return holders
}
