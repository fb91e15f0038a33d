/**
 * Simulates entries that exchange server crashes, in virtual time: updates that are late or
 * lost until their link reconnects, and entries that restart.
 */

import type { CrashEvidence, Quarantine, Random } from '../../src/index.ts'
import {
	createQuarantine,
	createRandom,
	listCrashEvidence,
	mergeCrashEvidence,
	quarantineLeftMs,
} from '../../src/index.ts'

const POISON = 'poison'
/** Time from the start of a poison request until its server crashes, ms. */
const MIN_RUN_MS = 20
const MAX_RUN_MS = 2_000
/** Delay before an update is sent, and maximum latency of a message, ms. */
const UPDATE_DELAY_MS = 50
const LATENCY_MS = 5
/** Time until a link that lost a message reconnects and exchanges all state, ms. */
const RECONNECT_MS = 2_000

/** Inputs of a simulation. */
export interface QuarantineScenario {
	readonly entries: number
	/** When the poison request arrives at a random entry, ms. */
	readonly arrivals: readonly number[]
	/** Share of the updates that are lost with their link. */
	readonly lossRate: number
	/** When a random entry restarts without its state, ms. */
	readonly restarts: readonly number[]
	readonly seed: number
}

/** Result of a simulation. */
export interface QuarantineOutcome {
	/** When servers crashed, ms. */
	readonly crashes: readonly number[]
	/** When the request was sent to a server, ms. */
	readonly sends: readonly number[]
}

interface Simulation {
	readonly random: Random
	readonly quarantines: Quarantine[]
	readonly sends: number[]
	readonly crashes: number[]
	/** Scheduled events, soonest last. */
	readonly events: { at: number; act(): void }[]
}

/** Simulates a scenario to its end. */
export function simulateQuarantine(
	scenario: QuarantineScenario,
): QuarantineOutcome {
	const sim: Simulation = {
		random: createRandom(scenario.seed),
		quarantines: Array.from({ length: scenario.entries }, createQuarantine),
		sends: [],
		crashes: [],
		events: [],
	}
	const draw = () => Math.floor(sim.random() * scenario.entries)
	for (const at of scenario.arrivals)
		schedule(sim, at, () => arrive(sim, scenario, draw(), at))
	for (const at of scenario.restarts)
		schedule(sim, at, () => restart(sim, draw(), at))
	for (let next = sim.events.pop(); next; next = sim.events.pop()) next.act()
	return { crashes: sim.crashes, sends: sim.sends }
}

function schedule({ events }: Simulation, at: number, act: () => void): void {
	const before = events.findLastIndex(one => one.at > at)
	events.splice(before + 1, 0, { at, act })
}

function arrive(
	sim: Simulation,
	scenario: QuarantineScenario,
	entry: number,
	now: number,
): void {
	const { random, quarantines } = sim
	if (quarantineLeftMs(quarantines[entry]!, POISON, now) > 0) return
	sim.sends.push(now)
	const ranMs = MIN_RUN_MS + random() * (MAX_RUN_MS - MIN_RUN_MS)
	const at = now + ranMs
	const server = `server-${sim.sends.length}`
	schedule(sim, at, () => {
		// An entry that has received the quarantine by now has cancelled the request.
		if (quarantineLeftMs(quarantines[entry]!, POISON, at) > 0) return
		sim.crashes.push(at)
		const ran = new Map([[POISON, ranMs]])
		receive(
			sim,
			scenario,
			entry,
			{ ends: [{ server, at, ran }], served: [] },
			at,
		)
	})
}

/** Merges evidence at an entry and forwards what is new to all others. */
function receive(
	sim: Simulation,
	scenario: QuarantineScenario,
	entry: number,
	received: CrashEvidence,
	now: number,
): void {
	const newEvidence = mergeCrashEvidence(sim.quarantines[entry]!, received, now)
	if (newEvidence.ends.length === 0) return
	for (let other = 0; other < scenario.entries; other++) {
		if (other === entry) continue
		const latencyMs = UPDATE_DELAY_MS + sim.random() * LATENCY_MS
		const isLost = sim.random() < scenario.lossRate
		const at = now + (isLost ? RECONNECT_MS : latencyMs)
		schedule(sim, at, () => receive(sim, scenario, other, newEvidence, at))
	}
}

/** Restarts an entry without its state; each other one then sends it all evidence. */
function restart(sim: Simulation, entry: number, now: number): void {
	const { quarantines } = sim
	const restarted = createQuarantine()
	quarantines[entry] = restarted
	for (const other of quarantines) {
		if (other === restarted) continue
		const at = now + RECONNECT_MS * sim.random()
		schedule(sim, at, () =>
			mergeCrashEvidence(restarted, listCrashEvidence(other), at),
		)
	}
}
