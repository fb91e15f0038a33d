/** One request of a caller over a kept connection, and what comes back. */

import type { Agent, ClientRequest, IncomingMessage } from 'node:http'
import { request } from 'node:http'
import type { Random } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import { entryIp, PORTS } from './addresses.ts'
import { HOST, TEAM_OF_KEY, TIMEOUT_MS } from './config.ts'
import type { Got } from './checks.ts'
import { notePassed, serverOfSeal } from './leaving.ts'
import type { Managed } from './processes.ts'
import type { Asked, RequestKind } from './types.ts'
import { count, drawBetween } from './types.ts'
import type { World } from './world.ts'

/** A connection that hangs is given up this long after the deadline, ms. */
const CONNECT_MS = 1_000
const DEADLINES_MS = [900, 6_000] as const

/** A caller's next request: from whom, to which entry, on which connection. */
export interface Turn {
	readonly world: World
	readonly entry: Managed
	readonly agent: Agent
	/** Belongs to this request alone. */
	readonly id: string
	readonly random: Random
}

/** A request that is ready to be sent. */
export interface Call {
	readonly asked: Asked
	readonly key: string
	readonly method: string
}

/** Makes a request and notes what is asked. */
export function openCall(
	{ world, entry, id, random }: Turn,
	kind: RequestKind,
	path: string,
	key: string,
	body = kind === 'repeatable' ? '' : `body of ${id} `.repeat(20),
): Call {
	const now = performance.now()
	const deadline = Math.round(drawBetween(random, ...DEADLINES_MS))
	const asked: Asked = {
		id: `soak-${id}`,
		kind,
		path,
		body,
		team: TEAM_OF_KEY[key] ?? 'doomed',
		entry: entry.index,
		life: entry.life,
		sentAt: now,
		givenUpAt: now + Math.min(deadline, TIMEOUT_MS[kind]),
		deadlineAt: now + deadline,
		leftAt: undefined,
		gaveUp: false,
		promisedAt: undefined,
		answeredAt: undefined,
		status: 0,
		error: '',
	}
	world.record.asked.set(asked.id, asked)
	return { asked, key, method: body === '' ? 'GET' : 'POST' }
}

/** Sends a request; the caller leaves after a while, if that is given, ms. */
export function sendCall(
	{ world, entry, agent }: Turn,
	{ asked, key, method }: Call,
	leavesAfter?: number,
): Promise<Got> {
	const none: Got = {
		status: 0,
		seal: undefined,
		answeredId: undefined,
		retryAfter: undefined,
		body: '',
		whole: false,
	}
	count(world.record, `requests ${asked.kind}`)
	return new Promise(resolve => {
		const req = request({
			host: entryIp(world.options.net, entry.index),
			port: PORTS.callers,
			path: asked.path,
			method,
			agent,
			headers: {
				host: HOST,
				authorization: `${WIRE.keyScheme} ${key}`,
				[WIRE.requestId]: asked.id,
				[WIRE.deadlineMs]: String(Math.round(asked.deadlineAt - asked.sentAt)),
			},
		})
		const leave = () => {
			asked.leftAt = performance.now()
			count(world.record, 'callers that left')
			req.destroy()
		}
		if (leavesAfter !== undefined) setTimeout(leave, leavesAfter)
		giveUpLater(req, asked)
		req.on('error', () => resolve(none))
		req.on('response', res => {
			if (res.headers[SIGNAL_HEADERS.leaving] !== undefined)
				notePassed(world, asked, serverOfSeal(headerOf(res, WIRE.seal)))
			void takeAnswer(res).then(resolve)
		})
		req.end(asked.body || undefined)
	})
}

/** A caller does not wait for ever for a process that hangs. */
function giveUpLater(req: ClientRequest, asked: Asked): void {
	const waitMs = asked.deadlineAt - performance.now() + CONNECT_MS
	const timer = setTimeout(() => {
		asked.gaveUp = true
		req.destroy()
	}, waitMs)
	req.on('close', () => clearTimeout(timer))
}

function takeAnswer(res: IncomingMessage): Promise<Got> {
	return new Promise(resolve => {
		let body = ''
		res.setEncoding('utf8')
		res.on('data', part => {
			body += part
		})
		res.on('error', () => {})
		res.on('close', () =>
			resolve({
				status: res.statusCode ?? 0,
				seal: headerOf(res, WIRE.seal),
				answeredId: headerOf(res, WIRE.requestId),
				retryAfter: headerOf(res, 'retry-after'),
				body,
				whole: res.complete,
			}),
		)
	})
}

function headerOf(res: IncomingMessage, name: string): string | undefined {
	const value = res.headers[name]
	return Array.isArray(value) ? value[0] : value
}
