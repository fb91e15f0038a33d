/**
 * Measures the CPU time that a request through the gateway costs its entry. With
 * `--against FILE` (the `main.js` of another build), both builds are measured in pairs.
 */

import { readFileSync } from 'node:fs'
import { Agent, request } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { WIRE } from '../platform/src/index.ts'
import { entryIp, PORTS } from '../soak/src/addresses.ts'
import { HOST, PREFIX_OF } from '../soak/src/config.ts'
import type { SoakOptions } from '../soak/src/types.ts'
import { sleep } from '../soak/src/types.ts'
import { startWorld, stopWorld } from '../soak/src/world.ts'
import { isQuick, print, printTable } from './output.ts'

const NET = 77
const CALLERS = 8
const WARM_UP = 1_500
const REQUESTS = 6_000
const PAIRS = 7
const QUICK_PAIRS = 2
/** Unit of CPU times in `/proc`, ms. */
const TICK_MS = 10
/**
 * Indices of user and system time in `/proc/PID/stat`, counted after the process name.
 */
const CPU_TIME_FIELDS = [11, 12] as const
const READY_TIMEOUT_MS = 20_000
const POLL_INTERVAL_MS = 100

/** Runs the benchmark. */
export async function run(): Promise<void> {
	const against = process.argv[process.argv.indexOf('--against') + 1]
	const isPaired = process.argv.includes('--against')
	const pairs = isQuick() ? QUICK_PAIRS : PAIRS
	const rows: string[][] = []
	const ratios: number[] = []
	for (let pair = 0; pair < pairs; pair++) {
		const own = await measure(undefined)
		const row = [String(pair + 1), own.toFixed(1)]
		if (isPaired) {
			const other = await measure(against)
			ratios.push(own / other)
			row.push(other.toFixed(1), (own / other).toFixed(3))
		}
		rows.push(row)
	}
	print(`CPU time of an entry for a request through the gateway, us`)
	const head = ['pair', 'this build']
	printTable(isPaired ? [...head, 'other build', 'ratio'] : head, rows)
	if (isPaired) print(`median ratio: ${medianOf(ratios).toFixed(3)}`)
}

/** Returns the CPU time of an entry per request, us. */
async function measure(bundle: string | undefined): Promise<number> {
	const options: SoakOptions = {
		seed: 1,
		entries: 1,
		ranks: 1,
		plainServers: 3,
		clients: CALLERS,
		faultPhaseMs: 0,
		faults: 0,
		net: NET,
		faultFilter: '',
		poisonRequest: false,
		poisonPart: false,
		rateLimits: false,
		backoffs: false,
		rollbacks: false,
		evacuations: false,
		stops: false,
		takeovers: false,
		checksTiming: false,
		bundle,
		folder: join(tmpdir(), 'juniperhook-bench-gateway'),
	}
	const world = await startWorld(options)
	const agent = new Agent({ keepAlive: true, maxSockets: CALLERS })
	await awaitReady(agent)
	await sendRequests(agent, WARM_UP)
	const pid = world.entries[0]!.child!.pid!
	const before = readTicks(pid)
	await sendRequests(agent, REQUESTS)
	const spentMs = (readTicks(pid) - before) * TICK_MS
	agent.destroy()
	await stopWorld(world)
	return (spentMs * 1_000) / REQUESTS
}

async function awaitReady(agent: Agent): Promise<void> {
	const end = performance.now() + READY_TIMEOUT_MS
	while (performance.now() < end) {
		if ((await sendRequest(agent, 0).catch(() => 0)) === 200) return
		await sleep(POLL_INTERVAL_MS)
	}
	throw new Error('the entry did not start to serve in time')
}

async function sendRequests(agent: Agent, count: number): Promise<void> {
	let next = 1
	const caller = async () => {
		while (next <= count) {
			const status = await sendRequest(agent, next++)
			if (status !== 200)
				throw new Error(`the entry answered with status ${status}`)
		}
	}
	await Promise.all(Array.from({ length: CALLERS }, caller))
}

let lastId = 0

function sendRequest(agent: Agent, number: number): Promise<number> {
	return new Promise((resolve, reject) => {
		const req = request({
			host: entryIp(NET, 0),
			port: PORTS.callers,
			path: `${PREFIX_OF.repeatable}${number}`,
			agent,
			headers: {
				host: HOST,
				authorization: `${WIRE.keyScheme} key-rangers`,
				[WIRE.requestId]: `bench-${++lastId}`,
			},
		})
		req.on('error', reject)
		req.on('response', res => {
			res.resume()
			res.on('end', () => resolve(res.statusCode ?? 0))
		})
		req.end()
	})
}

function readTicks(pid: number): number {
	const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
	const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
	return CPU_TIME_FIELDS.reduce((sum, at) => sum + Number(fields[at]), 0)
}

function medianOf(values: readonly number[]): number {
	const sorted = [...values].sort((a, b) => a - b)
	return sorted[Math.floor(sorted.length / 2)]!
}
