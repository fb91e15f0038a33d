/**
 * Cost of the request path: latency added to that of a direct call of the backend, CPU
 * time of the entry per streamed chunk, and memory of both daemons.
 */

import { readFileSync } from 'node:fs'
import type { Fleet } from '@juniperhook/fakes'
import {
	entryIp,
	PORTS,
	rankIp,
	serviceIp,
	startFleet,
	stopFleet,
	TEAM_KEY,
} from '@juniperhook/fakes'
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import { isQuick, print, printTable } from './output.ts'

const RATE = 200
const MS = 1_000
const MICROS_PER_MS = 1_000
const CLOCK_TICKS = 100
const WARM_UP_SECONDS = 3
const dispatcher = new Agent({ connections: 256, pipelining: 1 })

/** Runs the benchmark; prints which targets are met. */
export async function run(): Promise<void> {
	const seconds = isQuick() ? 5 : 30
	const fleet = await startFleet({
		entries: 1,
		services: 1,
		serviceDelayMs: 0,
		serviceSlots: 256,
		ranks: 2,
		group: { baseMs: 2, tokenMs: 0, expertMs: 0, slots: 512 },
	})
	try {
		await measureLatency(fleet, seconds)
		await measureStreams(fleet, seconds)
		await measureMemory(fleet, isQuick() ? 5 : 60)
	} finally {
		stopFleet(fleet)
	}
}

async function measureLatency(fleet: Fleet, seconds: number): Promise<void> {
	const via = `http://${entryIp(fleet, 0)}:${PORTS.data}/services/huts`
	const direct = `http://${serviceIp(fleet, 0)}:${PORTS.backend}`
	await driveBoth(via, direct, WARM_UP_SECONDS)
	const [added, base] = await driveBoth(via, direct, seconds)
	const latencyMs = (histogram: Histogram, percentile: number) =>
		histogram.getValueAtPercentile(percentile) / MICROS_PER_MS
	print(`added latency, ${RATE} requests/s for ${seconds} s`)
	const row = (name: string, histogram: Histogram) => [
		name,
		latencyMs(histogram, 50).toFixed(2),
		latencyMs(histogram, 99).toFixed(2),
		String(histogram.totalCount),
	]
	const p50 = latencyMs(added, 50) - latencyMs(base, 50)
	const p99 = latencyMs(added, 99) - latencyMs(base, 99)
	printTable(
		['path', 'p50 ms', 'p99 ms', 'count'],
		[row('direct', base), row('juniperhook', added)],
	)
	checkTarget('added p50 (ms)', p50, 1)
	checkTarget('added p99 (ms)', p99, 5)
}

async function driveBoth(
	via: string,
	direct: string,
	seconds: number,
): Promise<[Histogram, Histogram]> {
	const results: [Histogram, Histogram] = [build(), build()]
	const pending: Promise<void>[] = []
	const start = performance.now()
	for (let n = 0; n < seconds * RATE; n++) {
		const due = start + (n * MS) / RATE
		while (performance.now() < due)
			await new Promise(resolve => setTimeout(resolve, 1))
		// Calls alternate between the paths, so that both run under the same conditions.
		pending.push(timeCall(`${via}/rosters/pine`, results[0]))
		await new Promise(resolve => setTimeout(resolve, MS / RATE / 2))
		pending.push(timeCall(`${direct}/rosters/pine`, results[1]))
	}
	await Promise.all(pending)
	return results
}

async function timeCall(url: string, into: Histogram): Promise<void> {
	const started = performance.now()
	const res = await request(url, {
		headers: { authorization: `Bearer ${TEAM_KEY}` },
		dispatcher,
	})
	await res.body.text()
	if (res.statusCode !== 200)
		throw new Error(`request answered with status ${res.statusCode}`)
	into.recordValue(Math.round((performance.now() - started) * MICROS_PER_MS))
}

async function measureStreams(fleet: Fleet, seconds: number): Promise<void> {
	const streams = 100
	const entryPid = fleet.processes.get('entry-0')?.child.pid ?? 0
	const url = `http://${entryIp(fleet, 0)}:${PORTS.data}/v1/completions`
	const before = readCpuMs(entryPid)
	const started = performance.now()
	const end = started + seconds * MS
	let chunks = 0
	const worker = async () => {
		while (performance.now() < end) {
			const received = await readStream(url)
			chunks += received
		}
	}
	await Promise.all(Array.from({ length: streams }, worker))
	const elapsed = (performance.now() - started) / MS
	const cpu = readCpuMs(entryPid) - before
	print(`\n${streams} streams at once for ${elapsed.toFixed(1)} s`)
	checkTarget('chunks a second', chunks / elapsed, 20_000, 'at least')
	checkTarget('entry CPU a chunk (µs)', (cpu * MICROS_PER_MS) / chunks, 50)
	print(`  entry CPU: ${((cpu / elapsed / MS) * 100).toFixed(0)}% of a core`)
	const agents = [0, 1].map(
		n => fleet.processes.get(`rank-${n}`)?.child.pid ?? 0,
	)
	print(`  engines at ${rankIp(fleet, 0)} …: ${agents.length} agents`)
}

async function readStream(url: string): Promise<number> {
	const res = await request(url, {
		method: 'POST',
		headers: { authorization: `Bearer ${TEAM_KEY}` },
		body: JSON.stringify({
			model: 'writer',
			prompt: `p${Math.random()}`,
			stream: true,
			max_tokens: 400,
		}),
		dispatcher,
	})
	const text = await res.body.text()
	if (!text.includes('[DONE]'))
		throw new Error(`stream truncated, ends with: ${text.slice(-200)}`)
	return text.split('\n\n').length - 1
}

async function measureMemory(fleet: Fleet, seconds: number): Promise<void> {
	const via = `http://${entryIp(fleet, 0)}:${PORTS.data}/services/huts`
	const direct = `http://${serviceIp(fleet, 0)}:${PORTS.backend}`
	await driveBoth(via, direct, seconds)
	print(`\nresident memory after ${seconds} s more of load`)
	for (const name of ['entry-0', 'service-0', 'rank-0']) {
		const pid = fleet.processes.get(name)?.child.pid ?? 0
		print(`  ${name}: ${readResidentMb(pid).toFixed(0)} MB`)
	}
}

function checkTarget(
	what: string,
	value: number,
	target: number,
	sense: 'at most' | 'at least' = 'at most',
): void {
	const met = sense === 'at most' ? value <= target : value >= target
	const status = met ? 'met' : 'MISSED'
	print(`  ${what}: ${value.toFixed(2)} (aim ${sense} ${target}): ${status}`)
}

/** User and system CPU time of a process so far, ms. */
function readCpuMs(pid: number): number {
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1] ?? ''
	const parts = fields.split(' ')
	const ticks = Number(parts[11]) + Number(parts[12])
	return (ticks * MS) / CLOCK_TICKS
}

function readResidentMb(pid: number): number {
	const text = readFileSync(`/proc/${pid}/status`, 'utf8')
	return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024
}
