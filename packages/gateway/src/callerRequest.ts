/** Reads a caller's request: which route and team, and how long there is. */

import type { IncomingMessage } from 'node:http'
import type {
	ErrorKind,
	RouteTable,
	TrafficRoute,
	TrafficTeam,
} from '@juniperhook/core'
import { findRoute } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { CallerRequest } from './job.ts'

/** A request, or why it is refused before it reaches a server. */
export type RequestReadResult =
	| { readonly kind: 'request'; readonly request: CallerRequest }
	| { readonly kind: 'refused'; readonly error: ErrorKind }
	/** The caller's connection ended before the request was whole. */
	| { readonly kind: 'gone' }

/** Judges the head of a request and reads its body. */
export async function readCallerRequest(
	ctx: GatewayContext,
	req: IncomingMessage,
): Promise<RequestReadResult> {
	const arrivedAt = readElapsed()
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
	if (!route) return refuseUnknown(ctx, routes, 'notFound')
	const team = findTeam(routes, req, wire.keyScheme)
	const needsKey = routes.config.teams.length > 0 && !route.anonymous
	if (!team && needsKey) return refuseUnknown(ctx, routes, 'unauthorized')
	const deadline = readDeadline(req, wire.deadlineMs, route.timeoutMs)
	if (deadline === undefined) return { kind: 'refused', error: 'badRequest' }
	const body = await readBody(req, limits.maxBodyBytes)
	if (body === 'gone') return { kind: 'gone' }
	if (body === 'tooLarge') return { kind: 'refused', error: 'tooLarge' }
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
			body,
			arrivedAt,
			timeoutAt: arrivedAt + Math.min(deadline, route.timeoutMs),
			deadlineAt: arrivedAt + deadline,
			priority: team?.priority ?? route.priority,
			repeatable: isRepeatable(route),
			lastEventId: typeof lastEventId === 'string' ? lastEventId : undefined,
			fingerprint: undefined,
		},
	}
}

/**
 * Refuses what this configuration does not know. While a newer one is known to
 * be in force elsewhere, the caller is told to come back: it takes 401 and 404
 * for final, and the newer one may know its route or key.
 */
function refuseUnknown(
	{ newestPeerVersion: toldVersion }: GatewayContext,
	{ config }: RouteTable,
	error: ErrorKind,
): RequestReadResult {
	const isBehind = toldVersion > config.version
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

/** The caller's deadline in ms; `usual` when it names none. */
function readDeadline(
	req: IncomingMessage,
	header: string,
	usual: number,
): number | undefined {
	const text = req.headers[header]
	if (text === undefined) return usual
	const value = Number(text)
	return value > 0 && Number.isFinite(value) ? value : undefined
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
	let bytes = 0
	// Two more for `: ` or the end of the line.
	for (const part of rawHeaders) bytes += part.length + 2
	return bytes
}

function readBody(
	req: IncomingMessage,
	limit: number,
): Promise<Buffer | 'gone' | 'tooLarge'> {
	const length = Number(req.headers['content-length'] ?? 0)
	if (length > limit) return Promise.resolve('tooLarge')
	return new Promise(resolve => {
		const parts: Buffer[] = []
		let size = 0
		req.on('data', (part: Buffer) => {
			size += part.length
			if (size > limit) resolve('tooLarge')
			else parts.push(part)
		})
		req.on('end', () => resolve(Buffer.concat(parts)))
		req.on('error', () => resolve('gone'))
		req.on('close', () => resolve('gone'))
	})
}
