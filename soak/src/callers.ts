/**
 * Callers that keep using an entry's connection until it ends, and judge what
 * they get.
 */

import { Agent } from 'node:http'
import { createRandom } from '@juniperhook/core'
import type { CallContext } from './call.ts'
import { prepareCall, sendCall } from './call.ts'
import { PREFIX_OF, TEAM_OF_KEY } from './config.ts'
import type { CallerAnswer } from './judge.ts'
import { checkAnswer, checkPartialStream } from './judge.ts'
import { probeConfig } from './probes.ts'
import type { ManagedProcess } from './processes.ts'
import { bodyOf, STREAM_EVENTS } from './servers.ts'
import { isUndisturbed } from './trouble.ts'
import type { RequestRecord } from './types.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

const THINK_MS = [10, 90] as const
/** Part of the requests whose caller leaves before the answer. */
const ABANDON_RATIO = 0.03
/** Part of the requests that ask which configuration is in force. */
const PROBE_RATIO = 0.12
/** An answer at its route's time-out may be this late, ms. */
const TIMEOUT_TOLERANCE_MS = 500

/** Runs a caller until the soak is over. */
export async function runCaller(world: World, number: number): Promise<void> {
	const random = createRandom(world.options.seed * 1_000 + number)
	const agents = world.entries.map(
		() => new Agent({ keepAlive: true, maxSockets: 1 }),
	)
	let entry = randomItem(random, world.entries)
	for (let at = 0; !world.finished; at++) {
		const agent = agents[entry.index]!
		const turn = { world, entry, agent, id: `${number}-${at}`, random }
		const isProbe = random() < PROBE_RATIO
		const answer = isProbe ? await probeConfig(turn) : await sendRequest(turn)
		// The connection is kept as long as the process has it.
		if (answer.status === 0 || random() < 0.02)
			entry = randomItem(random, world.entries)
		await sleep(randomBetween(random, ...THINK_MS))
	}
	for (const agent of agents) agent.destroy()
}

async function sendRequest(turn: CallContext): Promise<CallerAnswer> {
	const { world, entry, id, random } = turn
	const kind = randomItem(random, ['once', 'repeatable', 'stream'] as const)
	const key = randomItem(random, Object.keys(TEAM_OF_KEY))
	const call = prepareCall(turn, kind, `${PREFIX_OF[kind]}${id}`, key)
	const leavesAfter = random() < ABANDON_RATIO ? random() * 60 : undefined
	const answer = await sendCall(turn, call, leavesAfter)
	const { request } = call
	if (request.abandonedAt !== undefined) return answer
	const expected =
		kind === 'stream' ? expectedEvents(request.id) : bodyOf(request.id)
	checkAnswer(world.record, request, answer, expected)
	if (kind === 'stream' && answer.status === 200 && !answer.complete)
		checkPartialStream(world.record, request, answer.body, expected)
	checkCompletion(world, entry, request, answer)
	return answer
}

/** All events of a stream. */
function expectedEvents(id: string): string {
	return Array.from(
		{ length: STREAM_EVENTS },
		(_, at) => `id: ${at + 1}\ndata: ${id} event ${at + 1}\n\n`,
	).join('')
}

/** The kind of a refusal or failure; '' for an answer of a server. */
function errorKindOf({ status, body }: CallerAnswer): string {
	if (status === 0 || status === 200) return ''
	return /^\{"error":"(\w+)"/.exec(body)?.[1] ?? ''
}

/** Judges whether and when an answer came to its end. */
function checkCompletion(
	world: World,
	entry: ManagedProcess,
	request: RequestRecord,
	answer: CallerAnswer,
): void {
	const { record, disturbances, options } = world
	const now = performance.now()
	request.answeredAt = now
	request.status = answer.status
	request.error = errorKindOf(answer)
	const wasKilled =
		entry.incarnation !== request.incarnation || entry.killedAt > request.sentAt
	const brokeOff = answer.status !== 0 && !answer.complete
	if (brokeOff) count(record, 'answers that broke off')
	if (answer.status === 0) {
		count(record, 'connections without an answer')
		const wasRead = (record.runs.get(request.id) ?? []).length > 0
		// One that was frozen while it stops runs out of its time to end.
		const isStopping = entry.stopRequestedAt !== undefined
		const isExcused =
			isStopping &&
			!isUndisturbed(disturbances, entry.name, request.sentAt, now)
		if (wasRead && !wasKilled && !request.timedOut && !isExcused && entry.child)
			recordViolation(record, 'LOST', `${request.id} at ${entry.name}`)
	}
	if (!options.checksTiming || wasKilled) return
	const isLate = now > request.timeoutAt + TIMEOUT_TOLERANCE_MS
	if (isLate && isUndisturbed(disturbances, entry.name, request.sentAt, now))
		recordViolation(
			record,
			'CONFIG',
			`${request.id} ended ${Math.round(now - request.timeoutAt)} ms late`,
		)
}
