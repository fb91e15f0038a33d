/**
 * Processes that are replaced while they still stop, settings files that are away or half
 * written when they are read, and signals in series, also right after a start.
 */

import { readFileSync, unlinkSync, writeFileSync } from 'node:fs'
import type { Random } from '@juniperhook/core'
import { createRandom } from '@juniperhook/core'
import { handlesSighup } from '@juniperhook/fakes'
import type { ManagedProcess } from './processes.ts'
import { replaceProcess } from './processes.ts'
import { count, randomBetween, randomItem, sleep } from './types.ts'
import type { World } from './world.ts'

/** Range of times between disturbances, ms. */
const GAP_MS = [800, 3_000] as const
/** Range of times for which a settings file is away, ms. */
const AWAY_MS = [50, 1_500] as const
/** Number of signals in a series, and the time between them, ms. */
const SIGNALS = 20
const SIGNAL_GAP_MS = 5
/** Share of a settings file that is written at first. */
const WRITTEN_SHARE = 0.5

/** Disturbs processes repeatedly until the time without faults begins. */
export async function injectTakeovers(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 8)
	while (!world.faultsEnded) {
		await sleep(randomBetween(random, ...GAP_MS))
		if (world.faultsEnded) return
		const one = randomItem(random, [...world.entries, ...world.agents])
		const draw = random()
		if (draw < 0.5) replaceProcess(world.record, one)
		else await removeSettings(world, random, one)
		if (random() < 0.5) await signalInSeries(world, one)
	}
}

async function removeSettings(
	world: World,
	random: Random,
	one: ManagedProcess,
): Promise<void> {
	const text = readFileSync(one.settingsPath, 'utf8')
	const isHalfWritten = random() < 0.5
	count(world.record, 'settings files away')
	if (isHalfWritten)
		writeFileSync(
			one.settingsPath,
			text.slice(0, Math.round(text.length * WRITTEN_SHARE)),
		)
	else unlinkSync(one.settingsPath)
	await signalInSeries(world, one)
	await sleep(randomBetween(random, ...AWAY_MS))
	writeFileSync(one.settingsPath, text)
	await signalInSeries(world, one)
}

/** Sends SIGHUP repeatedly; Node itself would end before it runs the program. */
async function signalInSeries(
	{ record }: World,
	one: ManagedProcess,
): Promise<void> {
	for (let signal = 0; signal < SIGNALS; signal++) {
		const { child } = one
		if (child?.exitCode === null && isSignalled(child.pid)) {
			child.kill('SIGHUP')
			count(record, 'signals in series')
		}
		await sleep(SIGNAL_GAP_MS)
	}
}

function isSignalled(pid: number | undefined): boolean {
	if (pid === undefined) return false
	try {
		return handlesSighup(pid)
	} catch {
		// The process has just exited.
		return false
	}
}
