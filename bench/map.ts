/**
 * Measures how long gates hold a group of 16 rank processes while its map changes under
 * load: without failures, and with a coordinator that is frozen or killed at moments
 * spread over the planning period.
 */

import { setTimeout as wait } from 'node:timers/promises'
import type { Fleet } from '@juniperhook/fakes'
import {
	entryIp,
	PORTS,
	rankIp,
	restartProcess,
	signalProcess,
	startFleet,
	stopFleet,
	TEAM_KEY,
	waitUntil,
} from '@juniperhook/fakes'
import { request } from 'undici'
import { isQuick, print, printTable } from './output.ts'

const RANKS = 16
const CALLERS = 24
const FREEZE_MS = 3_000
const DOWNTIME_MS = 500
const SETTLE_MS = 8_000
const QUIET_MS = 15_000
const MOMENTS_MS = [0, 150, 300, 450, 600, 750, 900]

interface GroupLoad {
	readonly step: number
	readonly switches: number
	readonly gateMs: number
	readonly violations: number
	readonly groupStepMs: number
}

const FAULTS: { name: string; fail(fleet: Fleet): Promise<void> }[] = [
	{
		name: `coordinator frozen for ${FREEZE_MS / 1_000} s`,
		async fail(fleet) {
			signalProcess(fleet, 'rank-0', 'SIGSTOP')
			await wait(FREEZE_MS)
			signalProcess(fleet, 'rank-0', 'SIGCONT')
		},
	},
	{
		name: 'coordinator killed',
		async fail(fleet) {
			signalProcess(fleet, 'rank-0', 'SIGKILL')
			await wait(DOWNTIME_MS)
			await restartProcess(fleet, 'rank-0')
		},
	},
]

/** Runs the benchmark. */
export async function run(): Promise<void> {
	const fleet = await startFleet({
		entries: 1,
		services: 0,
		serviceDelayMs: 0,
		serviceSlots: 1,
		ranks: RANKS,
		group: {
			layers: 2,
			experts: 64,
			driftPerSecond: 60,
			exponent: 1,
			bytesPerExpert: 400_000,
		},
		groupConfig: 'planSeconds = 1\nspareSlots = 2\nmoveWeight = 0.1',
	})
	const rows: string[][] = []
	try {
		for (let n = 0; n < CALLERS; n++) void runCaller(fleet)
		await waitUntil(
			async () => (await readLoad(fleet)).switches >= RANKS,
			'a first change',
		)
		rows.push(await measure(fleet, 'none', () => wait(QUIET_MS), 1))
		const moments = isQuick() ? MOMENTS_MS.slice(0, 2) : MOMENTS_MS
		for (const { name, fail } of FAULTS)
			rows.push(
				await measure(
					fleet,
					name,
					async index => {
						await wait(moments[index] ?? 0)
						await fail(fleet)
						await wait(SETTLE_MS)
					},
					moments.length,
				),
			)
	} finally {
		stopFleet(fleet)
	}
	print(`${RANKS} ranks, a plan each second, ${CALLERS} callers`)
	printTable(
		[
			'fault',
			'trials',
			'map changes',
			'steps',
			'gate ms a change',
			'longest gate ms',
			'steps with two maps',
		],
		rows,
	)
}

async function measure(
	fleet: Fleet,
	name: string,
	trial: (index: number) => Promise<unknown>,
	trials: number,
): Promise<string[]> {
	const before = await readLoad(fleet)
	let longest = 0
	for (let index = 0; index < trials; index++) {
		const start = await readLoad(fleet)
		await trial(index)
		const gateMs = (await readLoad(fleet)).gateMs - start.gateMs
		longest = Math.max(longest, gateMs)
	}
	const after = await readLoad(fleet)
	const changes = (after.switches - before.switches) / RANKS
	const gate = after.gateMs - before.gateMs
	return [
		name,
		String(trials),
		String(changes),
		String(after.step - before.step),
		(gate / Math.max(1, changes)).toFixed(1),
		longest.toFixed(0),
		String(after.violations - before.violations),
	]
}

async function readLoad(fleet: Fleet): Promise<GroupLoad> {
	const url = `http://${rankIp(fleet, 0)}:${PORTS.backend}/load`
	return (await (await request(url)).body.json()) as GroupLoad
}

/** Runs a caller that sends one request after the other until the fleet is stopped. */
async function runCaller(fleet: Fleet): Promise<void> {
	const url = `http://${entryIp(fleet, 0)}:${PORTS.data}/v1/completions`
	while (fleet.processes.size > 0) {
		const body = JSON.stringify({
			model: 'writer',
			prompt: `${Math.random()}`,
			max_tokens: 60,
		})
		const headers = { authorization: `Bearer ${TEAM_KEY}` }
		const res = await request(url, { method: 'POST', headers, body }).catch(
			() => undefined,
		)
		await res?.body.dump().catch(() => {})
		if (res?.statusCode !== 200) await wait(100)
	}
}
