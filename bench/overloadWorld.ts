/**
 * A discrete-event run of backend servers under load: the daemons' own routing and
 * admission, or plain queues with a baseline's choice.
 */

import type { AdmissionState, Moment, ServerTable } from '@juniperhook/core'
import {
	applyReport,
	attemptKey,
	chooseServer,
	createAdmission,
	createRandom,
	createServerTable,
	recordResult,
	recordSent,
	stepAdmission,
} from '@juniperhook/core'
import { build } from 'hdr-histogram-js'

/** Backend servers, and requests that each runs at once. */
export const SERVERS = 8
export const SLOTS = 8
/** Mean time of a request, ms. */
export const SERVICE_MS = 50
const ROSTER_SHARE = 0.1
const DEADLINE_MS = 1_000
const REPORT_MS = 500
/** How much slower the stalled server is. */
export const STALL_FACTOR = 50
const STEP_MS = 1
/** Tries of a request that was refused elsewhere. */
const MAX_ATTEMPTS = 3

/** How requests are placed. */
export type Strategy = 'juniperhook' | 'round robin' | 'least connections'

interface Job {
	readonly id: number
	readonly roster: boolean
	readonly arrivedAt: number
	attempts: number
	row: number
}

/** What a run came to. */
export interface Result {
	readonly goodput: number
	readonly rosterP99: number
	readonly refused: number
	readonly late: number
}

interface Simulation {
	readonly strategy: Strategy
	readonly random: () => number
	readonly table: ServerTable
	readonly agents: AdmissionState[]
	/** Plain queues of the baselines. */
	readonly queues: Job[][]
	readonly running: number[]
	readonly jobs: Map<string, Job>
	readonly finishesAt: Map<number, { row: number; id: string }[]>
	readonly latency: ReturnType<typeof build>
	stalledRow: number
	good: number
	late: number
	refused: number
	next: number
}

/** Runs a load for some seconds after a warm-up. */
export function simulate(
	strategy: Strategy,
	loadFactor: number,
	seconds: number,
	stalled: boolean,
): Result {
	const at = (now: number): Moment => ({ now, wall: now })
	const world: Simulation = {
		strategy,
		random: createRandom(1),
		table: createServerTable(
			Array.from({ length: SERVERS }, (_, n) => `s${n}`),
		),
		agents: Array.from({ length: SERVERS }, () =>
			createAdmission(at(0), SLOTS),
		),
		queues: Array.from({ length: SERVERS }, () => []),
		running: new Array(SERVERS).fill(0),
		jobs: new Map(),
		finishesAt: new Map(),
		latency: build(),
		stalledRow: stalled ? 0 : -1,
		good: 0,
		late: 0,
		refused: 0,
		next: 0,
	}
	world.table.open.fill(1)
	world.table.slots.fill(SLOTS)
	const perMs = (loadFactor * SERVERS * SLOTS) / SERVICE_MS
	const warmUp = 5_000
	const end = warmUp + seconds * 1_000
	let due = 0
	for (let now = 1; now <= end; now += STEP_MS) {
		if (now === warmUp) resetTallies(world)
		for (const { row, id } of world.finishesAt.get(now) ?? [])
			finish(world, row, id, now)
		world.finishesAt.delete(now)
		if (now % 100 === 0 && strategy === 'juniperhook')
			for (const row of world.agents.keys())
				stepAgent(world, row, { type: 'tick' }, now)
		if (now % REPORT_MS === 0) report(world, now)
		for (due += perMs * STEP_MS; due >= 1; due--) {
			const roster = world.random() < ROSTER_SHARE
			const id = world.next++
			place(world, { id, roster, arrivedAt: now, attempts: 0, row: -1 }, now)
		}
	}
	return {
		goodput: world.good / seconds,
		rosterP99: world.latency.getValueAtPercentile(99),
		refused: world.refused,
		late: world.late,
	}
}

function resetTallies(world: Simulation): void {
	world.good = 0
	world.late = 0
	world.refused = 0
	world.latency.reset()
}

function place(world: Simulation, job: Job, now: number): void {
	job.attempts++
	const row = choose(world, job, now)
	if (row < 0) {
		world.refused++
		return
	}
	job.row = row
	if (world.strategy !== 'juniperhook') {
		world.queues[row]!.push(job)
		startPlain(world, row, now)
		return
	}
	recordSent(world.table, row, 1)
	const reqId = String(job.id)
	world.jobs.set(`${reqId}/${job.attempts}`, job)
	const offer = {
		reqId,
		attempt: job.attempts,
		team: job.roster ? 'rangers' : 'notes',
		weight: 1,
		priority: job.roster ? 0 : 6,
		startBudgetMs: DEADLINE_MS - (now - job.arrivedAt) - SERVICE_MS * 2,
		mayWait: true,
	}
	stepAgent(world, row, { type: 'offer', offer }, now)
}

function choose(world: Simulation, job: Job, now: number): number {
	const rows = [...world.agents.keys()]
	switch (world.strategy) {
		case 'juniperhook': {
			const query = { rows, avoid: job.row, cachedRow: -1, credit: 0 }
			return chooseServer(world.table, query, now, world.random)
		}
		case 'round robin':
			return job.id % SERVERS
		case 'least connections': {
			const held = rows.map(
				row => world.running[row]! + world.queues[row]!.length,
			)
			return held.indexOf(Math.min(...held))
		}
		default:
			return world.strategy satisfies never
	}
}

function stepAgent(
	world: Simulation,
	row: number,
	event: Parameters<typeof stepAdmission>[1],
	now: number,
): void {
	const effects = stepAdmission(world.agents[row]!, event, { now, wall: now })
	for (const effect of effects) {
		const id = attemptKey(effect.name)
		const job = world.jobs.get(id)
		if (!job) continue
		if (effect.do === 'start') schedule(world, row, id, now)
		if (effect.do !== 'refuse') continue
		world.jobs.delete(id)
		recordSent(world.table, row, -1)
		if (job.attempts < MAX_ATTEMPTS) place(world, job, now)
		else world.refused++
	}
}

function schedule(
	world: Simulation,
	row: number,
	id: string,
	now: number,
): void {
	const factor = row === world.stalledRow ? STALL_FACTOR : 1
	const spread = 0.5 + world.random()
	const end = Math.ceil(now + SERVICE_MS * spread * factor)
	const ends = world.finishesAt.get(end) ?? []
	ends.push({ row, id })
	world.finishesAt.set(end, ends)
}

function startPlain(world: Simulation, row: number, now: number): void {
	while (world.running[row]! < SLOTS) {
		const job = world.queues[row]!.shift()
		if (!job) return
		world.running[row]!++
		const id = `${job.id}/1`
		world.jobs.set(id, job)
		schedule(world, row, id, now)
	}
}

function finish(world: Simulation, row: number, id: string, now: number): void {
	const job = world.jobs.get(id)
	world.jobs.delete(id)
	if (job) {
		const took = now - job.arrivedAt
		if (took <= DEADLINE_MS) world.good++
		else world.late++
		if (job.roster) world.latency.recordValue(took)
	}
	if (world.strategy !== 'juniperhook') {
		world.running[row]!--
		startPlain(world, row, now)
		return
	}
	recordSent(world.table, row, -1)
	if (job)
		recordResult(world.table, row, now - job.arrivedAt <= DEADLINE_MS, now)
	const [reqId = '', attempt] = id.split('/')
	const name = { reqId, attempt: Number(attempt) }
	stepAgent(world, row, { type: 'finish', name, how: 'whole' }, now)
}

function report(world: Simulation, now: number): void {
	for (const [row, agent] of world.agents.entries()) {
		const load = agent.running + agent.queue.waiting.length
		const { serviceMs } = agent
		applyReport(world.table, row, { load, serviceMs, stepShare: 1 }, now)
	}
}
