/** Reads and validates a caller's request: route, team, deadline and body. */

import type { IncomingMessage } from 'node:http'
import type {
	ErrorKind,
	RouteTable,
	TrafficRoute,
	TrafficTeam,
} from '@juniperhook/core'
import { findRoute, urgencyOf } from '@juniperhook/core'
import type { BodyEnd, RequestBody } from '@juniperhook/runtime'
import { actOnAll, readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { isRefusedForMemory } from './heldBodies.ts'
import type { CallerRequest } from './job.ts'
import { canEndBeforeExit } from './shutdownGate.ts'

/** A request, or the error with which it is refused before it reaches a server. */
export type RequestReadResult =
	| { readonly kind: 'request'; readonly request: CallerRequest }
	| Exclude<BodyEnd, { kind: 'complete' }>

/** Validates the head of a request, which was read at `arrivedAt`, and awaits its body. */
export async function readCallerRequest(
	ctx: GatewayContext,
	req: IncomingMessage,
	body: RequestBody,
	arrivedAt: number,
): Promise<RequestReadResult> {
	const { routes, wire } = ctx
	if (!routes) return { kind: 'refused', error: 'noConfig' }
	const { limits } = routes.config
	if (countHeaderBytes(req.rawHeaders) > limits.maxHeaderBytes)
		return { kind: 'refused', error: 'headersTooLarge' }
	const id = req.headers[wire.requestId]
	if (typeof id !== 'string' || id === '')
		return { kind: 'refused', error: 'badRequest' }
	const path = req.url ?? '/'
	const route = findRoute(routes, req.headers.host ?? '', path)
	if (!route) return refuseUnmatched(ctx, routes, 'notFound')
	const team = findTeam(routes, req, wire.keyScheme)
	const needsKey = routes.config.teams.length > 0 && !route.anonymous
	if (!team && needsKey) return refuseUnmatched(ctx, routes, 'unauthorized')
	const deadline = readDeadline(req, wire.deadlineMs, route.timeoutMs)
	if (deadline === undefined) return { kind: 'refused', error: 'badRequest' }
	const timeoutAt = arrivedAt + Math.min(deadline, route.timeoutMs)
	if (!canEndBeforeExit(ctx, { route, takenAt: arrivedAt, timeoutAt }))
		return { kind: 'refused', error: 'entryLeaving' }
	if (isRefusedForMemory(ctx)) return { kind: 'refused', error: 'memoryShort' }
	const end = await awaitBodyUntil(ctx, body, timeoutAt)
	if (end.kind !== 'complete') return end
	const takenAt = readElapsed()
	if (!canEndBeforeExit(ctx, { route, takenAt, timeoutAt }))
		return { kind: 'refused', error: 'entryLeaving' }
	const lastEventId = req.headers[wire.lastEventId]
	return {
		kind: 'request',
		request: {
			id,
			route,
			team,
			routes,
			method: req.method ?? 'GET',
			path,
			rawHeaders: req.rawHeaders,
			body: end.bytes,
			arrivedAt,
			takenAt,
			timeoutAt,
			deadlineAt: arrivedAt + deadline,
			priority: team?.priority ?? route.priority,
			urgency: urgencyOf(team?.priority, route.priority),
			size: ctx.readRequestSize(req.headers),
			sharedParts: ctx.readSharedParts(req.headers),
			repeatable: isRepeatable(route),
			lastEventId: typeof lastEventId === 'string' ? lastEventId : undefined,
			acceptedEncodings: String(
				req.headers['accept-encoding'] ?? '',
			).toLowerCase(),
			fingerprint: undefined,
		},
	}
}

/**
 * Refuses a route or key that is missing from this entry's configuration. While a
 * peer has announced a newer version, the caller gets a retryable error instead:
 * callers treat 401 and 404 as final, and the newer configuration may contain the
 * route or the key.
 */
function refuseUnmatched(
	{ newestPeerVersion }: GatewayContext,
	{ config }: RouteTable,
	error: ErrorKind,
): RequestReadResult {
	const isBehind = newestPeerVersion > config.version
	return { kind: 'refused', error: isBehind ? 'configBehind' : error }
}

function isRepeatable(route: TrafficRoute): boolean {
	switch (route.kind) {
		case 'repeatable':
			return true
		case 'once':
			return false
		case 'stream':
			return route.resumable
		default:
			return route.kind satisfies never
	}
}

function findTeam(
	routes: RouteTable,
	req: IncomingMessage,
	scheme: string,
): TrafficTeam | undefined {
	const [given, key] = (req.headers.authorization ?? '').split(' ')
	if (given?.toLowerCase() !== scheme.toLowerCase() || !key) return undefined
	return routes.teamOfKey.get(key)
}

/** Returns the caller's deadline, ms: `defaultMs` if absent, undefined if invalid. */
function readDeadline(
	req: IncomingMessage,
	header: string,
	defaultMs: number,
): number | undefined {
	const text = req.headers[header]
	if (text === undefined) return defaultMs
	const value = Number(text)
	return value > 0 && Number.isFinite(value) ? value : undefined
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
	let bytes = 0
	// Two more bytes for `: ` after a name or the line break after a value.
	for (const part of rawHeaders) bytes += part.length + 2
	return bytes
}

/**
 * Waits for a body; a request whose body is not complete at `timeoutAt`, or when this
 * entry stops, is refused.
 */
async function awaitBodyUntil(
	{ requestsBeingRead }: GatewayContext,
	body: RequestBody,
	timeoutAt: number,
): Promise<BodyEnd> {
	const reading = { timeoutAt, refuse: body.refuse }
	requestsBeingRead.add(reading)
	const end = await body.ended
	requestsBeingRead.delete(reading)
	return end
}

/** Refuses the requests whose bodies have not arrived in the time that they have. */
export function refuseOverdue({ requestsBeingRead }: GatewayContext): void {
	const now = readElapsed()
	actOnAll(requestsBeingRead, ({ timeoutAt, refuse }) => {
		if (now >= timeoutAt) refuse('requestTimeout')
	})
}
