/**
 * All ranks of a group use one map per step, with real agent processes, while a
 * coordinator is suspended or killed, an engine loses its state, or a rank stalls.
 */

import { setTimeout as wait } from 'node:timers/promises'
import type { Fleet, FleetOptions } from '@juniperhook/fakes'
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
import { suite } from 'uvu'
import * as assert from 'uvu/assert'

const RECOVERY_TIMEOUT_MS = 15_000

interface GroupLoad {
	readonly step: number
	readonly violations: number
	readonly switches: number
	readonly generation: number
	readonly joined: boolean
	readonly gateMs: number
	readonly mapId: string
}

interface GroupCase {
	readonly name: string
	readonly ranks: number
	readonly checksFences: boolean
}

const GROUPS: GroupCase[] = [
	{ name: '16 ranks that check fences', ranks: 16, checksFences: true },
	{ name: '3 ranks that check no fences', ranks: 3, checksFences: false },
]

const FAILURES: {
	name: string
	fail(fleet: Fleet, delayMs: number): Promise<void>
}[] = [
	{
		name: 'the coordinator is suspended for 3 s and resumes',
		async fail(fleet) {
			signalProcess(fleet, 'rank-0', 'SIGSTOP')
			await wait(3_000)
			signalProcess(fleet, 'rank-0', 'SIGCONT')
		},
	},
	{
		name: 'the coordinator is killed and restarts',
		async fail(fleet) {
			signalProcess(fleet, 'rank-0', 'SIGKILL')
			await wait(500)
			await restartProcess(fleet, 'rank-0')
		},
	},
	{
		name: 'an engine loses its state',
		async fail(fleet) {
			const url = `http://${rankIp(fleet, 1)}:${PORTS.backend}/admin/crash`
			await (await request(url, { method: 'POST' })).body.dump()
		},
	},
	{
		name: 'a rank stalls in the middle of a step',
		async fail(fleet) {
			const url = `http://${rankIp(fleet, 2)}:${PORTS.backend}/admin/stall?ms=1500`
			await (await request(url, { method: 'POST' })).body.dump()
		},
	},
]
/** Delays before each failure, ms, so that it occurs in different planning phases. */
const DELAYS = [0, 450]

function optionsOf(group: GroupCase): FleetOptions {
	return {
		entries: 1,
		services: 0,
		serviceDelayMs: 0,
		serviceSlots: 1,
		ranks: group.ranks,
		group: {
			layers: 2,
			experts: 64,
			driftPerSecond: 60,
			exponent: 1,
			bytesPerExpert: 400_000,
			checksFences: group.checksFences,
			slots: 32,
		},
		groupConfig: 'planSeconds = 1\nspareSlots = 2\nmoveWeight = 0.1',
	}
}

async function readLoad(fleet: Fleet): Promise<GroupLoad> {
	const res = await request(`http://${rankIp(fleet, 0)}:${PORTS.backend}/load`)
	return (await res.body.json()) as GroupLoad
}

/** Sends requests in a loop, so that tokens reach the experts. */
async function keepBusy(fleet: Fleet, isOver: () => boolean): Promise<void> {
	const url = `http://${entryIp(fleet, 0)}:${PORTS.data}/v1/completions`
	while (!isOver()) {
		const res = await request(url, {
			method: 'POST',
			headers: { authorization: `Bearer ${TEAM_KEY}` },
			body: JSON.stringify({
				model: 'writer',
				prompt: `${Math.random()}`,
				max_tokens: 60,
			}),
		}).catch(() => undefined)
		await res?.body.dump().catch(() => {})
		if (res?.statusCode !== 200) await wait(100)
	}
}

for (const group of GROUPS) {
	const test = suite(group.name)
	let fleet: Fleet
	let over = false

	test.before(async () => {
		fleet = await startFleet(optionsOf(group))
		for (let n = 0; n < 24; n++) void keepBusy(fleet, () => over)
	})

	test.after(() => {
		over = true
		stopFleet(fleet)
	})

	test(`one map per step, ${group.name}: the map changes`, async () => {
		await waitUntil(
			async () => (await readLoad(fleet)).switches >= 2 * group.ranks,
			'two changes',
			2 * RECOVERY_TIMEOUT_MS,
		)
		assert.is((await readLoad(fleet)).violations, 0)
	})

	for (const { name, fail } of FAILURES)
		test(`one map per step, ${group.name}: ${name}`, async () => {
			for (const delayMs of DELAYS) {
				await wait(delayMs)
				await fail(fleet, delayMs)
				const before = await readLoad(fleet)
				await waitUntil(
					async () => {
						const now = await readLoad(fleet)
						return now.joined && now.step > before.step + 20
					},
					'the group to step again',
					RECOVERY_TIMEOUT_MS,
				)
				assert.is((await readLoad(fleet)).violations, 0)
			}
			const before = await readLoad(fleet)
			await waitUntil(
				async () => (await readLoad(fleet)).switches > before.switches,
				'a further change',
				2 * RECOVERY_TIMEOUT_MS,
			)
			assert.is((await readLoad(fleet)).violations, 0)
		})

	test.run()
}
