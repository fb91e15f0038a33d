/**
 * Callers that keep using an entry's connection until it ends, and judge what
 * they get.
 */

import type { ClientRequest, IncomingMessage } from 'node:http'
import { Agent, request } from 'node:http'
import type { Random } from '@juniperhook/core'
import { createRandom } from '@juniperhook/core'
import { WIRE } from '../../platform/src/index.ts'
import { entryIp, PORTS } from './addresses.ts'
import {
	addedPath,
	DOOMED_KEY,
	HOST,
	PREFIX_OF,
	TEAM_OF_KEY,
	TIMEOUT_MS,
} from './config.ts'
import type { Got } from './judge.ts'
import { judgeAnswer, judgePart } from './judge.ts'
import type { Managed } from './processes.ts'
import { bodyOf, STREAM_EVENTS } from './servers.ts'
import { isCalm } from './trouble.ts'
import type { Asked, RequestKind } from './types.ts'
import { breakPromise, count, drawBetween, drawOf, sleep } from './types.ts'
import type { World } from './world.ts'

const THINK_MS = [10, 90] as const
/** Part of the requests whose caller leaves before the answer. */
const LEAVING_PART = 0.03
/** Part of the requests that ask which configuration is in force. */
const PROBE_PART = 0.12
/** Part of the requests with a key that is taken away. */
const DOOMED_PART = 0.04
const CONNECT_MS = 1_000
/** An answer at its route's time-out may be this late, ms. */
const LATE_MS = 500
/** A configuration is in force within this time, ms. */
const CONFIG_MS = 2_000
/** An older one may be seen by requests that cross a newer, ms. */
const CROSSING_MS = 250
const DEADLINES_MS = [900, 6_000] as const

/** Runs a caller until the soak is over. */
export async function runCaller(world: World, number: number): Promise<void> {
	const random = createRandom(world.options.seed * 1_000 + number)
	const agents = world.entries.map(
		() => new Agent({ keepAlive: true, maxSockets: 1 }),
	)
	let entry = drawOf(random, world.entries)
	for (let at = 0; !world.over; at++) {
		const agent = agents[entry.index]!
		const isProbe = random() < PROBE_PART
		const got = isProbe
			? await probe(world, entry, agent, `${number}-${at}`, random)
			: await ask(world, entry, agent, `${number}-${at}`, random)
		// The connection is kept as long as the process has it.
		if (got.status === 0 || random() < 0.02)
			entry = drawOf(random, world.entries)
		await sleep(drawBetween(random, ...THINK_MS))
	}
	for (const agent of agents) agent.destroy()
}

interface Call {
	readonly asked: Asked
	readonly key: string
	readonly method: string
}

function open(
	world: World,
	entry: Managed,
	id: string,
	kind: RequestKind,
	path: string,
	key: string,
	random: Random,
): Call {
	const now = performance.now()
	const deadline = Math.round(drawBetween(random, ...DEADLINES_MS))
	const hasBody = kind !== 'repeatable'
	const asked: Asked = {
		id: `soak-${id}`,
		kind,
		path,
		body: hasBody ? `body of ${id} `.repeat(20) : '',
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
	}
	world.record.asked.set(asked.id, asked)
	return { asked, key, method: hasBody ? 'POST' : 'GET' }
}

async function ask(
	world: World,
	entry: Managed,
	agent: Agent,
	id: string,
	random: Random,
): Promise<Got> {
	const kind = drawOf(random, ['once', 'repeatable', 'stream'] as const)
	const key = drawOf(random, Object.keys(TEAM_OF_KEY))
	const call = open(
		world,
		entry,
		id,
		kind,
		`${PREFIX_OF[kind]}${id}`,
		key,
		random,
	)
	const leavesAfter = random() < LEAVING_PART ? random() * 60 : undefined
	const got = await send(world, entry, agent, call, leavesAfter)
	const { asked } = call
	if (asked.leftAt !== undefined) return got
	const expected = kind === 'stream' ? eventsOf(asked.id) : bodyOf(asked.id)
	judgeAnswer(world.record, asked, got, expected)
	if (kind === 'stream' && got.status === 200 && !got.whole)
		judgePart(world.record, asked, got.body, expected)
	judgeEnd(world, entry, asked, got)
	return got
}

/** All events of a stream. */
function eventsOf(id: string): string {
	return Array.from(
		{ length: STREAM_EVENTS },
		(_, at) => `id: ${at + 1}\ndata: ${id} event ${at + 1}\n\n`,
	).join('')
}

/** Judges whether and when an answer came to its end. */
function judgeEnd(world: World, entry: Managed, asked: Asked, got: Got): void {
	const { record, troubles, options } = world
	const now = performance.now()
	asked.answeredAt = now
	asked.status = got.status
	const wasKilled = entry.life !== asked.life || entry.killedAt > asked.sentAt
	const brokeOff = got.status !== 0 && !got.whole
	if (brokeOff) count(record, 'answers that broke off')
	if (got.status === 0) {
		count(record, 'connections without an answer')
		const wasRead = (record.runs.get(asked.id) ?? []).length > 0
		if (wasRead && !wasKilled && !asked.gaveUp && entry.child)
			breakPromise(record, 'LOST', `${asked.id} at ${entry.name}`)
	}
	if (!options.timed || wasKilled) return
	const isLate = now > asked.givenUpAt + LATE_MS
	if (isLate && isCalm(troubles, entry.name, asked.sentAt, now))
		breakPromise(
			record,
			'CONFIG',
			`${asked.id} ended ${Math.round(now - asked.givenUpAt)} ms late`,
		)
}

/** Highest version that each life of an entry has shown. */
const seen = new Map<string, { version: number; at: number }>()

/** Asks on the route of a version, or with a key that is taken away. */
async function probe(
	world: World,
	entry: Managed,
	agent: Agent,
	id: string,
	random: Random,
): Promise<Got> {
	const { record, published } = world
	if (random() < DOOMED_PART / PROBE_PART)
		return await probeKey(world, entry, agent, id, random)
	const target = drawOf(random, published.slice(-3))
	const path = `${addedPath(target.version)}${id}`
	const key = drawOf(random, Object.keys(TEAM_OF_KEY))
	const call = open(world, entry, id, 'repeatable', path, key, random)
	const got = await send(world, entry, agent, call, undefined)
	count(record, `probes with ${got.status}`)
	const life = `${world.options.seed} ${entry.name} ${call.asked.life}`
	const known = seen.get(life)
	const { sentAt } = call.asked
	const wasSame = entry.life === call.asked.life
	if (got.status === 404 && wasSame) {
		if (
			known &&
			known.version >= target.version &&
			known.at + CROSSING_MS < sentAt
		)
			breakPromise(record, 'CONFIG', `${entry.name} went back: ${path}`)
		if (isInForce(world, entry, target.at, sentAt))
			breakPromise(record, 'CONFIG', `${entry.name} does not know ${path}`)
	}
	const isNews = got.status === 200 && target.version > (known?.version ?? 0)
	if (isNews && wasSame)
		seen.set(life, { version: target.version, at: performance.now() })
	return got
}

async function probeKey(
	world: World,
	entry: Managed,
	agent: Agent,
	id: string,
	random: Random,
): Promise<Got> {
	const path = `${PREFIX_OF.repeatable}${id}`
	const call = open(world, entry, id, 'repeatable', path, DOOMED_KEY, random)
	const got = await send(world, entry, agent, call, undefined)
	const taken = world.published.find(one => !one.keepsDoomed)
	const { sentAt } = call.asked
	const isOver = taken && isInForce(world, entry, taken.at, sentAt)
	if (got.status === 200 && isOver)
		breakPromise(
			world.record,
			'ROUTE',
			`${entry.name} takes a key that is gone`,
		)
	return got
}

/** Whether something published at `at` must be in force at an entry. */
function isInForce(
	world: World,
	entry: Managed,
	at: number,
	sentAt: number,
): boolean {
	const isDue = sentAt > at + CONFIG_MS
	return (
		world.options.timed &&
		isDue &&
		isCalm(world.troubles, entry.name, at, sentAt)
	)
}

function send(
	world: World,
	entry: Managed,
	agent: Agent,
	{ asked, key, method }: Call,
	leavesAfter: number | undefined,
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
		req.on('response', res => void takeAnswer(res).then(resolve))
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
