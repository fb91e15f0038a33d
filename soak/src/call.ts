/** One request of a caller over a keep-alive connection, and its answer. */

import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { request as sendHttp } from 'node:http'
import type { Random } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import { entryIp, PORTS } from './addresses.ts'
import type { CallerAnswer } from './checks.ts'
import { HOST, TEAM_OF_KEY, TIMEOUT_MS } from './config.ts'
import { recordRelayedLeaving, serverOfSeal } from './leaving.ts'
import type { ManagedProcess } from './processes.ts'
import type { RequestKind, RequestRecord } from './types.ts'
import { count, randomBetween } from './types.ts'
import type { World } from './world.ts'

/** Time after the deadline at which the caller closes a connection that hangs, ms. */
const ABORT_DELAY_MS = 1_000
/** Tokens of each part of a prompt, and the length of a part's id. */
const PART_TOKENS = 40
const MAX_PART_CHARS = 64
/** Range of callers' deadlines, ms. */
const DEADLINES_MS = [900, 6_000] as const

/** What a caller's next request needs: its entry, its connection and its id. */
export interface CallContext {
	readonly world: World
	readonly entry: ManagedProcess
	readonly agent: Agent
	/** Unique id of the request. */
	readonly id: string
	readonly random: Random
}

/** A request that is ready to be sent, with the API key that it uses. */
export interface PreparedCall {
	readonly request: RequestRecord
	readonly key: string
	readonly method: string
}

/** Content of a request. */
export interface CallContent {
	readonly body?: string
	/** Ids of the parts of its prompt that other requests share. */
	readonly parts?: readonly string[]
}

function bodyOfCall(kind: RequestKind, id: string): string {
	return kind === 'repeatable' ? '' : `body of ${id} `.repeat(20)
}

/** Creates a request and adds its record. */
export function prepareCall(
	{ world, entry, id, random }: CallContext,
	kind: RequestKind,
	path: string,
	key: string,
	{ body = bodyOfCall(kind, id), parts = [] }: CallContent = {},
): PreparedCall {
	const now = performance.now()
	const deadline = Math.round(randomBetween(random, ...DEADLINES_MS))
	const request: RequestRecord = {
		id: `soak-${id}`,
		kind,
		path,
		body,
		parts,
		team: TEAM_OF_KEY[key] ?? 'doomed',
		entry: entry.index,
		incarnation: entry.incarnation,
		sentAt: now,
		timeoutAt: now + Math.min(deadline, TIMEOUT_MS[kind]),
		deadlineAt: now + deadline,
		abandonedAt: undefined,
		callerTimedOut: false,
		promisedNotRunAt: undefined,
		answeredAt: undefined,
		status: 0,
		isComplete: false,
		error: '',
	}
	world.record.requests.set(request.id, request)
	return { request, key, method: body === '' ? 'GET' : 'POST' }
}

/**
 * Sends a request; after `abandonAfterMs`, if given, the caller closes the connection.
 */
export function sendCall(
	{ world, entry, agent }: CallContext,
	{ request, key, method }: PreparedCall,
	abandonAfterMs?: number,
): Promise<CallerAnswer> {
	const noAnswer: CallerAnswer = {
		status: 0,
		seal: undefined,
		requestId: undefined,
		retryAfter: undefined,
		body: '',
		complete: false,
	}
	count(world.record, `requests ${request.kind}`)
	return new Promise(resolve => {
		const req = sendHttp({
			host: entryIp(world.options.net, entry.index),
			port: PORTS.callers,
			path: request.path,
			method,
			agent,
			headers: {
				host: HOST,
				authorization: `${WIRE.keyScheme} ${key}`,
				[WIRE.requestId]: request.id,
				[WIRE.deadlineMs]: String(
					Math.round(request.deadlineAt - request.sentAt),
				),
				...promptHeaders(request),
			},
		})
		const abandon = () => {
			request.abandonedAt = performance.now()
			count(world.record, 'requests abandoned by callers')
			req.destroy()
		}
		if (abandonAfterMs !== undefined) setTimeout(abandon, abandonAfterMs)
		abortAfterDeadline(req, request)
		req.on('error', () => resolve(noAnswer))
		req.on('response', res => {
			if (res.headers[SIGNAL_HEADERS.leaving] !== undefined)
				recordRelayedLeaving(
					world,
					request,
					serverOfSeal(headerOf(res, WIRE.seal)),
				)
			void readAnswer(res).then(resolve)
		})
		req.end(request.body || undefined)
	})
}

/** Names the parts of a prompt, the last of which is the request's own. */
function promptHeaders({ id, parts }: RequestRecord): Record<string, string> {
	if (parts.length === 0) return {}
	const own = Buffer.from(id).toString('hex').slice(0, MAX_PART_CHARS)
	const ids = [...parts, own].map(part => `${part}:${PART_TOKENS}`)
	return { [WIRE.promptParts]: ids.join() }
}

/** Limits a caller's wait for a process that hangs. */
function abortAfterDeadline(req: ClientRequest, request: RequestRecord): void {
	const waitMs = request.deadlineAt - performance.now() + ABORT_DELAY_MS
	const timer = setTimeout(() => {
		request.callerTimedOut = true
		req.destroy()
	}, waitMs)
	req.on('close', () => clearTimeout(timer))
}

function readAnswer(res: IncomingMessage): Promise<CallerAnswer> {
	return new Promise(resolve => {
		let body = ''
		res.setEncoding('utf8')
		res.on('data', chunk => {
			body += chunk
		})
		res.on('error', () => {})
		res.on('close', () =>
			resolve({
				status: res.statusCode ?? 0,
				seal: headerOf(res, WIRE.seal),
				requestId: headerOf(res, WIRE.requestId),
				retryAfter: headerOf(res, 'retry-after'),
				body,
				complete: res.complete,
			}),
		)
	})
}

function headerOf(res: IncomingMessage, name: string): string | undefined {
	const value = res.headers[name]
	return Array.isArray(value) ? value[0] : value
}
