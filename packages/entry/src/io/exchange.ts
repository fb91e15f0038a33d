/** Serves one request from admission to answer: applies the effects of its lifecycle. */

import type {
	ErrorKind,
	LifecycleEffect,
	LifecycleEvent,
	Outcome,
} from '@juniperhook/core'
import {
	chooseServer,
	mayRetry,
	recordFirstAttempt,
	recordPrefix,
	recordResult,
	recordSent,
	spendRetry,
	stepLifecycle,
	unknown,
} from '@juniperhook/core'
import type { OfferMeta } from '@juniperhook/runtime'
import {
	createLog,
	messageOf,
	readElapsed,
	readNow,
} from '@juniperhook/runtime'
import { offerAttempt, resumeAttempt } from './attempt.ts'
import { sendCancel, sendVoid } from './attemptMessages.ts'
import {
	endAnswer,
	failAnswer,
	isAnswerStarted,
	resetAnswer,
	setHead,
	writeChunk,
} from './caller.ts'
import type { EntryContext, Exchange } from './entryContext.ts'
import { attemptRefOf } from './entryContext.ts'
import { createAttemptSink } from './exchangeSink.ts'
import { quarantinedForMs, recordAnswered } from './quarantine.ts'
import {
	candidateRows,
	createRouteQuery,
	ensureLinkToRow,
	mayWaitAt,
} from './routeQuery.ts'
import { peerOfRow } from './servers.ts'
import { endRequest } from './teamLimits.ts'

/** Backoff before another attempt at the same server, ms; doubled each time. */
const SAME_SERVER_BACKOFF_MS = 50
/** Time to wait for the first link to a key home, ms. */
const FIRST_LINK_WAIT_MS = 200
const MS_PER_SECOND = 1_000
const log = createLog('entry:request')

/** Starts serving an admitted request. */
export function startExchange(ctx: EntryContext, exchange: Exchange): void {
	const { res } = exchange.answer
	ctx.exchanges.add(exchange)
	recordFirstAttempt(ctx.retries)
	res.on('close', () => {
		if (!res.writableFinished)
			stepExchange(ctx, exchange, { type: 'callerGone' })
	})
	res.on('drain', () => exchange.handle?.resume())
	route(ctx, exchange, undefined)
}

/** Applies an event to a request's lifecycle, and the effects that result. */
export function stepExchange(
	ctx: EntryContext,
	exchange: Exchange,
	event: LifecycleEvent,
): void {
	exchange.lifecycle.answerStarted = isAnswerStarted(exchange.answer)
	const effects = stepLifecycle(
		exchange.lifecycle,
		event,
		mayRetry(ctx.retries),
	)
	try {
		for (const effect of effects) applyEffect(ctx, exchange, effect)
	} catch (err) {
		failInternally(ctx, exchange, err)
	}
}

/** Fails a request after an internal fault, so that the fault does not end the process. */
function failInternally(
	ctx: EntryContext,
	exchange: Exchange,
	err: unknown,
): void {
	const { reqId, request, lifecycle, answer } = exchange
	log({ msg: 'fault', reqId, kind: 'internal', detail: messageOf(err) })
	ctx.metrics.refusals.inc({ kind: 'internal' })
	if (ctx.exchanges.delete(exchange)) {
		endRequest(ctx, request)
		endAttempt(ctx, exchange, false)
	}
	lifecycle.state = { at: 'settled', outcome: unknown('internal') }
	answer.res.destroy()
}

function applyEffect(
	ctx: EntryContext,
	exchange: Exchange,
	effect: LifecycleEffect,
): void {
	switch (effect.do) {
		case 'route':
			endAttempt(ctx, exchange, false)
			retry(ctx, exchange, effect.why ?? 'internal')
			break
		case 'sendVoid':
			void requestVoid(ctx, exchange, effect.attempt)
			break
		case 'resume':
			void resume(ctx, exchange, effect.attempt, effect.from)
			break
		case 'forward':
			forward(exchange)
			break
		case 'cancel':
			if (exchange.peer) sendCancel(exchange.peer, attemptRefOf(exchange))
			break
		case 'drop':
			ctx.metrics.dropped.inc()
			break
		case 'settle':
			settle(ctx, exchange, effect.outcome)
			break
		default:
			effect satisfies never
	}
}

function retry(ctx: EntryContext, exchange: Exchange, why: ErrorKind): void {
	spendRetry(ctx.retries)
	ctx.metrics.retries.inc({ kind: why })
	resetAnswer(exchange.answer)
	const avoid = exchange.row
	const backoffMs =
		SAME_SERVER_BACKOFF_MS * 2 ** (exchange.lifecycle.attempt - 1)
	const routeAgain = () => route(ctx, exchange, avoid)
	const hasOthers = candidateRows(ctx, exchange).length > 1
	if (hasOthers) routeAgain()
	else setTimeout(routeAgain, backoffMs)
}

function route(
	ctx: EntryContext,
	exchange: Exchange,
	avoid: number | undefined,
): void {
	if (exchange.lifecycle.state.at !== 'routing') return
	if (quarantinedForMs(ctx, exchange.request) > 0) {
		stepExchange(ctx, exchange, { type: 'noRoute', kind: 'quarantined' })
		return
	}
	const query = createRouteQuery(ctx, exchange, avoid ?? -1)
	if (query.rows.length === 1 && ensureLinkToRow(ctx, query.rows[0]!)) {
		setTimeout(() => route(ctx, exchange, avoid), FIRST_LINK_WAIT_MS)
		return
	}
	const now = readNow()
	const row = chooseServer(ctx.servers.table, query, now, ctx.random)
	if (row < 0) {
		stepExchange(ctx, exchange, { type: 'noRoute', kind: 'noServer' })
		return
	}
	offer(ctx, exchange, row)
}

function offer(ctx: EntryContext, exchange: Exchange, row: number): void {
	const peer = peerOfRow(ctx.servers, row)
	const { request } = exchange
	exchange.row = row
	exchange.peer = peer
	exchange.incarnation = peer.incarnation
	exchange.lastFrameAt = readNow()
	stepExchange(ctx, exchange, { type: 'routed' })
	recordSent(ctx.servers.table, row, 1)
	exchange.isCounted = true
	const remainingMs = exchange.deadlineAt - readElapsed()
	const meta: OfferMeta = {
		...attemptRefOf(exchange),
		team: request.teamName,
		weight: request.team.weight,
		priority: request.priority,
		startBudgetMs: Math.max(0, Math.min(request.startBudgetMs, remainingMs)),
		mayWait: mayWaitAt(ctx, exchange, row),
		method: request.method,
		path: request.path,
		headers: request.headers,
		...(request.target.kind === 'service' && {
			service: request.target.service,
		}),
		...(request.key && {
			key: request.key.value,
			freshKey: request.key.isNew,
		}),
	}
	const sink = createAttemptSink(ctx, exchange, event =>
		stepExchange(ctx, exchange, event),
	)
	exchange.handle = offerAttempt(peer.address, meta, request.body, sink)
}

async function resume(
	ctx: EntryContext,
	exchange: Exchange,
	attempt: number,
	from: number,
): Promise<void> {
	const { peer, lifecycle } = exchange
	exchange.handle?.abandon()
	if (!peer) return
	const resumes = lifecycle.resumes
	ctx.metrics.resumes.inc()
	const backoffMs = resumes > 1 ? SAME_SERVER_BACKOFF_MS * 2 ** resumes : 0
	if (backoffMs > 0)
		await new Promise(resolve => setTimeout(resolve, backoffMs))
	if (lifecycle.state.at === 'settled' || lifecycle.attempt !== attempt) return
	exchange.lastFrameAt = readNow()
	const meta = { ...attemptRefOf(exchange), from }
	const sink = createAttemptSink(ctx, exchange, event =>
		stepExchange(ctx, exchange, event),
	)
	exchange.handle = resumeAttempt(peer.address, meta, sink)
}

async function requestVoid(
	ctx: EntryContext,
	exchange: Exchange,
	attempt: number,
): Promise<void> {
	const { peer } = exchange
	if (!peer) return
	exchange.handle?.abandon()
	recordResult(ctx.servers.table, exchange.row, false, readNow())
	const answer = await sendVoid(peer, { ...attemptRefOf(exchange), attempt })
	stepExchange(ctx, exchange, { type: 'voidAnswer', attempt, answer })
}

function forward(exchange: Exchange): void {
	const { frame, answer } = exchange
	if (frame?.t === 'head') setHead(answer, frame.status, frame.headers)
	if (frame?.t !== 'chunk') return
	if (!writeChunk(answer, frame.data)) exchange.handle?.pause()
}

function settle(ctx: EntryContext, exchange: Exchange, outcome: Outcome): void {
	const { request, answer, reqId } = exchange
	ctx.exchanges.delete(exchange)
	endAttempt(ctx, exchange, outcome.outcome === 'answered')
	endRequest(ctx, request)
	ctx.metrics.outcomes.inc({ outcome: outcome.outcome })
	ctx.metrics.latency.observe((readNow() - exchange.startedAt) / MS_PER_SECOND)
	const team = request.teamName
	switch (outcome.outcome) {
		case 'answered':
			recordAnswered(ctx, request)
			endAnswer(answer)
			log({ msg: 'answered', reqId, team })
			break
		case 'notRun':
		case 'unknown':
			ctx.metrics.refusals.inc({ kind: outcome.kind })
			log({ msg: outcome.outcome, reqId, team, kind: outcome.kind })
			if (!answer.res.destroyed) failAnswer(answer, outcome, exchange.detail)
			break
		default:
			outcome satisfies never
	}
}

function endAttempt(
	ctx: EntryContext,
	exchange: Exchange,
	isAnswered: boolean,
): void {
	const { servers } = ctx
	exchange.handle?.abandon()
	exchange.handle = undefined
	const name = exchange.peer?.server
	const row = name === undefined ? undefined : servers.table.rowOf.get(name)
	if (row === undefined || name === undefined) return
	if (exchange.isCounted) recordSent(servers.table, row, -1)
	exchange.isCounted = false
	if (!isAnswered) return
	recordResult(servers.table, row, true, readNow())
	const { prefix } = exchange.request
	if (prefix !== undefined) recordPrefix(ctx.affinity, prefix, name, readNow())
}
