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
export interface SentRequest {
	readonly request: CallerRequest
	/** When it was sent, ms. */
	readonly since: number
}

/** A request whose connection this entry closed before its answer was whole. */
interface LeftRun extends InFlightSummary {
	readonly leftAt: number
}

/** What is told of a request at a server. */
export interface InFlightSummary {
	readonly id: string
	readonly fingerprint: string
	/** When it was sent, ms. */
	readonly since: number
}

/** Requests at servers, by server id. */
export interface SentRequests {
	readonly inFlight: Map<string, Set<SentRequest>>
	readonly abandoned: Map<string, LeftRun[]>
}

/** Makes a record of no requests. */
export function createSentRequests(): SentRequests {
	return { inFlight: new Map(), abandoned: new Map() }
}

/** Notes that a request is sent to a server. */
export function trackRequest(
	runs: SentRequests,
	server: string,
	request: CallerRequest,
): SentRequest {
	const run = { request, since: readElapsed() }
	const there = runs.inFlight.get(server)
	if (there) there.add(run)
	else runs.inFlight.set(server, new Set([run]))
	return run
}

/** Notes that a request is no longer waited for at its server. */
export function untrackRequest(
	runs: SentRequests,
	server: string,
	run: SentRequest,
): void {
	const there = runs.inFlight.get(server)
	there?.delete(run)
	if (there?.size === 0) runs.inFlight.delete(server)
}

/** Notes that this entry closed a request's connection; its server may go on. */
export function trackAbandoned(
	runs: SentRequests,
	server: string,
	run: SentRequest,
): void {
	const leftAt = readElapsed()
	const left = (runs.abandoned.get(server) ?? []).filter(
		one => leftAt - one.leftAt < LEFT_MS,
	)
	left.push({ ...describe(run), leftAt })
	runs.abandoned.set(server, left.slice(-MAX_LEFT))
}

/** Requests that a server may be running for this entry. */
export function listInFlight(
	runs: SentRequests,
	server: string,
): InFlightSummary[] {
	const now = readElapsed()
	const running = [...(runs.inFlight.get(server) ?? [])].map(describe)
	const left = runs.abandoned.get(server) ?? []
	return [...left.filter(one => now - one.leftAt < LEFT_MS), ...running]
}

/** Forgets what was left at servers long ago. */
export function expireAbandoned(runs: SentRequests): void {
	const now = readElapsed()
	for (const [server, left] of runs.abandoned)
		if (now - left.at(-1)!.leftAt >= LEFT_MS) runs.abandoned.delete(server)
}

function describe({ request, since }: SentRequest): InFlightSummary {
	return { id: request.id, fingerprint: fingerprintOf(request), since }
}
