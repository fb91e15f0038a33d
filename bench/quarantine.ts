/**
 * Cost of keeping requests that end servers from all servers: time a request, by what
 * is remembered and by the length of its body, and memory when all is full.
 */

import { listBarred, takeEndNews } from '@juniperhook/core'
import { bodyLengthOf } from '../packages/gateway/src/fingerprint.ts'
import type { CallerRequest } from '../packages/gateway/src/job.ts'
import type { QuarantineGate } from '../packages/gateway/src/quarantineGate.ts'
import {
	createQuarantineGate,
	isQuarantined,
} from '../packages/gateway/src/quarantineGate.ts'
import { isQuick, printTable } from './output.ts'

const ENDS = 256
const NAMED = 16
/** Between ends, ms; more than ends that come together. */
const APART_MS = 1_000
const MICRO = 1_000
const KIB = 1_024

/** Runs the bench. */
export async function run(): Promise<void> {
	const rounds = isQuick() ? 200 : 2_000
	const full = fillGate(1_000)
	const rows = [0, 1_000, 16_000, 1_000_000].flatMap(bytes => [
		[
			String(bytes),
			'nothing remembered',
			timeOne(createQuarantineGate(), bytes, rounds),
		],
		[
			String(bytes),
			'full, no body of that length',
			timeOne(full, bytes + 1, rounds),
		],
		[
			String(bytes),
			'full, bodies of that length',
			timeOne(fillGate(bytes), bytes, rounds),
		],
	])
	printTable(['body bytes', 'remembered', 'µs a request'], rows)
	printTable(
		['full', 'value'],
		[
			['one more end judged, ms', timeEnd()],
			['memory, KiB', measureMemory()],
		],
	)
}

function fillGate(bodyLength: number): QuarantineGate {
	const gate = createQuarantineGate()
	const ends = Array.from({ length: ENDS }, (_, at) => ({
		server: `server-${at}`,
		at: at * APART_MS,
		ran: new Map(
			Array.from({ length: NAMED }, (_, one) => [
				one === 0
					? `${bodyLength.toString(36)}.deadly`
					: `${bodyLength.toString(36)}.${at}-${one}`,
				50,
			]),
		),
	}))
	takeEndNews(gate.quarantine, { ends, served: [] }, ENDS * APART_MS)
	gate.lengths = new Set([...gate.quarantine.suspects.keys()].map(bodyLengthOf))
	gate.barred = new Set(listBarred(gate.quarantine))
	return gate
}

function timeOne(gate: QuarantineGate, bytes: number, rounds: number): string {
	const body = Buffer.alloc(bytes)
	const request = { method: 'POST', path: '/x', team: undefined, body }
	const startedAt = performance.now()
	for (let round = 0; round < rounds; round++)
		isQuarantined({ gate } as never, { ...request } as CallerRequest)
	return (((performance.now() - startedAt) * MICRO) / rounds).toFixed(2)
}

function timeEnd(): string {
	const { quarantine } = fillGate(1_000)
	const startedAt = performance.now()
	const rounds = 50
	for (let round = 0; round < rounds; round++) {
		const at = (ENDS + round) * APART_MS
		const ran = new Map([[`x.${round}`, 50]])
		const ends = [{ server: `more-${round}`, at, ran }]
		takeEndNews(quarantine, { ends, served: [] }, at)
	}
	return ((performance.now() - startedAt) / rounds).toFixed(2)
}

function measureMemory(): string {
	globalThis.gc?.()
	const before = process.memoryUsage().heapUsed
	const kept = Array.from({ length: 10 }, (_, at) => fillGate(at))
	globalThis.gc?.()
	const bytes = process.memoryUsage().heapUsed - before
	return (bytes / kept.length / KIB).toFixed(0)
}
