/**
 * A faulty engine answers some streams with bytes that are no answer: a 200 without id and
 * seal, and with events of no request. The entry passes them on as a success. Where it
 * resumes a stream that another engine has broken off, it joins them to that engine's
 * events, under that engine's seal.
 */

import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { openConnection } from '../lib/client.mjs'
import { startDeployment, streamRequest } from '../lib/deployment.mjs'
import { eventText, sealOf } from '../lib/engine.mjs'
import { createRecord, sleep } from '../lib/record.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const EVENTS = 28
const EVENT_MS = 40
const REQUESTS = 700
const GAP_MS = 42
/**
 * Two engines of four are faulty and spoil this share of their answers. The largest doses
 * of the site file are share 0.6, x 0.05 and 6 s for `garble`; x is twice as large here.
 */
const SPOILED_SHARE = 0.1
/**
 * Another one resets this share of its streams, after this many events; for `srv_grey` the
 * site file has share 0.14, x 0.45 and 6.5 s, and share is up to twice as large here.
 */
const RESET_SHARE = 0.4
const RESET_AFTER = 10
/** Both come in spells, with rests between them, ms. */
const SPELL_MS = 10_000
const REST_MS = 1_000

const record = createRecord(dirname(fileURLToPath(import.meta.url)))
const spoiled = new Map()
let beganAt = Number.POSITIVE_INFINITY
const isSpell = () =>
	HAS_TROUBLE &&
	performance.now() >= beganAt &&
	(performance.now() - beganAt) % (SPELL_MS + REST_MS) < SPELL_MS
const behaviour = {
	events: EVENTS,
	eventMs: EVENT_MS,
	onRun: one => record.note(`${one.engine} runs ${one.attempt}`),
	onEnd: one => record.note(`${one.engine} ends ${one.attempt}: ${one.end}`),
	spoil(one, res) {
		const isFaulty = isSpell() && /[23]$/.test(one.engine)
		if (!isFaulty || Math.random() >= SPOILED_SHARE) return false
		spoiled.set(one.attempt, one)
		one.end = 'spoiled'
		record.note(`${one.engine} spoils its answer to ${one.attempt}: no seal`)
		// Bytes that belong to no request: neither an id nor a seal.
		res.writeHead(200, { 'Content-Type': 'text/event-stream' })
		res.end('id: 60\ndata: of no request\n\n')
		return true
	},
	breakOff(one, res) {
		if (!isSpell() || !one.engine.endsWith('1')) return false
		if (one.sent !== RESET_AFTER || Math.random() >= RESET_SHARE) return false
		one.end = 'reset'
		record.note(`${one.engine} resets ${one.attempt} after event ${one.sent}`)
		res.socket.resetAndDestroy()
		return true
	},
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
	const sent = []
	beganAt = performance.now()
	for (let n = 0; n < REQUESTS; n++) {
		sent.push(send(entries[n % entries.length], `b7c2e3d4${1_000_000 + n}`))
		await sleep(GAP_MS)
	}
	const answers = await Promise.all(sent)
	const runs = engines.flatMap(engine => engine.runs)
	const good = answers.filter(one => one.isSuccess && isWhole(one, runs))
	const wrong = answers.filter(one => one.isSuccess && !isWhole(one, runs))
	for (const { attempt, answer } of wrong) {
		const seal = answer.headers['x-server-seal'] ?? 'no seal'
		record.note(
			`MIXED: ${attempt} has a complete 200 with ${seal}, ending in ${JSON.stringify(answer.body.slice(-70))}`,
		)
	}
	const sealed = wrong.filter(one => one.answer.headers['x-server-seal'])
	record.note(
		`${answers.length} streams, ${good.length} whole, ${spoiled.size} spoiled by the engine, ${wrong.length} passed on as successes, ${sealed.length} of them under another engine's seal`,
	)
	if (HAS_TROUBLE && spoiled.size === 0) throw new Error('nothing was spoiled')
	if (good.length < REQUESTS / 2) throw new Error('too few were served')
	return wrong.length > 0
}

async function send(entry, attempt) {
	record.note(`a client sends ${attempt} to ${entry.name}`)
	const connection = await openConnection(entry.ip, entry.port).catch(() => {})
	if (!connection) {
		record.note(`${attempt} has no connection to ${entry.name}`)
		return { attempt, isSuccess: false }
	}
	const answer = await connection.request(streamRequest(attempt))
	connection.socket.destroy()
	const { status, isComplete } = answer
	record.note(
		`the client of ${attempt} has status ${status}, ${isComplete ? 'complete' : 'not complete'}`,
	)
	return {
		attempt,
		answer,
		isSuccess: isComplete && status >= 200 && status < 300,
	}
}

/** Whether an answer has the seal of an engine that ran it, and all of its events. */
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
