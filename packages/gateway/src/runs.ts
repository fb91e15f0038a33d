/** Requests of this entry that are in flight at servers or were abandoned there. */

import { readElapsed } from '@juniperhook/runtime'
import { fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'

/**
 * Retention of abandoned requests, ms. A server may go on with a request for some time
 * after its connection was closed, so a crash within this time may be due to it.
 */
const ABANDONED_TTL_MS = 1_000
/** Maximum number of abandoned requests, the most recent, that are kept per server. */
const MAX_ABANDONED = 8

/** A request in flight at a server. */
export interface Run {
	readonly request: CallerRequest
	/** When it was sent, ms. */
	readonly since: number
}

/** A request whose connection this entry closed before its answer was complete. */
interface AbandonedRequest extends RunningRequest {
	readonly abandonedAt: number
}

/** Identifies a request that a server was running. */
export interface RunningRequest {
	readonly id: string
	readonly fingerprint: string
	/** When it was sent, ms. */
	readonly since: number
}

/** Requests at servers, both by server id. */
export interface Runs {
	readonly running: Map<string, Set<Run>>
	readonly left: Map<string, AbandonedRequest[]>
}

/** Creates an empty record. */
export function createRuns(): Runs {
	return { running: new Map(), left: new Map() }
}

/** Records that a request is sent to a server. */
export function beginRun(
	requests: Runs,
	server: string,
	request: CallerRequest,
): Run {
	const sent = { request, since: readElapsed() }
	const atServer = requests.running.get(server)
	if (atServer) atServer.add(sent)
	else requests.running.set(server, new Set([sent]))
	return sent
}

/** Removes a request that this entry no longer waits for. */
export function endRun(requests: Runs, server: string, sent: Run): void {
	const atServer = requests.running.get(server)
	atServer?.delete(sent)
	if (atServer?.size === 0) requests.running.delete(server)
}

/** Records that this entry closed a request's connection; the server may go on with it. */
export function leaveRun(requests: Runs, server: string, sent: Run): void {
	const abandonedAt = readElapsed()
	const left = (requests.left.get(server) ?? []).filter(
		one => abandonedAt - one.abandonedAt < ABANDONED_TTL_MS,
	)
	left.push({ ...describe(sent), abandonedAt })
	requests.left.set(server, left.slice(-MAX_ABANDONED))
}

/** Lists the requests that a server may be running for this entry. */
export function listRunning(requests: Runs, server: string): RunningRequest[] {
	const now = readElapsed()
	const running = [...(requests.running.get(server) ?? [])].map(describe)
	const left = requests.left.get(server) ?? []
	return [
		...left.filter(one => now - one.abandonedAt < ABANDONED_TTL_MS),
		...running,
	]
}

/** Drops expired records of abandoned requests. */
export function forgetLeft(requests: Runs): void {
	const now = readElapsed()
	for (const [server, left] of requests.left)
		if (now - left.at(-1)!.abandonedAt >= ABANDONED_TTL_MS)
			requests.left.delete(server)
}

function describe({ request, since }: Run): RunningRequest {
	return { id: request.id, fingerprint: fingerprintOf(request), since }
}
