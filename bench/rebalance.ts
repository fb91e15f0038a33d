/**
 * Compares rebalancing policies on the same traces: step-time skew against the cost of
 * moves. Loading costs the same under each policy: every expert takes its transfer time
 * from the weight store, the group loses a share of its capacity meanwhile, and a plan
 * takes effect only when its last expert is loaded.
 */

import { writeFileSync } from 'node:fs'
import type { LayerPlacement } from '@juniperhook/core'
import {
	cloneLayer,
	computeRankLoads,
	computeSkew,
	createLayer,
	createRandom,
	expertLoadMs,
	listExpertLoads,
} from '@juniperhook/core'
import { build } from 'hdr-histogram-js'
import { plotFrontier } from './frontierPlot.ts'
import { isQuick, print, printTable } from './output.ts'
import type { Policy } from './policies.ts'
import { createPolicies } from './policies.ts'
import type { Trace } from './traces.ts'
import { createTraces } from './traces.ts'

const EXPERTS = 128
/** Simulated layers; each represents {@link LAYERS_EACH} of a model's 60. */
const LAYERS = 4
const LAYERS_EACH = 15
const WINDOW_MS = 60_000
const BYTES_PER_EXPERT = 44_000_000
const STORE_BYTES_PER_SECOND = 2_000_000_000
/** Share of the group's capacity lost while it loads experts. */
export const LOAD_LOSS = 0.05
/** Share of a step that experts take. */
export const EXPERT_SHARE = 0.7
const TOKENS_PER_WINDOW = 2_000_000
const SCALE = 10_000
const STORM_GRACE_WINDOWS = 10
const PLOT_PATH = 'docs/rebalance-frontier.svg'

/** Parameters of one comparison. */
interface Setting {
	readonly ranks: number
	readonly spare: number
	readonly exponent: number
	readonly seed: number
}

/** Result of one policy on one trace. */
export interface PolicyResult {
	readonly policy: string
	readonly trace: string
	readonly meanSkew: number
	readonly p99Skew: number
	/** Mean skew of the windows after the grace time of a storm. */
	readonly settledSkew: number
	readonly moves: number
	/** Moves after the warm-up. */
	readonly lateMoves: number
	readonly bytes: number
	/** Seconds of the whole group's capacity lost to loading. */
	readonly lostSeconds: number
	/** Token throughput relative to a group without skew or loading, in percent. */
	readonly tokens: number
	readonly planMs: number
}

/** Runs all policies on all traces. */
export async function run(): Promise<void> {
	const settings = listSettings()
	const results: { setting: Setting; rows: PolicyResult[] }[] = []
	for (const setting of settings) {
		const rows = runSetting(setting)
		results.push({ setting, rows })
		printSetting(setting, rows)
	}
	checkTargets(results)
	const [first] = results
	if (!first || isQuick()) return
	writeFileSync(PLOT_PATH, plotFrontier(first.rows))
	print(`\nfrontier written to ${PLOT_PATH}`)
}

function listSettings(): Setting[] {
	const base = { ranks: 16, spare: 2, exponent: 0.8, seed: 1 }
	if (isQuick()) return [base]
	return [
		base,
		{ ...base, seed: 2 },
		{ ...base, exponent: 0.6 },
		{ ...base, exponent: 1 },
		{ ...base, ranks: 64 },
		{ ...base, spare: 0 },
	]
}

function runSetting(setting: Setting): PolicyResult[] {
	const traces = createTraces(EXPERTS, LAYERS, setting.exponent, setting.seed)
	return traces.flatMap(trace =>
		createPolicies(LAYERS, EXPERTS, WINDOW_MS, loadMs()).map(policy =>
			runPolicy(setting, trace, policy),
		),
	)
}

function loadMs(): number {
	return LAYERS_EACH * expertLoadMs(BYTES_PER_EXPERT, STORE_BYTES_PER_SECOND)
}

function runPolicy(
	setting: Setting,
	trace: Trace,
	policy: Policy,
): PolicyResult {
	const random = createRandom(setting.seed + 1_000)
	const { ranks, spare } = setting
	let active = Array.from({ length: LAYERS }, () =>
		createLayer(ranks, EXPERTS, spare),
	)
	let next: { layers: LayerPlacement[]; at: number } | undefined
	const skews: number[] = []
	const histogram = build()
	const totals = { moves: 0, lateMoves: 0, lostMs: 0, tokens: 0, planMs: 0 }
	for (const [window, share] of trace.windows.entries()) {
		const now = window * WINDOW_MS
		if (next && next.at <= now) {
			active = next.layers
			next = undefined
		}
		const skew = measureSkew(active, share)
		skews.push(skew)
		histogram.recordValue(Math.round(skew * SCALE))
		const started = performance.now()
		const tokens = sampleTokens(share, random)
		const planned = next ? policy.observe(tokens) : policy.plan(active, tokens)
		totals.planMs = Math.max(totals.planMs, performance.now() - started)
		const loads = planned ? countLoads(active, planned) : 0
		if (planned && loads > 0) {
			next = { layers: planned.map(cloneLayer), at: now + loads * loadMs() }
			totals.moves += loads
			if (window >= trace.warmUp) totals.lateMoves += loads
			totals.lostMs += loads * loadMs() * LOAD_LOSS
		}
		const step = 1 - EXPERT_SHARE + EXPERT_SHARE * skew
		totals.tokens += 1 / step
	}
	const settled = skews.filter((_, at) =>
		trace.isSettled(at, STORM_GRACE_WINDOWS),
	)
	const length = trace.windows.length
	const lostShare = totals.lostMs / (length * WINDOW_MS)
	return {
		policy: policy.name,
		trace: trace.name,
		meanSkew: meanOf(skews),
		p99Skew: histogram.getValueAtPercentile(99) / SCALE,
		settledSkew: meanOf(settled),
		moves: totals.moves,
		lateMoves: totals.lateMoves,
		bytes: totals.moves * LAYERS_EACH * BYTES_PER_EXPERT,
		lostSeconds: totals.lostMs / 1_000,
		tokens: 100 * (totals.tokens / length) * (1 - lostShare),
		planMs: totals.planMs,
	}
}

/** Returns the mean skew over layers, as ranks wait for each other in every layer. */
function measureSkew(
	layers: readonly LayerPlacement[],
	share: Float64Array,
): number {
	const skews = layers.map((layer, at) =>
		computeSkew(computeRankLoads(layer, share, at * EXPERTS)),
	)
	return meanOf(skews)
}

/** Returns token counts of a window with the noise of a finite sample. */
function sampleTokens(share: Float64Array, random: () => number): Float64Array {
	return share.map(fraction => {
		const mean = fraction * TOKENS_PER_WINDOW
		const normal = random() + random() + random() + random() - 2
		return Math.max(0, mean + normal * Math.sqrt(3 * mean))
	})
}

function countLoads(
	active: readonly LayerPlacement[],
	planned: readonly LayerPlacement[],
): number {
	return planned.reduce(
		(sum, layer, at) => sum + listExpertLoads(active[at]!, layer, at).length,
		0,
	)
}

function meanOf(values: readonly number[]): number {
	return values.reduce((sum, value) => sum + value, 0) / values.length
}

function printSetting(setting: Setting, rows: readonly PolicyResult[]): void {
	const { ranks, spare, exponent, seed } = setting
	print(
		`\n${ranks} ranks, ${EXPERTS} experts, ${LAYERS} layers that stand for ${LAYERS * LAYERS_EACH}, ${spare} spare slots a rank a layer, Zipf ${exponent}, seed ${seed}`,
	)
	printTable(
		[
			'trace / policy',
			'mean skew',
			'p99',
			'settled',
			'moves',
			'late',
			'TB',
			'lost s',
			'tokens %',
			'plan ms',
		],
		rows.map(row => [
			`${row.trace} / ${row.policy}`,
			row.meanSkew.toFixed(3),
			row.p99Skew.toFixed(2),
			row.settledSkew.toFixed(3),
			String(row.moves),
			String(row.lateMoves),
			(row.bytes / 1e12).toFixed(2),
			row.lostSeconds.toFixed(1),
			row.tokens.toFixed(1),
			row.planMs.toFixed(0),
		]),
	)
}

function checkTargets(
	results: readonly { setting: Setting; rows: readonly PolicyResult[] }[],
): void {
	print('\naims (policy "ours, even", settings with spare slots)')
	for (const { setting, rows } of results) {
		if (setting.spare === 0) continue
		const find = (trace: string, policy: string) =>
			rows.find(row => row.trace === trace && row.policy === policy)!
		const check = (what: string, met: boolean, detail: string) =>
			print(
				`  ${met ? 'met   ' : 'MISSED'} ${setting.ranks} ranks Zipf ${setting.exponent} seed ${setting.seed}: ${what} (${detail})`,
			)
		const ours = 'ours, even'
		const drift = find('drift', ours)
		const full = find('drift', 'full')
		check(
			'drift: skew at most that of full re-placement',
			drift.meanSkew <= full.meanSkew,
			`${drift.meanSkew.toFixed(3)} against ${full.meanSkew.toFixed(3)}`,
		)
		check(
			'drift: at most a quarter of its moves',
			drift.moves <= full.moves / 4,
			`${drift.moves} against ${full.moves}`,
		)
		check(
			'drift: mean skew at most 1.10',
			drift.meanSkew <= 1.1,
			drift.meanSkew.toFixed(3),
		)
		const storm = find('storm', ours)
		check(
			'storm: at most 1.20 after ten minutes',
			storm.settledSkew <= 1.2,
			storm.settledSkew.toFixed(3),
		)
		const stationary = find('stationary', ours)
		check(
			'stationary: no move after warm-up',
			stationary.lateMoves === 0,
			String(stationary.lateMoves),
		)
		const oscillating = find('oscillating', ours)
		const never = find('oscillating', 'never')
		const relativeCost = (row: PolicyResult) => 100 / row.tokens
		check(
			'oscillating: at most 5% above the cost of never moving',
			relativeCost(oscillating) <= relativeCost(never) * 1.05,
			`${relativeCost(oscillating).toFixed(3)} against ${relativeCost(never).toFixed(3)}`,
		)
	}
}
