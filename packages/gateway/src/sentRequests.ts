/** Requests of this entry that are in flight at servers or were abandoned there. */

import { readElapsed } from '@juniperhook/runtime'
import { fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'

/**
 * Retention of abandoned requests, ms. A server may go on with a request for some time
 * after its connection was closed, so a crash within this time may be due to it.
 */
const ABANDONED_RETENTION_MS = 1_000
/** Maximum number of abandoned requests, the most recent, that are kept per server. */
const MAX_ABANDONED = 8

/** A request in flight at a server. */
export interface SentRequest {
	readonly request: CallerRequest
	/** When it was sent, ms. */
	readonly since: number
}

/** A request whose connection this entry closed before its answer was complete. */
interface AbandonedRequest extends InFlightSummary {
	readonly abandonedAt: number
}

/** Identifies a request that a server was running. */
export interface InFlightSummary {
	readonly id: string
	readonly fingerprint: string
	readonly sharedParts: readonly string[]
	/** When it was sent, ms. */
	readonly since: number
}

/** Requests at servers, both by server id. */
export interface SentRequests {
	readonly inFlight: Map<string, Set<SentRequest>>
	readonly abandoned: Map<string, AbandonedRequest[]>
}

/** Creates an empty record. */
export function createSentRequests(): SentRequests {
	return { inFlight: new Map(), abandoned: new Map() }
}

/** Records that a request is sent to a server. */
export function trackRequest(
	requests: SentRequests,
	server: string,
	request: CallerRequest,
): SentRequest {
	const sent = { request, since: readElapsed() }
	const atServer = requests.inFlight.get(server)
	if (atServer) atServer.add(sent)
	else requests.inFlight.set(server, new Set([sent]))
	return sent
}

/** Removes a request that this entry no longer waits for. */
export function untrackRequest(
	requests: SentRequests,
	server: string,
	sent: SentRequest,
): void {
	const atServer = requests.inFlight.get(server)
	atServer?.delete(sent)
	if (atServer?.size === 0) requests.inFlight.delete(server)
}

/** Records that this entry closed a request's connection; the server may go on with it. */
export function trackAbandoned(
	requests: SentRequests,
	server: string,
	sent: SentRequest,
): void {
	const abandonedAt = readElapsed()
	const abandoned = (requests.abandoned.get(server) ?? []).filter(
		one => abandonedAt - one.abandonedAt < ABANDONED_RETENTION_MS,
	)
	abandoned.push({ ...summarize(sent), abandonedAt })
	requests.abandoned.set(server, abandoned.slice(-MAX_ABANDONED))
}

/** Lists the requests that a server may be running for this entry. */
export function listInFlight(
	requests: SentRequests,
	server: string,
): InFlightSummary[] {
	const now = readElapsed()
	const inFlight = [...(requests.inFlight.get(server) ?? [])].map(summarize)
	const abandoned = requests.abandoned.get(server) ?? []
	return [
		...abandoned.filter(one => now - one.abandonedAt < ABANDONED_RETENTION_MS),
		...inFlight,
	]
}

/** Whether a server may be running a request of this entry with a prompt part. */
export function isPartInFlight(
	{ inFlight, abandoned }: SentRequests,
	part: string,
	now: number,
): boolean {
	for (const atServer of inFlight.values())
		for (const { request } of atServer)
			if (request.sharedParts.includes(part)) return true
	for (const atServer of abandoned.values())
		for (const { sharedParts, abandonedAt } of atServer)
			if (
				now - abandonedAt < ABANDONED_RETENTION_MS &&
				sharedParts.includes(part)
			)
				return true
	return false
}

/** Drops expired records of abandoned requests. */
export function expireAbandoned(requests: SentRequests): void {
	const now = readElapsed()
	for (const [server, abandoned] of requests.abandoned)
		if (now - abandoned.at(-1)!.abandonedAt >= ABANDONED_RETENTION_MS)
			requests.abandoned.delete(server)
}

function summarize({ request, since }: SentRequest): InFlightSummary {
	const { id, sharedParts } = request
	return { id, fingerprint: fingerprintOf(request), sharedParts, since }
}
