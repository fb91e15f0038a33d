/**
 * Cost of the quarantine of poison requests: time per request by retained evidence and
 * body length, and memory when the evidence is full. Also simulates how many servers a
 * poison request crashes, and how many requests that ran beside it are quarantined by
 * mistake.
 */

import {
	createQuarantine,
	createRandom,
	listQuarantined,
	mergeCrashEvidence,
	randomIndex,
} from '@juniperhook/core'
import { bodyLengthOf } from '../packages/gateway/src/fingerprint.ts'
import type { CallerRequest } from '../packages/gateway/src/job.ts'
import { isQuarantined } from '../packages/gateway/src/quarantineGate.ts'
import type { QuarantineGate } from '../packages/gateway/src/quarantineState.ts'
import { createQuarantineGate } from '../packages/gateway/src/quarantineState.ts'
import { isQuick, printTable } from './output.ts'

const CRASHES = 256
const REQUESTS_PER_CRASH = 16
const PARTS_PER_CRASH = 32
/** Time between crashes, ms; long enough that they do not count as simultaneous. */
const CRASH_INTERVAL_MS = 1_000
const MICRO = 1_000
const KIB = 1_024

const TRIALS = 3_000
/** Requests that run beside the poison request for the first time, at each crash. */
const NEW_CONCURRENT_REQUESTS = 5
const MAX_ROUNDS = 8
/** Time between attempts of the poison request, ms: the group re-forms in between. */
const ATTEMPT_INTERVAL_MS = 4_000

/** Runs the benchmark. */
export async function run(): Promise<void> {
	const rounds = isQuick() ? 200 : 2_000
	const full = fillGate(1_000)
	const rows = [0, 1_000, 16_000, 1_000_000].flatMap(bytes => [
		[
			String(bytes),
			'no evidence',
			timeRequest(createQuarantineGate(), bytes, rounds),
		],
		[
			String(bytes),
			'full, no body of that length',
			timeRequest(full, bytes + 1, rounds),
		],
		[
			String(bytes),
			'full, bodies of that length',
			timeRequest(fillGate(bytes), bytes, rounds),
		],
	])
	printTable(['body bytes', 'evidence', 'µs a request'], rows)
	printTable(
		[
			'servers',
			'crashes',
			'ran beside it',
			'quarantined for a time',
			'still quarantined',
		],
		[3, 16, 64].map(measureConcurrent),
	)
	printTable(
		['full', 'value'],
		[
			['one more crash merged, ms', timeCrash()],
			['memory, KiB', measureMemory()],
		],
	)
}

/**
 * Simulates requests that run beside a poison request; all of them are sent again after
 * each crash.
 */
function measureConcurrent(servers: number): string[] {
	const random = createRandom(5)
	let [crashes, concurrent, quarantinedOnce, stillQuarantined] = [0, 0, 0, 0]
	for (let trial = 0; trial < TRIALS; trial++) {
		const quarantine = createQuarantine()
		const quarantinedByMistake = new Set<string>()
		let resent: string[] = []
		for (let round = 0; round < MAX_ROUNDS; round++) {
			if (listQuarantined(quarantine).includes('poison')) break
			const at = round * ATTEMPT_INTERVAL_MS
			const onServer = resent.filter(() => randomIndex(random, servers) === 0)
			const answered = resent.filter(one => !onServer.includes(one))
			const newRequests = Array.from(
				{ length: NEW_CONCURRENT_REQUESTS },
				(_, one) => `${round}-${one}`,
			)
			const running = [...onServer, ...newRequests]
			const ran = new Map(running.map(one => [one, 100 + random() * 1_500]))
			ran.set('poison', 40 + random() * 1_900)
			const crash = { server: `server-${round}`, at, ran }
			mergeCrashEvidence(quarantine, { ends: [crash], served: [] }, at)
			for (const one of listQuarantined(quarantine))
				if (one !== 'poison') quarantinedByMistake.add(one)
			const served = answered.map(subject => ({ subject, at: at + 10 }))
			mergeCrashEvidence(quarantine, { ends: [], served }, at + 20)
			crashes++
			concurrent += newRequests.length
			resent = running
		}
		quarantinedOnce += quarantinedByMistake.size
		stillQuarantined += listQuarantined(quarantine).filter(
			one => one !== 'poison',
		).length
	}
	return [
		servers,
		(crashes / TRIALS).toFixed(2),
		concurrent,
		quarantinedOnce,
		stillQuarantined,
	].map(String)
}

function fillGate(bodyLength: number): QuarantineGate {
	const gate = createQuarantineGate()
	const ends = Array.from({ length: CRASHES }, (_, at) => ({
		server: `server-${at}`,
		at: at * CRASH_INTERVAL_MS,
		ran: new Map(
			Array.from({ length: REQUESTS_PER_CRASH }, (_, one) => [
				one === 0
					? `${bodyLength.toString(36)}.poison`
					: `${bodyLength.toString(36)}.${at}-${one}`,
				50,
			]).concat(
				Array.from({ length: PARTS_PER_CRASH }, (_, one) => [
					one === 0 ? '#poison' : `#${at}-${one}`,
					50,
				]),
			) as [string, number][],
		),
	}))
	mergeCrashEvidence(
		gate.quarantine,
		{ ends, served: [] },
		CRASHES * CRASH_INTERVAL_MS,
	)
	gate.bodyLengths = new Set(
		[...gate.quarantine.suspects.keys()].map(bodyLengthOf),
	)
	gate.quarantined = new Set(listQuarantined(gate.quarantine))
	return gate
}

function timeRequest(
	gate: QuarantineGate,
	bytes: number,
	rounds: number,
): string {
	const body = Buffer.alloc(bytes)
	const request = { method: 'POST', path: '/x', team: undefined, body }
	const control = '127.0.0.1:1'
	const membership = { reachable: [control] }
	const permitHomes = { membership }
	const ctx = { quarantineGate: gate, permitHomes, settings: { control } }
	const startedAt = performance.now()
	for (let round = 0; round < rounds; round++)
		isQuarantined(ctx as never, { ...request } as CallerRequest)
	return (((performance.now() - startedAt) * MICRO) / rounds).toFixed(2)
}

function timeCrash(): string {
	const { quarantine } = fillGate(1_000)
	const startedAt = performance.now()
	const rounds = 50
	for (let round = 0; round < rounds; round++) {
		const at = (CRASHES + round) * CRASH_INTERVAL_MS
		const ran = new Map([[`x.${round}`, 50]])
		const ends = [{ server: `more-${round}`, at, ran }]
		mergeCrashEvidence(quarantine, { ends, served: [] }, at)
	}
	return ((performance.now() - startedAt) / rounds).toFixed(2)
}

function measureMemory(): string {
	globalThis.gc?.()
	const before = process.memoryUsage().heapUsed
	const gates = Array.from({ length: 10 }, (_, at) => fillGate(at))
	globalThis.gc?.()
	const bytes = process.memoryUsage().heapUsed - before
	return (bytes / gates.length / KIB).toFixed(0)
}
