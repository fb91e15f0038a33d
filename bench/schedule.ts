/**
 * Compares policies for the expert map of a lock-step group whose demand shifts every
 * few seconds, on the same arrivals in virtual time.
 */

import { writeFileSync } from 'node:fs'
import type { GroupMap, SetPlan } from '@juniperhook/core'
import { computeSetSkew, passFactor, planMap, planSet } from '@juniperhook/core'
import type { ExpertGroup, ExpertWorkload } from '@juniperhook/fakes'
import {
	createExpertGroup,
	demandOf,
	simulatePass,
	startCopies,
} from '@juniperhook/fakes'
import type { Demand } from '@juniperhook/groups'
import {
	addChoices,
	computeExpertShares,
	createDemand,
	refreshDemand,
} from '@juniperhook/groups'
import { isQuick, print, printTable } from './output.ts'

/** Figures of the users' configuration. */
const WORKLOAD: ExpertWorkload = {
	ranks: 16,
	layout: {
		sets: 4,
		experts: 64,
		places: 5,
		maxNew: 2,
		expertMb: 880,
		expertShare: 0.85,
		reformMs: 600,
	},
	slots: 8,
	stepsPerPass: 5,
	stepMs: 5.85,
	perRequestMs: 0.53,
	linkMbps: 180_000,
	arrivalsPerSecond: 60,
	events: 28,
	subjects: 9,
	shiftShare: 0.76,
	shiftEveryMs: 3_500,
	lengthMs: 34_000,
	seed: 20261202,
}
const WORKLOADS: { name: string; change: Partial<ExpertWorkload> }[] = [
	{ name: 'quiet', change: {} },
	{ name: 'peak', change: { arrivalsPerSecond: 72 } },
	{
		name: '72 ranks',
		change: {
			ranks: 72,
			slots: 7,
			arrivalsPerSecond: 188,
			layout: {
				...WORKLOAD.layout,
				sets: 12,
				experts: 144,
				places: 3,
				maxNew: 1,
			},
		},
	},
]

/** Interval of reading counts, ms; the same as the agents'. */
const COUNT_INTERVAL_MS = 200
/** Time from the end of copying until the map is in use, ms. */
const ARM_MS = 150
/** Expert choices per pass, by which demand is converted to counts. */
const CHOICES_PER_PASS = 100_000
const MAX_PAUSE_MS = 120

type Policy =
	| 'never'
	/** Rebalances whenever the map can be improved. */
	| 'always'
	/** Places all experts anew for the present demand. */
	| 'full'
	/** Rebalances when the load of the most loaded rank exceeds 1.5 times the mean. */
	| 'threshold'
	/** The agents' policy. */
	| 'present'
	/** Lower bound: balances for the demand of each pass, at once and without cost. */
	| 'bound'

const POLICIES: Policy[] = [
	'never',
	'always',
	'full',
	'threshold',
	'present',
	'bound',
]
const THRESHOLD = 1.5

interface PolicyResult {
	readonly workload: string
	readonly policy: Policy
	readonly mean: number
	readonly p50: number
	readonly p99: number
	/** Share of the time spent in passes longer than {@link MAX_PAUSE_MS}. */
	readonly late: number
	readonly copies: number
	readonly changes: number
}

function simulate(
	name: string,
	workload: ExpertWorkload,
	policy: Policy,
): PolicyResult {
	const group = createExpertGroup(workload)
	const { sets, experts } = workload.layout
	const demand = createDemand(sets, experts)
	const counts = new Array<number>(sets * experts).fill(0)
	let countedAt = 0
	let pending: { map: GroupMap; at: number } | undefined
	while (group.nowMs < workload.lengthMs) {
		if (policy === 'bound') group.map = planAll(group, demandOf(group), 1)
		const currentDemand = demandOf(group)
		simulatePass(group)
		for (const [expert, share] of currentDemand.entries())
			counts[expert]! += Math.round(share * CHOICES_PER_PASS)
		if (pending && group.nowMs >= pending.at) {
			group.map = pending.map
			group.changes++
			pending = undefined
		}
		if (group.nowMs - countedAt < COUNT_INTERVAL_MS) continue
		countedAt = group.nowMs
		addChoices(demand, counts)
		refreshDemand(demand, group.nowMs)
		counts.fill(0)
		if (pending || demand.totalChoices === 0) continue
		const map = decide(group, demand, policy)
		if (!map) continue
		const copyMs = startCopies(group, map)
		pending = { map, at: group.nowMs + copyMs + ARM_MS }
	}
	return summarize(name, policy, group)
}

function decide(
	group: ExpertGroup,
	demand: Demand,
	policy: Policy,
): GroupMap | undefined {
	const { layout } = group.workload
	const shares = group.map.map((_, set) => computeExpertShares(demand, set))
	const flat = new Float64Array(layout.sets * layout.experts)
	for (const [set, share] of shares.entries())
		flat.set(share, set * layout.experts)
	const skews = group.map.map((placement, set) =>
		computeSetSkew(placement, shares[set]!, layout),
	)
	const factor = passFactor(skews, layout.expertShare)
	switch (policy) {
		case 'never':
		case 'bound':
			return undefined
		case 'always':
			return factor > 1.03 ? planAll(group, flat, 1) : undefined
		case 'full':
			return planAll(group, flat, 1, true)
		case 'threshold':
			return Math.max(...skews) > THRESHOLD
				? planAll(group, flat, 1)
				: undefined
		case 'present': {
			const slowdowns = new Array<number>(group.workload.ranks).fill(1)
			const cost = {
				copyMs: (layout.expertMb * 8_000) / group.workload.linkMbps,
				overheadMs: ARM_MS,
				steadyMs: group.workload.shiftEveryMs,
			}
			const basis = { map: group.map, shares, layout, slowdowns, cost }
			return runToEnd(planMap(basis))?.placements
		}
		default:
			return policy satisfies never
	}
}

function runToEnd<T>(steps: Generator<void, T>): T {
	for (;;) {
		const step = steps.next()
		if (step.done) return step.value
	}
}

/** Plans all sets; with `fromScratch`, starting from the map with which a group forms. */
function planAll(
	group: ExpertGroup,
	shares: Float64Array,
	target: number,
	fromScratch = false,
): GroupMap {
	const { layout, ranks } = group.workload
	const unrestricted = { ...layout, maxNew: layout.places }
	return group.map.map((placement, set) => {
		const share = shares.subarray(
			set * layout.experts,
			(set + 1) * layout.experts,
		)
		const from = fromScratch
			? assignRoundRobin(ranks, layout.experts)
			: placement
		const plan: SetPlan = planSet(
			from,
			share,
			fromScratch ? unrestricted : layout,
			[],
			target,
		)
		return plan.placement
	})
}

function assignRoundRobin(ranks: number, experts: number): number[][] {
	const byRank: number[][] = Array.from({ length: ranks }, () => [])
	for (let expert = 0; expert < experts; expert++)
		byRank[expert % ranks]!.push(expert)
	return byRank
}

function summarize(
	workload: string,
	policy: Policy,
	group: ExpertGroup,
): PolicyResult {
	const passes = [...group.passes].sort((a, b) => a - b)
	const quantile = (share: number) =>
		passes[Math.floor(share * (passes.length - 1))]!
	// Weighted by time instead of number, as streams spend more time in long passes.
	const total = passes.reduce((sum, pass) => sum + pass, 0)
	const late = passes.filter(pass => pass > MAX_PAUSE_MS)
	return {
		workload,
		policy,
		mean: total / passes.length,
		p50: quantile(0.5),
		p99: quantile(0.99),
		late: late.reduce((sum, pass) => sum + pass, 0) / total,
		copies: group.copies,
		changes: group.changes,
	}
}

/** Runs the benchmark. */
export async function run(): Promise<void> {
	const workloads = isQuick() ? WORKLOADS.slice(0, 1) : WORKLOADS
	const rows: PolicyResult[] = []
	for (const { name, change } of workloads)
		for (const policy of POLICIES)
			rows.push(simulate(name, { ...WORKLOAD, ...change }, policy))
	printTable(
		[
			'workload',
			'policy',
			'mean ms',
			'p50',
			'p99',
			'late',
			'copies',
			'changes',
		],
		rows.map(row => [
			row.workload,
			row.policy,
			row.mean.toFixed(1),
			row.p50.toFixed(1),
			row.p99.toFixed(1),
			`${(row.late * 100).toFixed(1)}%`,
			String(row.copies),
			String(row.changes),
		]),
	)
	if (isQuick()) return
	writeFileSync('docs/schedule.svg', draw(rows))
	print('plot: docs/schedule.svg')
}

const WIDTH = 720
const ROW = 20
const MARGIN = 150

/** Draws bars of the mean pass time, labelled with the number of copies. */
function draw(rows: readonly PolicyResult[]): string {
	const maxMean = Math.max(...rows.map(row => row.mean))
	const bars = rows.map((row, at) => {
		const y = 30 + at * ROW
		const width = ((WIDTH - MARGIN - 120) * row.mean) / maxMean
		const colour = row.policy === 'present' ? '#1b6ca8' : '#999'
		return [
			`<text x="${MARGIN - 6}" y="${y + 12}" text-anchor="end">${row.workload}, ${row.policy}</text>`,
			`<rect x="${MARGIN}" y="${y}" width="${width.toFixed(0)}" height="${ROW - 5}" fill="${colour}"/>`,
			`<text x="${MARGIN + width + 5}" y="${y + 12}">${row.mean.toFixed(1)} ms, ${row.copies} copies</text>`,
		].join('')
	})
	const height = 50 + rows.length * ROW
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
		`<rect width="${WIDTH}" height="${height}" fill="white"/>`,
		`<text x="10" y="18">Mean pass time by policy</text>`,
		...bars,
		'</svg>\n',
	].join('\n')
}
