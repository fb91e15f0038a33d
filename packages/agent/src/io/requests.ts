/**
 * Applies the decisions of admission to requests: accepts offers, starts runs, streams
 * answers, and handles void requests and cancellations.
 */

import { EventEmitter } from 'node:events'
import type { ServerResponse } from 'node:http'
import type {
	AdmissionEffect,
	AdmissionEvent,
	AttemptName,
	ErrorKind,
	NotRun,
	Unknown,
} from '@juniperhook/core'
import {
	answerVoid,
	attemptKey,
	ERRORS,
	notRun,
	stepAdmission,
	unknown,
} from '@juniperhook/core'
import type { AttemptRef, OfferMeta, VoidReply } from '@juniperhook/runtime'
import { createLog, packFrame, readMoment } from '@juniperhook/runtime'
import {
	attachReader,
	closeLog,
	createAnswerLog,
	MAX_RETAINED_BYTES,
	nextFrameNumber,
} from './answerLog.ts'
import type { RunResult } from './backend.ts'
import { cancelOnEngine } from './backend.ts'
import { recordInterruptedRun } from './crashReport.ts'
import { readOffer } from './offerTerms.ts'
import type { OpenRequest, RequestTable } from './requestTable.ts'
import { readLoad } from './requestTable.ts'
import { runOnBackend } from './runs.ts'
import { describeServer, readServerSignals } from './serverSignals.ts'

/** `Retry-After` of a request that never reached the backend server, ms. */
const UNREACHABLE_RETRY_MS = 1_000
const ADMITTED = packFrame({ t: 'admitted' })
const log = createLog('agent:request')

/** Refuses an offer whose body was not read. */
export function refuseOffer(
	table: RequestTable,
	res: ServerResponse,
	kind: ErrorKind,
): void {
	res.writeHead(200, {
		'content-type': 'application/x-msgpack',
		connection: 'close',
	})
	refuseResponse(table, res, notRun(kind, ERRORS[kind].retryAfterMs))
}

/** Submits an offer to admission, after its body has been read. */
export function submitOffer(
	table: RequestTable,
	meta: OfferMeta,
	body: Buffer,
	res: ServerResponse,
): void {
	const offer = readOffer(table, meta)
	const id = attemptKey(offer)
	res.writeHead(200, { 'content-type': 'application/x-msgpack' })
	if (meta.incarnation !== table.incarnation) {
		refuseResponse(table, res, unknown('unreachable'))
		return
	}
	if (table.open.has(id)) {
		refuseResponse(table, res, unknown('internal'))
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

/** Sends the rest of an answer to a reader that lost its connection. */
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
		refuseResponse(table, res, unknown('truncated'))
		return
	}
	request.unreadSince = undefined
}

/** Voids an attempt; the reply proves that it did not run, or states that it has started. */
export function voidAttempt(table: RequestTable, ref: AttemptRef): VoidReply {
	if (ref.incarnation !== table.incarnation) return { answer: 'unknown' }
	const name = { reqId: ref.reqId, attempt: ref.attempt }
	stepTable(table, { type: 'void', name })
	return { answer: answerVoid(table.admission, name) }
}

/** Cancels an attempt whose answer is no longer wanted. */
export function cancelAttempt(table: RequestTable, ref: AttemptRef): void {
	if (ref.incarnation !== table.incarnation) return
	const name = { reqId: ref.reqId, attempt: ref.attempt }
	stepTable(table, { type: 'cancel', name })
}

/** Passes an event to admission and applies the resulting effects. */
export function stepTable(table: RequestTable, event: AdmissionEvent): void {
	const effects = stepAdmission(table.admission, event, readMoment())
	for (const effect of effects) applyEffect(table, effect)
}

function applyEffect(table: RequestTable, effect: AdmissionEffect): void {
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
			attachToFirstAttempt(table, request, effect.first)
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

function refuseResponse(
	table: RequestTable,
	res: ServerResponse,
	outcome: NotRun | Unknown,
): void {
	table.metrics.refusals.inc({ kind: outcome.kind })
	res.end(packFrame({ t: 'refused', outcome, load: readLoad(table) }))
}

/** Moves this attempt's readers to the answer of the first attempt with its key. */
function attachToFirstAttempt(
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
	const result = await runOnBackend(
		table.server,
		request,
		(status, headers) => {
			for (const event of readServerSignals(status, headers, startedAt))
				applyServerSignal(table, event)
		},
	)
	if (result.how === 'unstarted' && table.backendState === 'up')
		table.backendState = 'unsure'
	if (result.how === 'broken' && !request.stop.stopped) {
		recordInterruptedRun(table)
		table.onConnectionBroken()
	}
	finishRun(table, request, result)
}

/** Applies a signal of the backend server and logs what it changes. */
function applyServerSignal(table: RequestTable, event: AdmissionEvent): void {
	const before = describeServer(table.admission)
	stepTable(table, event)
	const after = describeServer(table.admission)
	if (after === before) return
	log({ msg: 'backend server says', kind: event.type, detail: after })
	if (event.type === 'serverLeaves') {
		table.backendState = 'leaving'
		table.leavingSince = readMoment().now
	}
	table.onChange()
}

function finishRun(
	table: RequestTable,
	request: OpenRequest,
	result: RunResult,
): void {
	const { name, answer } = request
	const retained = answer.base === 0 && answer.bytes <= MAX_RETAINED_BYTES
	const whole = result.how === 'whole' && (retained || !answer.retainAll)
	const how = result.how === 'whole' && !whole ? 'broken' : result.how
	stepTable(table, { type: 'finish', name, how })
	request.finishedAt = readMoment().now
	log({ msg: 'run ended', reqId: name.reqId, kind: result.how })
	const load = readLoad(table)
	switch (result.how) {
		case 'whole':
			closeLog(answer, { t: 'end', n: nextFrameNumber(answer), load })
			break
		case 'unstarted':
			closeLog(answer, {
				t: 'refused',
				outcome: {
					outcome: 'notRun',
					kind: 'unreachable',
					retryAfterMs: UNREACHABLE_RETRY_MS,
				},
				load,
			})
			break
		case 'broken':
			closeLog(answer, { t: 'failed', detail: result.detail })
			break
		default:
			result satisfies never
	}
}

function stopRun(table: RequestTable, request: OpenRequest): void {
	request.stop.stopped = true
	request.stop.emit('abort')
	if (table.server.kind !== 'engine') return
	const reqId = attemptKey(request.name)
	cancelOnEngine(table.server.backend, reqId).catch(() => {})
}
