/**
 * Measures the cost of each role against the number of processes, servers, teams and
 * bytes, at three sizes each, for docs/CAPACITY.md. Costs are fitted with straight
 * lines.
 */

import { readFileSync } from 'node:fs'
import {
	chooseServer,
	createGossipNode,
	createLayer,
	createRandom,
	createServerTable,
	planLayer,
	readConfig,
	setMembers,
} from '@juniperhook/core'
import type { Fleet } from '@juniperhook/fakes'
import {
	entryIp,
	PORTS,
	serviceIp,
	startFleet,
	stopFleet,
} from '@juniperhook/fakes'
import { request } from 'undici'
import { isQuick, print, printTable } from './output.ts'

const MS = 1_000
const KILOBYTE = 1_024
const CLOCK_TICKS_PER_SECOND = 100
const FLEETS = [
	{ entries: 1, services: 4 },
	{ entries: 2, services: 8 },
	{ entries: 4, services: 16 },
]
const DOCUMENT_SERVERS = [100, 1_000, 3_900]
const MEMBERS = [50, 500, 4_230]
const TABLE_ROWS = [16, 64, 256]

/** Runs the benchmark. */
export async function run(): Promise<void> {
	measureDocument()
	measureMembers()
	measureTable()
	measurePlan()
	await measureFleets()
}

/** Returns the mean time of a call after one warm-up call, ms. */
function timeOf(work: () => void, times: number): number {
	work()
	const start = performance.now()
	for (let n = 0; n < times; n++) work()
	return (performance.now() - start) / times
}

function writeDocument(servers: number): string {
	const parts = ['[dataCentre.a]\nregion = r\n', '[service.huts]\n']
	for (let n = 0; n < Math.ceil(servers / 4.6); n++)
		parts.push(
			`[team.team-${n}]\nkeyDigests = ${String(n).padStart(64, '0')}\nratePerSecond = 10\n`,
		)
	for (let n = 0; n < servers; n++) {
		const ip = `10.${Math.floor(n / 65_536)}.${Math.floor(n / 256) % 256}.${n % 256}`
		parts.push(
			`[server.s${n}]\nkind = service\ndataCentre = a\nservice = huts\nagent = ${ip}:7400\nbackend = ${ip}:8080\n`,
		)
	}
	return parts.join('\n')
}

function measureDocument(): void {
	print('configuration document: validated completely on every node')
	const points: Point[] = []
	const rows = DOCUMENT_SERVERS.map(servers => {
		const text = writeDocument(servers)
		const ms = timeOf(() => readConfig(text), 3)
		const before = heapKb()
		const result = readConfig(text)
		const heap = heapKb() - before
		points.push({ x: servers, y: ms })
		return [
			String(servers),
			(text.length / KILOBYTE).toFixed(0),
			ms.toFixed(1),
			heap.toFixed(0),
			String(result.valid),
		]
	})
	printTable(['servers', 'KB', 'ms to validate', 'heap KB', 'valid'], rows)
	printFit(points, 'ms a server')
}

function measureMembers(): void {
	print('\nmembers: the work of a process when the VM list changes')
	const points: Point[] = []
	const rows = MEMBERS.map(size => {
		const members = Array.from({ length: size }, (_, n) => ({
			name: `vm-${String(n).padStart(5, '0')}`,
			region: `region-${n % 5}`,
		}))
		const node = createGossipNode('vm-00007', 'region-2', 0)
		const ms = timeOf(() => setMembers(node, members, 0), 5)
		points.push({ x: size, y: ms })
		return [String(size), ms.toFixed(2), String(node.neighbours.length)]
	})
	printTable(['members', 'ms a change', 'neighbours'], rows)
	printFit(points, 'ms a member')
}

function measureTable(): void {
	print('\nrouting table: one choice by power of two')
	const random = createRandom(1)
	const points: Point[] = []
	const rows = TABLE_ROWS.map(size => {
		const table = createServerTable(
			Array.from({ length: size }, (_, n) => `s${n}`),
		)
		table.open.fill(1)
		const all = [...table.open.keys()]
		const query = { rows: all, avoid: -1, cachedRow: -1, cacheConfidence: 0 }
		const ms = timeOf(() => chooseServer(table, query, 1, random), 2_000)
		points.push({ x: size, y: ms * MS })
		return [String(size), (ms * MS).toFixed(1)]
	})
	printTable(['servers in the subset', 'us a choice'], rows)
	printFit(points, 'us a server')
}

function measurePlan(): void {
	print('\nplan of one layer, 128 experts, Zipf 0.8, from even blocks')
	const share = new Float64Array(128).map((_, at) => (at + 1) ** -0.8)
	const total = share.reduce((sum, value) => sum + value, 0)
	for (const at of share.keys()) share[at]! /= total
	const terms = {
		skewWeight: 1,
		moveWeight: 1,
		horizonMs: 600_000,
		loadMs: 22,
		loadLoss: 0.05,
		expertShare: 0.7,
		layers: 60,
	}
	const rows = [16, 32, 64].map(ranks => {
		const layer = createLayer(ranks, 128, 2)
		const cold = timeOf(() => planLayer(layer, share, 0, terms), 3)
		const settled = planLayer(layer, share, 0, terms).placement
		const warm = timeOf(() => planLayer(settled, share, 0, terms), 3)
		const status = cold <= 50 ? 'met' : 'MISSED'
		return [String(ranks), cold.toFixed(1), warm.toFixed(1), status]
	})
	printTable(
		['ranks', 'ms a layer, cold', 'ms a layer, settled', 'aim 50 ms a slice'],
		rows,
	)
}

async function measureFleets(): Promise<void> {
	const seconds = isQuick() ? 10 : 60
	print(`\ncontrol traffic and resources of idle processes over ${seconds} s`)
	const rows: string[][] = []
	for (const { entries, services } of FLEETS) {
		const fleet = await startFleet({
			entries,
			services,
			serviceDelayMs: 1,
			serviceSlots: 8,
			ranks: 0,
		})
		try {
			await wait(12_000)
			rows.push(...(await measureFleet(fleet, entries, services, seconds)))
		} finally {
			stopFleet(fleet)
		}
	}
	printTable(
		[
			'fleet / role',
			'CPU % of a core',
			'RSS MB',
			'out B/s',
			'in B/s',
			'messages/s',
		],
		rows,
	)
	print('budget a node: CPU 2.3%, 64 MB, 5,120 B/s')
}

async function measureFleet(
	fleet: Fleet,
	entries: number,
	services: number,
	seconds: number,
): Promise<string[][]> {
	const roles = [
		{ role: 'entry', name: 'entry-0', ip: entryIp(fleet, 0) },
		{ role: 'agent', name: 'service-0', ip: serviceIp(fleet, 0) },
	]
	const read = async () =>
		await Promise.all(roles.map(({ name, ip }) => sample(fleet, name, ip)))
	const before = await read()
	await wait(seconds * MS)
	const after = await read()
	return roles.map(({ role }, at) => {
		const a = before[at]!
		const b = after[at]!
		const rate = (pick: (one: Sample) => number) =>
			(pick(b) - pick(a)) / seconds
		return [
			`${entries} entries, ${services} agents / ${role}`,
			(100 * rate(one => one.cpuSeconds)).toFixed(2),
			b.rssMb.toFixed(0),
			rate(one => one.bytesOut).toFixed(0),
			rate(one => one.bytesIn).toFixed(0),
			rate(one => one.messages).toFixed(2),
		]
	})
}

interface Sample {
	readonly cpuSeconds: number
	readonly rssMb: number
	readonly bytesOut: number
	readonly bytesIn: number
	readonly messages: number
}

async function sample(fleet: Fleet, name: string, ip: string): Promise<Sample> {
	const pid = fleet.processes.get(name)?.child.pid ?? 0
	const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1] ?? ''
	const parts = fields.split(' ')
	const ticks = Number(parts[11]) + Number(parts[12])
	const status = readFileSync(`/proc/${pid}/status`, 'utf8')
	const rss = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0)
	const res = await request(`http://${ip}:${PORTS.operators}/metrics`)
	const text = await res.body.text()
	const metric = (field: string) =>
		Number(
			new RegExp(`juniperhook_control_${field} (\\d+)`).exec(text)?.[1] ?? 0,
		)
	return {
		cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
		rssMb: rss / KILOBYTE,
		bytesOut: metric('bytes_out'),
		bytesIn: metric('bytes_in'),
		messages: metric('messages_in') + metric('messages_out'),
	}
}

interface Point {
	readonly x: number
	readonly y: number
}

/**
 * Prints the least-squares line through the points and its coefficient of
 * determination.
 */
function printFit(points: readonly Point[], unit: string): void {
	const count = points.length
	const meanX = points.reduce((sum, { x }) => sum + x, 0) / count
	const meanY = points.reduce((sum, { y }) => sum + y, 0) / count
	let xx = 0
	let xy = 0
	let yy = 0
	for (const { x, y } of points) {
		xx += (x - meanX) ** 2
		xy += (x - meanX) * (y - meanY)
		yy += (y - meanY) ** 2
	}
	const slope = xy / xx
	const rSquared = yy > 0 ? xy ** 2 / (xx * yy) : 1
	const intercept = meanY - slope * meanX
	print(
		`  fit: ${intercept.toFixed(3)} + ${slope.toPrecision(3)} ${unit}, r2 ${rSquared.toFixed(3)}`,
	)
}

function heapKb(): number {
	globalThis.gc?.()
	return process.memoryUsage().heapUsed / KILOBYTE
}

function wait(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
