/** Reads and validates a caller's request: route, team, deadline and body. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type {
	ErrorKind,
	RouteTable,
	TrafficRoute,
	TrafficTeam,
} from '@juniperhook/core'
import { findRoute, urgencyOf } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { countRequestBody, isRefusedForMemory } from './heldBodies.ts'
import type { CallerRequest } from './job.ts'
import { canEndBeforeExit } from './shutdownGate.ts'

/** A request, or the error with which it is refused before it reaches a server. */
export type RequestReadResult =
	| { readonly kind: 'request'; readonly request: CallerRequest }
	| { readonly kind: 'refused'; readonly error: ErrorKind }
	/** The caller's connection closed before the request was complete. */
	| { readonly kind: 'disconnected' }

/** Validates the head of a request, which was read at `arrivedAt`, and reads its body. */
export async function readCallerRequest(
	ctx: GatewayContext,
	req: IncomingMessage,
	res: ServerResponse,
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
	const body = await readBody(ctx, req, res, limits.maxBodyBytes)
	if (body.kind !== 'complete') return body
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
			body: body.bytes,
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

type BodyReadResult =
	| { readonly kind: 'complete'; readonly bytes: Buffer }
	| Exclude<RequestReadResult, { kind: 'request' }>

function readBody(
	ctx: GatewayContext,
	req: IncomingMessage,
	res: ServerResponse,
	limit: number,
): Promise<BodyReadResult> {
	const length = Number(req.headers['content-length'] ?? 0)
	if (length > limit)
		return Promise.resolve({ kind: 'refused', error: 'tooLarge' })
	return new Promise(resolve => {
		const parts: Buffer[] = []
		let size = 0
		let isRefused = false
		const settle = (result: BodyReadResult) => {
			ctx.requestsBeingRead.delete(refuse)
			resolve(result)
		}
		const refuse = (error: ErrorKind) => {
			isRefused = true
			parts.length = 0
			settle({ kind: 'refused', error })
		}
		ctx.requestsBeingRead.add(refuse)
		const count = countRequestBody(ctx, res, () => refuse('memoryShort'))
		req.on('data', (part: Buffer) => {
			size += part.length
			if (isRefused) return
			if (size > limit) refuse('tooLarge')
			else if (!count.add(part.length)) refuse('memoryShort')
			else if (!isRefused) parts.push(part)
		})
		req.on('end', () => {
			count.complete()
			const bytes = parts.length === 1 ? parts[0]! : Buffer.concat(parts)
			settle({ kind: 'complete', bytes })
		})
		req.on('error', () => settle({ kind: 'disconnected' }))
		req.on('close', () => settle({ kind: 'disconnected' }))
	})
}
