/** Which requests each server runs for this entry, and which were left there. */

import { readElapsed } from '@juniperhook/runtime'
import { fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'

/**
 * A server may go on with a request for some time after its connection was closed,
 * ms: what ends within it may have ended under that request.
 */
const LEFT_MS = 1_000
/** Requests left at one server that are remembered; the last ones. */
const MAX_LEFT = 8

/** A request at a server. */
export interface Run {
	readonly request: CallerRequest
	/** When it was sent, ms. */
	readonly since: number
}

/** A request whose connection this entry closed before its answer was whole. */
interface LeftRun extends RunningRequest {
	readonly leftAt: number
}

/** What is told of a request at a server. */
export interface RunningRequest {
	readonly id: string
	readonly fingerprint: string
	/** When it was sent, ms. */
	readonly since: number
}

/** Requests at servers, by server id. */
export interface Runs {
	readonly running: Map<string, Set<Run>>
	readonly left: Map<string, LeftRun[]>
}

/** Makes a record of no requests. */
export function createRuns(): Runs {
	return { running: new Map(), left: new Map() }
}

/** Notes that a request is sent to a server. */
export function beginRun(
	runs: Runs,
	server: string,
	request: CallerRequest,
): Run {
	const run = { request, since: readElapsed() }
	const there = runs.running.get(server)
	if (there) there.add(run)
	else runs.running.set(server, new Set([run]))
	return run
}

/** Notes that a request is no longer waited for at its server. */
export function endRun(runs: Runs, server: string, run: Run): void {
	const there = runs.running.get(server)
	there?.delete(run)
	if (there?.size === 0) runs.running.delete(server)
}

/** Notes that this entry closed a request's connection; its server may go on. */
export function leaveRun(runs: Runs, server: string, run: Run): void {
	const leftAt = readElapsed()
	const left = (runs.left.get(server) ?? []).filter(
		one => leftAt - one.leftAt < LEFT_MS,
	)
	left.push({ ...describe(run), leftAt })
	runs.left.set(server, left.slice(-MAX_LEFT))
}

/** Requests that a server may be running for this entry. */
export function listRunning(runs: Runs, server: string): RunningRequest[] {
	const now = readElapsed()
	const running = [...(runs.running.get(server) ?? [])].map(describe)
	const left = runs.left.get(server) ?? []
	return [...left.filter(one => now - one.leftAt < LEFT_MS), ...running]
}

/** Forgets what was left at servers long ago. */
export function forgetLeft(runs: Runs): void {
	const now = readElapsed()
	for (const [server, left] of runs.left)
		if (now - left.at(-1)!.leftAt >= LEFT_MS) runs.left.delete(server)
}

function describe({ request, since }: Run): RunningRequest {
	return { id: request.id, fingerprint: fingerprintOf(request), since }
}
