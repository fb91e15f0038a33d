/** One soak: a world under load and faults, then calm, then the verdict. */

import { rmSync } from 'node:fs'
import { runCaller } from './callers.ts'
import { judgeDeadly, runDeadlyCaller, watchForgetting } from './poisonRequest.ts'
import { endUnderRequest, playFaults } from './faults.ts'
import { watchHeld } from './unavailability.ts'
import { judgeLeavings } from './leaving.ts'
import { judgeLimits, playLimits } from './rateLimits.ts'
import { judgeRests, playRests, turnAway } from './backoffs.ts'
import { playRewinds } from './rollbacks.ts'
import { watchStalls } from './stalls.ts'
import type { Record, SoakOptions } from './types.ts'
import { sleep } from './types.ts'
import { judgeWhole } from './finalChecks.ts'
import { startWorld, stopWorld } from './world.ts'

/** A soak that is interrupted ends the processes that it started. */
const SIGNALS = ['SIGINT', 'SIGTERM'] as const
/** Until all processes serve, ms. */
const START_MS = 2_500
/** After the last fault, until recovery is due, ms. */
const RECOVERY_MS = 7_000
/** Calm in which recovery is judged, ms. */
const JUDGED_MS = 3_000
/** Requests that are under way at the end, ms. */
const LAST_ANSWERS_MS = 2_500

/** Runs a soak; its folder is kept when a promise was broken. */
export async function runSoak(options: SoakOptions): Promise<Record> {
	rmSync(options.folder, { recursive: true, force: true })
	const world = await startWorld(options)
	const interrupt = () => {
		void stopWorld(world)
		process.exit(1)
	}
	for (const signal of SIGNALS) process.once(signal, interrupt)
	await sleep(START_MS)
	const callers = Array.from({ length: options.clients }, (_, number) =>
		runCaller(world, number),
	)
	if (options.deadly) {
		world.servers.onDeadly = backend => endUnderRequest(world, backend)
		void runDeadlyCaller(world)
		void watchForgetting(world)
	}
	if (options.limited) void playLimits(world)
	if (options.rests) {
		world.servers.turnAway = (...args) => turnAway(world, ...args)
		void playRests(world)
	}
	if (options.rewinds) void playRewinds(world)
	await playFaults(world)
	await sleep(RECOVERY_MS)
	const calmSince = performance.now()
	const stall = watchStalls()
	void watchHeld(world)
	await sleep(JUDGED_MS)
	world.over = true
	await Promise.race([Promise.all(callers), sleep(LAST_ANSWERS_MS)])
	judgeWhole(world, calmSince, stall.end())
	if (options.deadly) judgeDeadly(world)
	if (options.timed && options.limited) judgeLimits(world)
	if (options.timed) judgeRests(world)
	judgeLeavings(world)
	await stopWorld(world)
	for (const signal of SIGNALS) process.removeListener(signal, interrupt)
	if (world.record.broken.length === 0)
		rmSync(options.folder, { recursive: true, force: true })
	return world.record
}
