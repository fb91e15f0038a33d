/**
 * Callers that keep using an entry's connection until it ends, and judge what
 * they get.
 */

import { Agent } from 'node:http'
import { createRandom } from '@juniperhook/core'
import type { Turn } from './call.ts'
import { openCall, sendCall } from './call.ts'
import { PREFIX_OF, TEAM_OF_KEY } from './config.ts'
import type { Got } from './checks.ts'
import { judgeAnswer, judgePart } from './checks.ts'
import { probe } from './configProbes.ts'
import type { Managed } from './processes.ts'
import { bodyOf, STREAM_EVENTS } from './servers.ts'
import { isCalm } from './disturbances.ts'
import type { Asked } from './types.ts'
import { breakPromise, count, drawBetween, drawOf, sleep } from './types.ts'
import type { World } from './world.ts'

const THINK_MS = [10, 90] as const
/** Part of the requests whose caller leaves before the answer. */
const LEAVING_PART = 0.03
/** Part of the requests that ask which configuration is in force. */
const PROBE_PART = 0.12
/** An answer at its route's time-out may be this late, ms. */
const LATE_MS = 500

/** Runs a caller until the soak is over. */
export async function runCaller(world: World, number: number): Promise<void> {
	const random = createRandom(world.options.seed * 1_000 + number)
	const agents = world.entries.map(
		() => new Agent({ keepAlive: true, maxSockets: 1 }),
	)
	let entry = drawOf(random, world.entries)
	for (let at = 0; !world.over; at++) {
		const agent = agents[entry.index]!
		const turn = { world, entry, agent, id: `${number}-${at}`, random }
		const isProbe = random() < PROBE_PART
		const got = isProbe ? await probe(turn) : await ask(turn)
		// The connection is kept as long as the process has it.
		if (got.status === 0 || random() < 0.02)
			entry = drawOf(random, world.entries)
		await sleep(drawBetween(random, ...THINK_MS))
	}
	for (const agent of agents) agent.destroy()
}

async function ask(turn: Turn): Promise<Got> {
	const { world, entry, id, random } = turn
	const kind = drawOf(random, ['once', 'repeatable', 'stream'] as const)
	const key = drawOf(random, Object.keys(TEAM_OF_KEY))
	const call = openCall(turn, kind, `${PREFIX_OF[kind]}${id}`, key)
	const leavesAfter = random() < LEAVING_PART ? random() * 60 : undefined
	const got = await sendCall(turn, call, leavesAfter)
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

/** The kind of a refusal or failure; '' for an answer of a server. */
function errorOf({ status, body }: Got): string {
	if (status === 0 || status === 200) return ''
	return /^\{"error":"(\w+)"/.exec(body)?.[1] ?? ''
}

/** Judges whether and when an answer came to its end. */
function judgeEnd(world: World, entry: Managed, asked: Asked, got: Got): void {
	const { record, troubles, options } = world
	const now = performance.now()
	asked.answeredAt = now
	asked.status = got.status
	asked.error = errorOf(got)
	const wasKilled = entry.life !== asked.life || entry.killedAt > asked.sentAt
	const brokeOff = got.status !== 0 && !got.whole
	if (brokeOff) count(record, 'answers that broke off')
	if (got.status === 0) {
		count(record, 'connections without an answer')
		const wasRead = (record.runs.get(asked.id) ?? []).length > 0
		// One that was frozen while it stops runs out of its time to end.
		const isStopping = entry.stoppingAt !== undefined
		const isExcused =
			isStopping && !isCalm(troubles, entry.name, asked.sentAt, now)
		if (wasRead && !wasKilled && !asked.gaveUp && !isExcused && entry.child)
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
