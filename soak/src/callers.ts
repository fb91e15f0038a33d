/** Callers that reuse an entry's connection until it closes, and check their answers. */

import { Agent } from 'node:http'
import { createRandom } from '@juniperhook/core'
import type { CallContext } from './call.ts'
import { prepareCall, sendCall } from './call.ts'
import type { CallerAnswer } from './checks.ts'
import { checkAnswer, checkPartialStream } from './checks.ts'
import { PREFIX_OF, TEAM_OF_KEY } from './config.ts'
import { probeConfig } from './configProbes.ts'
import { isUndisturbed } from './disturbances.ts'
import { soundPartOf } from './poisonParts.ts'
import type { ManagedProcess } from './processes.ts'
import { bodyOf, shapeOf } from './servers.ts'
import type { RequestKind, RequestRecord } from './types.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

/** Range of pauses between a caller's requests, ms. */
const THINK_TIME_MS = [10, 90] as const
/** Ratio of requests that their caller abandons before the answer. */
const ABANDON_RATIO = 0.03
/** Ratio of requests that test which configuration is in force. */
const PROBE_RATIO = 0.12
/** Time after SIGTERM at which an entry must not take what it cannot finish, ms. */
const LEARNED_MS = 3_000
/** How late an answer may come after its route's timeout, ms. */
const TIMEOUT_TOLERANCE_MS = 500

/** Runs a caller until the soak ends. */
export async function runCaller(world: World, caller: number): Promise<void> {
	const random = createRandom(world.options.seed * 1_000 + caller)
	const httpAgents = world.entries.map(
		() => new Agent({ keepAlive: true, maxSockets: 1 }),
	)
	let entry = randomItem(random, world.entries)
	for (let number = 0; !world.finished; number++) {
		const agent = httpAgents[entry.index]!
		const context = { world, entry, agent, id: `${caller}-${number}`, random }
		const isProbe = random() < PROBE_RATIO
		const answer = isProbe
			? await probeConfig(context)
			: await sendRequest(context)
		// The caller stays at its entry, so that it reuses the connection until it closes.
		if (answer.status === 0 || random() < 0.02)
			entry = randomItem(random, world.entries)
		await sleep(randomBetween(random, ...THINK_TIME_MS))
	}
	for (const agent of httpAgents) agent.destroy()
}

async function sendRequest(context: CallContext): Promise<CallerAnswer> {
	const { random } = context
	const kind = randomItem(random, ['once', 'repeatable', 'stream'] as const)
	return await sendAndCheck(context, kind)
}

/** Sends a request of a kind and checks its answer. */
export async function sendAndCheck(
	context: CallContext,
	kind: RequestKind,
): Promise<CallerAnswer> {
	const { world, entry, id, random } = context
	const key = randomItem(random, Object.keys(TEAM_OF_KEY))
	const parts = kind === 'stream' ? [soundPartOf(id)] : []
	const path = `${PREFIX_OF[kind]}${id}`
	const call = prepareCall(context, kind, path, key, { parts })
	const abandonAfterMs = random() < ABANDON_RATIO ? random() * 60 : undefined
	const answer = await sendCall(context, call, abandonAfterMs)
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

/** All events of a stream, as the entry sends them. */
function expectedEvents(id: string): string {
	return Array.from(
		{ length: shapeOf(id).events },
		(_, at) => `id: ${at + 1}\ndata: ${id} event ${at + 1}\n\n`,
	).join('')
}

/** Returns the error kind of an entry's refusal or failure; '' for a server's answer. */
function errorKindOf({ status, body }: CallerAnswer): string {
	if (status === 0 || status === 200) return ''
	return /^\{"error":"(\w+)"/.exec(body)?.[1] ?? ''
}

/**
 * Checks that a stopping entry did not cut off an answer that it need not have taken: one
 * sent late, while callers that had to learn of the stop have done so.
 */
function checkCut(
	{ record, disturbances }: World,
	entry: ManagedProcess,
	request: RequestRecord,
	wasKilled: boolean,
): void {
	const { id, sentAt, timeoutAt, callerTimedOut } = request
	const now = performance.now()
	const stoppedAt = entry.stopRequestedAt
	if (stoppedAt === undefined || sentAt < stoppedAt + LEARNED_MS) return
	if (wasKilled || callerTimedOut || now >= timeoutAt) return
	if (record.brokenOff.has(id)) return
	if (!isUndisturbed(disturbances, entry.name, sentAt, now)) return
	recordViolation(record, 'LOST', `${id} was cut off by ${entry.name}`)
}

/** Checks whether the request received an answer and ended in time. */
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
	request.isComplete = answer.complete
	request.error = errorKindOf(answer)
	const wasKilled =
		entry.incarnation !== request.incarnation || entry.killedAt > request.sentAt
	const isTruncated = answer.status !== 0 && !answer.complete
	if (isTruncated) {
		count(record, 'truncated answers')
		checkCut(world, entry, request, wasKilled)
	}
	if (answer.status === 0) {
		count(record, 'connections without an answer')
		const hasRun = (record.runs.get(request.id) ?? []).length > 0
		// An entry that was frozen while it stopped may exceed its grace period.
		const isStopping = entry.stopRequestedAt !== undefined
		const isExcused =
			isStopping &&
			!isUndisturbed(disturbances, entry.name, request.sentAt, now)
		if (
			hasRun &&
			!wasKilled &&
			!request.callerTimedOut &&
			!isExcused &&
			entry.child
		)
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
