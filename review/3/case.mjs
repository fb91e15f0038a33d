/**
 * A stream begins on a kept connection before its entry gets SIGTERM, and ends more than
 * 3 s after it. The client sends its next stream on the same connection at once. The entry
 * takes that stream, passes it on, and cuts it before the end of `grace_s`.
 */

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { openConnection } from '../lib/client.mjs'
import { GRACE_MS, startDeployment, streamRequest } from '../lib/deployment.mjs'
import { eventText, sealOf } from '../lib/engine.mjs'
import { createRecord, sleep } from '../lib/record.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
/** 60 events, one each 100 ms: within `gap_aim_ms` 120, 6 s in all, of 8 s allowed. */
const EVENTS = 60
const EVENT_MS = 100
const STREAM_MS = (EVENTS + 1) * EVENT_MS
const CLIENTS = 10
/** When the first streams end, after the SIGTERM, ms; the excuse ends at 3,000. */
const FIRST_END_MS = 3_150
const END_GAP_MS = 60
/** Requests sent up to this time after the SIGTERM are excused, ms. */
const EXCUSED_MS = 3_000
/** Deadline of the streams and `timeout_ms` of their route, ms. */
const TIMEOUT_MS = 8_000

const record = createRecord(dirname(fileURLToPath(import.meta.url)))
const behaviour = {
	events: EVENTS,
	eventMs: EVENT_MS,
	onRun: one => record.note(`${one.engine} runs ${one.attempt}`),
	onEnd: one =>
		record.note(
			`${one.engine} ends ${one.attempt} after event ${one.sent}: ${one.end}`,
		),
}

let deployment
let exitCode = 2
try {
	deployment = await startDeployment(record, {
		fronts: 2,
		ranks: 4,
		behaviour,
	})
	exitCode = (await play(deployment)) ? 1 : 0
} catch (err) {
	record.note(`the case could not run: ${err.stack}`)
} finally {
	await deployment?.stop()
	record.save()
}
process.exit(exitCode)

async function play({ engines, entries }) {
	const [entry, other] = entries
	const termAt = performance.now() + STREAM_MS
	const clients = Array.from({ length: CLIENTS }, (_, at) =>
		playClient(entry, other, at, termAt),
	)
	await sleep(termAt - performance.now())
	if (HAS_TROUBLE) {
		record.note(`SIGTERM to ${entry.name}`)
		entry.child.kill('SIGTERM')
		setTimeout(() => {
			record.note(`SIGKILL to ${entry.name}, grace_s after the SIGTERM`)
			entry.child.kill('SIGKILL')
		}, GRACE_MS)
	} else record.note('no SIGTERM')
	const streams = (await Promise.all(clients)).flat()
	const runs = engines.flatMap(engine => engine.runs)
	const lost = streams.filter(one => isLost(one, runs, termAt))
	for (const one of lost)
		record.note(
			`LOST: ${one.attempt}, sent ${Math.round(one.sentAt - termAt)} ms after the SIGTERM`,
		)
	const wrong = streams.filter(one => one.isServed && !isWhole(one, runs))
	for (const one of wrong) record.note(`not whole: ${one.attempt}`)
	record.note(
		`${streams.length} streams, ${streams.filter(one => one.isServed).length} complete, ${lost.length} lost`,
	)
	const isPlayed = streams.filter(one => one.isServed).length >= CLIENTS
	if (!isPlayed) throw new Error('the first streams were not served')
	return lost.length + wrong.length > 0
}

/** Sends a stream that ends after the SIGTERM, and then the next one. */
async function playClient(entry, other, at, termAt) {
	const endAt = termAt + FIRST_END_MS + at * END_GAP_MS
	await sleep(endAt - STREAM_MS - performance.now())
	const connection = await openConnection(entry.ip, entry.port)
	const first = await send(connection, entry, `a1b2c3d4000000${at + 10}`)
	const mayKeep =
		!connection.isClosed &&
		first.answer.headers.connection?.toLowerCase() !== 'close'
	// As the platform does with a new connection, once a node is not ready.
	const next = mayKeep ? connection : await openConnection(other.ip, other.port)
	const second = await send(
		next,
		mayKeep ? entry : other,
		`a1b2c3d4000001${at + 10}`,
	)
	next.socket.destroy()
	connection.socket.destroy()
	return [first, second]
}

async function send(connection, entry, attempt) {
	const sentAt = performance.now()
	record.note(`a client sends ${attempt} to ${entry.name}`)
	const answer = await connection.request(streamRequest(attempt))
	const endedAt = performance.now()
	const { status, isComplete } = answer
	record.note(
		`the client of ${attempt} has status ${status}, ${isComplete ? 'a complete answer' : 'no complete answer'}, after ${Math.round(endedAt - sentAt)} ms`,
	)
	const isServed = isComplete && status === 200
	return { attempt, entry, answer, sentAt, endedAt, isServed }
}

/** Whether an answer has the engine's seal and all of its events, once and in order. */
function isWhole({ attempt, answer }, runs) {
	const expected = Array.from({ length: EVENTS }, (_, at) =>
		eventText(attempt, at + 1),
	).join('')
	const seals = runs
		.filter(run => run.attempt === attempt)
		.map(run => sealOf(run.engine, attempt))
	return (
		answer.body === expected && seals.includes(answer.headers['x-server-seal'])
	)
}

/**
 * LOST, around the SIGTERM of the machine that took the request: it was passed on, its
 * connection ended without a complete answer, and none of the excuses applies. Without the
 * SIGTERM no such end is allowed at all.
 */
function isLost({ attempt, answer, sentAt, endedAt }, runs, termAt) {
	const isPassedOn = runs.some(run => run.attempt === attempt)
	const isTimedOut = endedAt - sentAt >= TIMEOUT_MS
	if (answer.isComplete || isTimedOut || !isPassedOn) return false
	if (!HAS_TROUBLE) return true
	const isInTime = endedAt <= termAt + GRACE_MS + 1_000
	return isInTime && sentAt > termAt + EXCUSED_MS
}
