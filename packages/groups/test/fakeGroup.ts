/**
 * Fake lock-step group of engines for tests: passes, maps, orders that are lost or
 * executed late, and counts with a skewed demand.
 */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import { createRandom, distributeRoundRobin } from '@juniperhook/core'
import type { EnginePort, PublishedGroup } from '../src/index.ts'

/** Default number of ranks. */
export const RANKS = 4
const SETS = 2
const EXPERTS = 16
const PASS_MS = 5
const CHOICES_PER_PASS = 4_000
/** Maximum delay of orders that are executed late, ms. */
const MAX_LATE_MS = 700

interface Engine {
	map: number
	placements: number[][]
	prepared: { version: number; placements: number[][] } | undefined
	highest: number
	armed: { version: number; step: number } | undefined
	fence: number
	counts: number[]
}

/** State of a fake group. */
export interface FakeGroup {
	readonly port: EnginePort
	readonly group: PublishedGroup
	readonly engines: Engine[]
	step: number
	epoch: number
	held: number | undefined
	/** Share of the orders without an answer; half of them are executed late. */
	lossRate: number
	/** Addresses of unreachable engines. */
	readonly cutOff: Set<string>
	/** Passes that began with different maps; has to remain empty. */
	readonly mixedPasses: string[]
	/** Slowdown factor of each engine, by rank. */
	readonly paces: number[]
	/** Resets all engines and begins a new epoch, as when a group re-forms. */
	reform(): void
	stop(): void
}

/** Returns the address of a rank's engine; each has its own IP address. */
export function addressOf(rank: number): string {
	return `127.0.0.${20 + rank}:9000`
}

/** Starts a group that runs passes on a timer. */
export function startFakeGroup(seed: number, ranks = RANKS): FakeGroup {
	const random = createRandom(seed)
	const layout = {
		sets: SETS,
		experts: EXPERTS,
		places: 6,
		maxNew: 2,
		expertMb: 1,
		expertShare: 0.85,
		reformMs: 10,
	}
	const placement = distributeRoundRobin(ranks, layout)
	const createEngine = (rank: number): Engine => ({
		map: 0,
		placements: Array.from({ length: SETS }, () => [...placement[rank]!]),
		prepared: undefined,
		highest: 0,
		armed: undefined,
		fence: 0,
		counts: Array.from({ length: SETS * EXPERTS }, () => 0),
	})
	const rankOf = (address: string) =>
		group.group.members.findIndex(member => member.engine === address)
	const reach = (address: string) => {
		if (group.cutOff.has(address)) return undefined
		return group.engines[rankOf(address)]
	}
	const group: FakeGroup = {
		engines: Array.from({ length: ranks }, (_, rank) => createEngine(rank)),
		paces: new Array<number>(ranks).fill(1),
		step: 0,
		epoch: 1,
		held: undefined,
		lossRate: 0,
		cutOff: new Set(),
		mixedPasses: [],
		group: {
			members: Array.from({ length: ranks }, (_, rank) => ({
				rank,
				engine: addressOf(rank),
			})),
			layout,
			linkMbps: 180_000,
			cost: { stepMs: 1, perRequestMs: 0.1, stepsPerPass: 1 },
			slots: 8,
			maxPauseMs: PASS_MS,
		},
		port: {
			async report(address) {
				const engine = reach(address)
				return engine && reportOf(group, engine, rankOf(address))
			},
			async counts(address) {
				const engine = reach(address)
				return engine && { epoch: group.epoch, counts: [...engine.counts] }
			},
			async placement(address) {
				const engine = reach(address)
				if (!engine) return undefined
				const { map, placements } = engine
				return { epoch: group.epoch, map, experts: placements }
			},
			async order(address, order) {
				const engine = reach(address)
				if (!engine) return 'silent'
				if (random() >= group.lossRate) return handleOrder(group, engine, order)
				if (random() < 0.5)
					setTimeout(
						() => handleOrder(group, engine, order),
						random() * MAX_LATE_MS,
					)
				return 'silent'
			},
		},
		reform() {
			group.epoch++
			group.held = undefined
			for (const rank of group.engines.keys())
				group.engines[rank] = createEngine(rank)
		},
		stop: () => clearInterval(timer),
	}
	const timer = setInterval(() => runPass(group, random), PASS_MS)
	return group
}

function runPass(group: FakeGroup, random: () => number): void {
	if (group.held === group.step + 1) return
	group.step++
	for (const engine of group.engines) {
		if (engine.armed?.step === group.step) {
			engine.map = engine.armed.version
			engine.placements = engine.prepared!.placements
			engine.armed = undefined
		}
		for (let at = 0; at < engine.counts.length; at++) {
			const weight = at % EXPERTS === 0 || at % EXPERTS === 4 ? 6 : 1
			engine.counts[at]! += Math.round(
				(weight * random() * CHOICES_PER_PASS) / 20,
			)
		}
	}
	const maps = new Set(group.engines.map(engine => engine.map))
	if (maps.size > 1) group.mixedPasses.push(`pass ${group.step}: ${[...maps]}`)
}

function handleOrder(
	group: FakeGroup,
	engine: Engine,
	order: EngineOrder,
): OrderAnswer {
	if (order.epoch !== group.epoch) return 'conflict'
	if (order.type === 'probe') return 'done'
	if (order.fence < engine.fence) return 'fenced'
	const answer = executeOrder(group, engine, order)
	if (answer === 'done') engine.fence = Math.max(engine.fence, order.fence)
	return answer
}

function executeOrder(
	group: FakeGroup,
	engine: Engine,
	order: Exclude<EngineOrder, { type: 'probe' }>,
): OrderAnswer {
	switch (order.type) {
		case 'prepare': {
			if (engine.armed || order.version <= engine.highest) return 'conflict'
			const rank = group.engines.indexOf(engine)
			const placements = order.map.map(set => [...set[rank]!])
			engine.prepared = { version: order.version, placements }
			engine.highest = order.version
			return 'done'
		}
		case 'arm': {
			const { armed, prepared } = engine
			if (armed?.version === order.version) return 'done'
			const fits = prepared?.version === order.version && !armed
			if (!fits || order.step <= group.step) return 'conflict'
			engine.armed = { version: order.version, step: order.step }
			return 'done'
		}
		case 'disarm':
			if (engine.map === order.version) return 'conflict'
			if (engine.armed?.version === order.version) engine.armed = undefined
			return 'done'
		case 'hold':
			if (group.held === order.step) return 'done'
			if (group.held !== undefined || order.step <= group.step)
				return 'conflict'
			group.held = order.step
			return 'done'
		case 'go':
			if (group.held === order.step) group.held = undefined
			return 'done'
		default:
			return order satisfies never
	}
}

function reportOf(group: FakeGroup, engine: Engine, rank: number): RankReport {
	return {
		group: 'g',
		rank,
		size: group.engines.length,
		epoch: group.epoch,
		open: true,
		step: group.step,
		map: engine.map,
		prepared: engine.prepared?.version,
		armed: engine.armed,
		held: rank === 0 ? group.held : undefined,
		running: 4,
		waiting: 0,
		pace: group.paces[rank]!,
	}
}
