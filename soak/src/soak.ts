/** One soak: load and faults, then a time without faults, then the final checks. */

import { rmSync } from 'node:fs'
import { checkBackoffs, injectBackoffs, refuseWithBackoff } from './backoffs.ts'
import { runCaller } from './callers.ts'
import {
	checkColdServers,
	checkEvacuations,
	injectEvacuations,
	recordEvacuatedArrival,
} from './evacuations.ts'
import { crashUnderPoisonRequest, injectFaults } from './faults.ts'
import { checkRecord } from './finalChecks.ts'
import { checkLeaving } from './leaving.ts'
import { checkPoisonPart, runPoisonPartCaller } from './poisonParts.ts'
import {
	checkPoisonRequest,
	runPoisonCaller,
	watchEntryOutages,
} from './poisonRequest.ts'
import { checkRateLimits, injectRateLimits } from './rateLimits.ts'
import { injectRollbacks } from './rollbacks.ts'
import { watchStalls } from './stalls.ts'
import { injectForgeries, injectStops, runLongCallers } from './stops.ts'
import { injectTakeovers } from './takeovers.ts'
import type { SoakOptions, SoakRecord } from './types.ts'
import { sleep } from './types.ts'
import { watchUnavailability } from './unavailability.ts'
import { startWorld, stopWorld } from './world.ts'

/** Signals on which an interrupted soak kills the processes that it started. */
const SIGNALS = ['SIGINT', 'SIGTERM'] as const
/** Time for all processes to start serving, ms. */
const START_MS = 2_500
/** Time from the last fault until recovery is due, ms. */
const RECOVERY_MS = 7_000
/** Time without faults in which recovery is measured, ms. */
const MEASURED_MS = 3_000
/** Time for requests in flight at the end, ms. */
const FINAL_ANSWERS_MS = 2_500

/** Runs a soak; its folder with settings and logs is kept if a promise was broken. */
export async function runSoak(options: SoakOptions): Promise<SoakRecord> {
	rmSync(options.folder, { recursive: true, force: true })
	const world = await startWorld(options)
	const interrupt = () => {
		void stopWorld(world)
		process.exit(1)
	}
	for (const signal of SIGNALS) process.once(signal, interrupt)
	await sleep(START_MS)
	const callers = Array.from({ length: options.clients }, (_, caller) =>
		runCaller(world, caller),
	)
	world.servers.onPoisonRequest = backend =>
		crashUnderPoisonRequest(world, backend)
	void watchEntryOutages(world)
	if (options.poisonRequest) void runPoisonCaller(world)
	if (options.poisonPart) void runPoisonPartCaller(world)
	if (options.rateLimits) void injectRateLimits(world)
	if (options.backoffs) {
		world.servers.refuseWithBackoff = (...args) =>
			refuseWithBackoff(world, ...args)
		void injectBackoffs(world)
	}
	if (options.rollbacks) void injectRollbacks(world)
	if (options.evacuations) {
		world.servers.onArrival = (...args) =>
			recordEvacuatedArrival(world, ...args)
		void injectEvacuations(world)
	}
	if (options.stops) {
		void injectStops(world)
		void injectForgeries(world)
		void runLongCallers(world)
	}
	if (options.takeovers) void injectTakeovers(world)
	await injectFaults(world)
	world.faultsEnded = true
	await sleep(RECOVERY_MS)
	const recoveryDueAt = performance.now()
	const stall = watchStalls()
	void watchUnavailability(world)
	await sleep(MEASURED_MS)
	world.finished = true
	await Promise.race([Promise.all(callers), sleep(FINAL_ANSWERS_MS)])
	checkRecord(world, recoveryDueAt, stall.stop())
	if (options.poisonRequest) checkPoisonRequest(world)
	checkPoisonPart(world)
	if (options.checksTiming && options.rateLimits) checkRateLimits(world)
	if (options.checksTiming) checkBackoffs(world)
	checkLeaving(world)
	if (options.checksTiming && options.evacuations) checkEvacuations(world)
	if (options.evacuations) checkColdServers(world)
	await stopWorld(world)
	for (const signal of SIGNALS) process.removeListener(signal, interrupt)
	if (world.record.violations.length === 0)
		rmSync(options.folder, { recursive: true, force: true })
	return world.record
}
