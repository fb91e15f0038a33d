/**
 * Discrete-event simulation of backend servers under load, with the daemons' routing and
 * admission or with a baseline's choice and plain queues.
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

/** Number of backend servers. */
export const SERVERS = 8
/** Number of requests that each server runs at once. */
export const SLOTS = 8
/** Mean time of a request, ms. */
export const SERVICE_MS = 50
const ROSTER_SHARE = 0.1
const DEADLINE_MS = 1_000
const REPORT_MS = 500
/** Factor by which the stalled server is slower. */
export const STALL_FACTOR = 50
const STEP_MS = 1
/** Limit on attempts of a request that servers refuse. */
const MAX_ATTEMPTS = 3

/** Strategy by which requests are assigned to servers. */
export type Strategy = 'juniperhook' | 'round robin' | 'least connections'

interface Job {
	readonly id: number
	readonly roster: boolean
	readonly arrivedAt: number
	attempts: number
	row: number
}

/** Result of a simulation. */
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

/** Simulates a load for some seconds after a warm-up. */
export function simulate(
	strategy: Strategy,
	loadFactor: number,
	seconds: number,
	stalled: boolean,
): Result {
	const at = (now: number): Moment => ({ now, wall: now })
	const sim: Simulation = {
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
	sim.table.open.fill(1)
	sim.table.slots.fill(SLOTS)
	const perMs = (loadFactor * SERVERS * SLOTS) / SERVICE_MS
	const warmUp = 5_000
	const end = warmUp + seconds * 1_000
	let due = 0
	for (let now = 1; now <= end; now += STEP_MS) {
		if (now === warmUp) resetTallies(sim)
		for (const { row, id } of sim.finishesAt.get(now) ?? [])
			finish(sim, row, id, now)
		sim.finishesAt.delete(now)
		if (now % 100 === 0 && strategy === 'juniperhook')
			for (const row of sim.agents.keys())
				stepAgent(sim, row, { type: 'tick' }, now)
		if (now % REPORT_MS === 0) report(sim, now)
		for (due += perMs * STEP_MS; due >= 1; due--) {
			const roster = sim.random() < ROSTER_SHARE
			const id = sim.next++
			dispatch(sim, { id, roster, arrivedAt: now, attempts: 0, row: -1 }, now)
		}
	}
	return {
		goodput: sim.good / seconds,
		rosterP99: sim.latency.getValueAtPercentile(99),
		refused: sim.refused,
		late: sim.late,
	}
}

function resetTallies(sim: Simulation): void {
	sim.good = 0
	sim.late = 0
	sim.refused = 0
	sim.latency.reset()
}

function dispatch(sim: Simulation, job: Job, now: number): void {
	job.attempts++
	const row = choose(sim, job, now)
	if (row < 0) {
		sim.refused++
		return
	}
	job.row = row
	if (sim.strategy !== 'juniperhook') {
		sim.queues[row]!.push(job)
		startPlain(sim, row, now)
		return
	}
	recordSent(sim.table, row, 1)
	const reqId = String(job.id)
	sim.jobs.set(`${reqId}/${job.attempts}`, job)
	const offer = {
		reqId,
		attempt: job.attempts,
		team: job.roster ? 'rangers' : 'notes',
		weight: 1,
		priority: job.roster ? 0 : 6,
		startBudgetMs: DEADLINE_MS - (now - job.arrivedAt) - SERVICE_MS * 2,
		mayWait: true,
	}
	stepAgent(sim, row, { type: 'offer', offer }, now)
}

function choose(sim: Simulation, job: Job, now: number): number {
	const rows = [...sim.agents.keys()]
	switch (sim.strategy) {
		case 'juniperhook': {
			const query = { rows, avoid: job.row, cachedRow: -1, cacheConfidence: 0 }
			return chooseServer(sim.table, query, now, sim.random)
		}
		case 'round robin':
			return job.id % SERVERS
		case 'least connections': {
			const inFlight = rows.map(
				row => sim.running[row]! + sim.queues[row]!.length,
			)
			return inFlight.indexOf(Math.min(...inFlight))
		}
		default:
			return sim.strategy satisfies never
	}
}

function stepAgent(
	sim: Simulation,
	row: number,
	event: Parameters<typeof stepAdmission>[1],
	now: number,
): void {
	const effects = stepAdmission(sim.agents[row]!, event, { now, wall: now })
	for (const effect of effects) {
		const id = attemptKey(effect.name)
		const job = sim.jobs.get(id)
		if (!job) continue
		if (effect.do === 'start') schedule(sim, row, id, now)
		if (effect.do !== 'refuse') continue
		sim.jobs.delete(id)
		recordSent(sim.table, row, -1)
		if (job.attempts < MAX_ATTEMPTS) dispatch(sim, job, now)
		else sim.refused++
	}
}

function schedule(sim: Simulation, row: number, id: string, now: number): void {
	const factor = row === sim.stalledRow ? STALL_FACTOR : 1
	const spread = 0.5 + sim.random()
	const end = Math.ceil(now + SERVICE_MS * spread * factor)
	const ends = sim.finishesAt.get(end) ?? []
	ends.push({ row, id })
	sim.finishesAt.set(end, ends)
}

function startPlain(sim: Simulation, row: number, now: number): void {
	while (sim.running[row]! < SLOTS) {
		const job = sim.queues[row]!.shift()
		if (!job) return
		sim.running[row]!++
		const id = `${job.id}/1`
		sim.jobs.set(id, job)
		schedule(sim, row, id, now)
	}
}

function finish(sim: Simulation, row: number, id: string, now: number): void {
	const job = sim.jobs.get(id)
	sim.jobs.delete(id)
	if (job) {
		const took = now - job.arrivedAt
		if (took <= DEADLINE_MS) sim.good++
		else sim.late++
		if (job.roster) sim.latency.recordValue(took)
	}
	if (sim.strategy !== 'juniperhook') {
		sim.running[row]!--
		startPlain(sim, row, now)
		return
	}
	recordSent(sim.table, row, -1)
	if (job) recordResult(sim.table, row, now - job.arrivedAt <= DEADLINE_MS, now)
	const [reqId = '', attempt] = id.split('/')
	const name = { reqId, attempt: Number(attempt) }
	stepAgent(sim, row, { type: 'finish', name, how: 'whole' }, now)
}

function report(sim: Simulation, now: number): void {
	for (const [row, agent] of sim.agents.entries()) {
		const load = agent.running + agent.queue.waiting.length
		const { serviceMs } = agent
		applyReport(sim.table, row, { load, serviceMs, stepShare: 1 }, now)
	}
}
