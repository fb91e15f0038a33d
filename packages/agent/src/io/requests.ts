/**
 * Carries out the agent's decisions on requests: takes offers, starts runs,
 * streams answers, obeys void orders and cancellations.
 */

import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import type {
	AdmissionEffect,
	AdmissionEvent,
	AttemptName,
	NotRun,
	Unknown,
} from '@juniperhook/core'
import {
	answerVoid,
	attemptKey,
	stepAdmission,
	unknown,
} from '@juniperhook/core'
import type { AttemptRef, OfferMeta, VoidReply } from '@juniperhook/runtime'
import { createLog, packFrame, readMoment } from '@juniperhook/runtime'
import {
	attachReader,
	closeLog,
	createAnswerLog,
	MAX_KEPT_BYTES,
	nextNumber,
} from './answerLog.ts'
import type { RunEnd } from './backend.ts'
import { cancelOnEngine } from './backend.ts'
import { readOffer } from './offerTerms.ts'
import type { OpenRequest, RequestTable } from './requestTable.ts'
import { readLoad } from './requestTable.ts'
import { runOnBackend } from './runs.ts'
import { noteBrokenRun } from './crashReport.ts'
import { describeServer, readServerSignals } from './serverSignals.ts'

const MS = 1_000
const ADMITTED = packFrame({ t: 'admitted' })
const log = createLog('agent:request')

/** Takes an offer whose body has been read. */
export function takeOffer(
	table: RequestTable,
	meta: OfferMeta,
	body: Buffer,
	res: ServerResponse,
): void {
	const offer = readOffer(table, meta)
	const id = attemptKey(offer)
	res.writeHead(200, { 'content-type': 'application/x-msgpack' })
	if (meta.incarnation !== table.incarnation) {
		refuseOn(table, res, unknown('unreachable'))
		return
	}
	if (table.open.has(id)) {
		refuseOn(table, res, unknown('internal'))
		return
	}
	const request: OpenRequest = {
		meta,
		name: { reqId: meta.reqId, attempt: meta.attempt },
		body,
		answer: createAnswerLog(meta.key !== undefined),
		stop: new EventEmitter(),
		unreadSince: undefined,
		startedAt: undefined,
		finishedAt: undefined,
	}
	table.open.set(id, request)
	res.write(ADMITTED)
	attachReader(request.answer, res, 0)
	stepTable(table, { type: 'offer', offer })
}

/** Sends the rest of an answer to a reader who lost its link. */
export function resumeAnswer(
	table: RequestTable,
	ref: AttemptRef,
	from: number,
	res: ServerResponse,
): void {
	res.writeHead(200, { 'content-type': 'application/x-msgpack' })
	const request = table.open.get(attemptKey(ref))
	const known = ref.incarnation === table.incarnation && request
	if (!known || !attachReader(request.answer, res, from)) {
		refuseOn(table, res, unknown('truncated'))
		return
	}
	request.unreadSince = undefined
}

/** Obeys a void order: proves "not run", or says that it started. */
export function voidAttempt(table: RequestTable, ref: AttemptRef): VoidReply {
	if (ref.incarnation !== table.incarnation) return { answer: 'unknown' }
	const name = { reqId: ref.reqId, attempt: ref.attempt }
	stepTable(table, { type: 'void', name })
	return { answer: answerVoid(table.admission, name) }
}

/** Notes that nobody waits for the answer any more. */
export function cancelAttempt(table: RequestTable, ref: AttemptRef): void {
	if (ref.incarnation !== table.incarnation) return
	const name = { reqId: ref.reqId, attempt: ref.attempt }
	stepTable(table, { type: 'cancel', name })
}

/** Lets an event happen and carries out its effects. */
export function stepTable(table: RequestTable, event: AdmissionEvent): void {
	const effects = stepAdmission(table.admission, event, readMoment())
	for (const effect of effects) carryOut(table, effect)
}

function carryOut(table: RequestTable, effect: AdmissionEffect): void {
	const request = table.open.get(attemptKey(effect.name))
	if (!request) return
	switch (effect.do) {
		case 'start':
			void startRun(table, request)
			break
		case 'refuse':
			refuse(table, request, effect.outcome)
			break
		case 'attach':
			attachToFirst(table, request, effect.first)
			break
		case 'cancel':
			stopRun(table, request)
			break
		default:
			effect satisfies never
	}
}

function refuse(
	table: RequestTable,
	request: OpenRequest,
	outcome: NotRun | Unknown,
): void {
	table.metrics.refusals.inc({ kind: outcome.kind })
	request.finishedAt = readMoment().now
	const load = readLoad(table)
	closeLog(request.answer, { t: 'refused', outcome, load })
}

function refuseOn(
	table: RequestTable,
	res: ServerResponse,
	outcome: NotRun | Unknown,
): void {
	table.metrics.refusals.inc({ kind: outcome.kind })
	res.end(packFrame({ t: 'refused', outcome, load: readLoad(table) }))
}

/** Moves this try's readers over to the first try's answer. */
function attachToFirst(
	table: RequestTable,
	request: OpenRequest,
	first: AttemptName,
): void {
	const source = table.open.get(attemptKey(first))
	if (!source || source.answer.base > 0) {
		refuse(table, request, unknown('keyForgotten'))
		return
	}
	table.open.set(attemptKey(request.name), source)
	for (const reader of request.answer.readers)
		attachReader(source.answer, reader.res, 0)
	request.answer.readers.clear()
}

async function startRun(
	table: RequestTable,
	request: OpenRequest,
): Promise<void> {
	const { now: startedAt } = readMoment()
	request.startedAt = startedAt
	const end = await runOnBackend(table.server, request, (status, headers) => {
		for (const event of readServerSignals(status, headers, startedAt))
			takeSignal(table, event)
	})
	if (end.how === 'unstarted' && table.life === 'up') table.life = 'unsure'
	if (end.how === 'broken' && !request.stop.stopped) {
		noteBrokenRun(table)
		table.onBroken()
	}
	endRun(table, request, end)
}

/** Lets something happen that the backend server has said; writes what it changes. */
function takeSignal(table: RequestTable, event: AdmissionEvent): void {
	const before = describeServer(table.admission)
	stepTable(table, event)
	const after = describeServer(table.admission)
	if (after === before) return
	log({ msg: 'backend server says', kind: event.type, detail: after })
	if (event.type === 'serverLeaves') {
		table.life = 'leaving'
		table.leavesSince = readMoment().now
	}
	table.onChange()
}

function endRun(table: RequestTable, request: OpenRequest, end: RunEnd): void {
	const { name, answer } = request
	const kept = answer.base === 0 && answer.bytes <= MAX_KEPT_BYTES
	const whole = end.how === 'whole' && (kept || !answer.keepAll)
	const how = end.how === 'whole' && !whole ? 'broken' : end.how
	stepTable(table, { type: 'finish', name, how })
	request.finishedAt = readMoment().now
	log({ msg: 'run ended', reqId: name.reqId, kind: end.how })
	const load = readLoad(table)
	switch (end.how) {
		case 'whole':
			closeLog(answer, { t: 'end', n: nextNumber(answer), load })
			break
		case 'unstarted':
			closeLog(answer, {
				t: 'refused',
				outcome: { outcome: 'notRun', kind: 'unreachable', retryAfterMs: MS },
				load,
			})
			break
		case 'broken':
			closeLog(answer, { t: 'failed', detail: end.detail })
			break
		default:
			end satisfies never
	}
}

function stopRun(table: RequestTable, request: OpenRequest): void {
	request.stop.stopped = true
	request.stop.emit('abort')
	if (table.server.kind !== 'engine') return
	const reqId = attemptKey(request.name)
	cancelOnEngine(table.server.backend, reqId).catch(() => {})
}
