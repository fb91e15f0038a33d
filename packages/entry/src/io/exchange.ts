/** Carries out the entry's decisions on one request, from admission to answer. */

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
import { sendCancel, sendVoid } from './attemptMessages.ts'
import { offerAttempt, resumeAttempt } from './attempt.ts'
import {
	endAnswer,
	failAnswer,
	isTold,
	resetAnswer,
	takeChunk,
	takeHead,
} from './caller.ts'
import type { EntryContext, Exchange } from './entryContext.ts'
import { refOf } from './entryContext.ts'
import { createSink } from './exchangeSink.ts'
import { noteAnswered, quarantinedForMs } from './quarantine.ts'
import {
	candidateRows,
	createQuery,
	mayWaitAt,
	wakeOnly,
} from './routeQuery.ts'
import { peerOfRow } from './servers.ts'
import { endRequest } from './teamLimits.ts'

/** Pause before the same server is tried again, ms; doubled each time. */
const SAME_SERVER_MS = 50
/** Time for a first link to a key's home, ms. */
const WAKE_MS = 200
const MS = 1_000
const log = createLog('entry:request')

/** Begins to serve a request that was admitted. */
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

/** Lets an event happen to a request and carries out what follows. */
export function stepExchange(
	ctx: EntryContext,
	exchange: Exchange,
	event: LifecycleEvent,
): void {
	exchange.fate.answerStarted = isTold(exchange.answer)
	const effects = stepLifecycle(exchange.fate, event, mayRetry(ctx.retries))
	try {
		for (const effect of effects) carryOut(ctx, exchange, effect)
	} catch (err) {
		abandonFaulty(ctx, exchange, err)
	}
}

/** A fault of our own costs this request alone, not the process. */
function abandonFaulty(
	ctx: EntryContext,
	exchange: Exchange,
	err: unknown,
): void {
	const { reqId, intake, fate, answer } = exchange
	log({ msg: 'fault', reqId, kind: 'internal', detail: messageOf(err) })
	ctx.metrics.refusals.inc({ kind: 'internal' })
	if (ctx.exchanges.delete(exchange)) {
		endRequest(ctx, intake)
		endTry(ctx, exchange, false)
	}
	fate.state = { at: 'settled', outcome: unknown('internal') }
	answer.res.destroy()
}

function carryOut(
	ctx: EntryContext,
	exchange: Exchange,
	effect: LifecycleEffect,
): void {
	switch (effect.do) {
		case 'route':
			endTry(ctx, exchange, false)
			retry(ctx, exchange, effect.why ?? 'internal')
			break
		case 'sendVoid':
			void askVoid(ctx, exchange, effect.attempt)
			break
		case 'resume':
			void resume(ctx, exchange, effect.attempt, effect.from)
			break
		case 'forward':
			forward(exchange)
			break
		case 'cancel':
			if (exchange.peer) sendCancel(exchange.peer, refOf(exchange))
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
	const pause = SAME_SERVER_MS * 2 ** (exchange.fate.attempt - 1)
	const again = () => route(ctx, exchange, avoid)
	const others = candidateRows(ctx, exchange).length > 1
	if (others) again()
	else setTimeout(again, pause)
}

function route(
	ctx: EntryContext,
	exchange: Exchange,
	avoid: number | undefined,
): void {
	if (exchange.fate.state.at !== 'routing') return
	if (quarantinedForMs(ctx, exchange.intake) > 0) {
		stepExchange(ctx, exchange, { type: 'noRoute', kind: 'quarantined' })
		return
	}
	const query = createQuery(ctx, exchange, avoid ?? -1)
	if (query.rows.length === 1 && wakeOnly(ctx, query.rows[0]!)) {
		setTimeout(() => route(ctx, exchange, avoid), WAKE_MS)
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
	const { intake } = exchange
	exchange.row = row
	exchange.peer = peer
	exchange.incarnation = peer.incarnation
	exchange.heardAt = readNow()
	stepExchange(ctx, exchange, { type: 'routed' })
	recordSent(ctx.servers.table, row, 1)
	exchange.counted = true
	const left = exchange.deadlineAt - readElapsed()
	const meta: OfferMeta = {
		...refOf(exchange),
		team: intake.teamName,
		weight: intake.team.weight,
		priority: intake.priority,
		startBudgetMs: Math.max(0, Math.min(intake.startBudgetMs, left)),
		mayWait: mayWaitAt(ctx, exchange, row),
		method: intake.method,
		path: intake.path,
		headers: intake.headers,
		...(intake.target.kind === 'service' && {
			service: intake.target.service,
		}),
		...(intake.key && {
			key: intake.key.value,
			freshKey: intake.key.fresh,
		}),
	}
	const sink = createSink(ctx, exchange, event =>
		stepExchange(ctx, exchange, event),
	)
	exchange.handle = offerAttempt(peer.address, meta, intake.body, sink)
}

async function resume(
	ctx: EntryContext,
	exchange: Exchange,
	attempt: number,
	from: number,
): Promise<void> {
	const { peer, fate } = exchange
	exchange.handle?.abandon()
	if (!peer) return
	const failures = fate.resumes
	ctx.metrics.resumes.inc()
	const pause = failures > 1 ? SAME_SERVER_MS * 2 ** failures : 0
	if (pause > 0) await new Promise(resolve => setTimeout(resolve, pause))
	if (fate.state.at === 'settled' || fate.attempt !== attempt) return
	exchange.heardAt = readNow()
	const meta = { ...refOf(exchange), from }
	const sink = createSink(ctx, exchange, event =>
		stepExchange(ctx, exchange, event),
	)
	exchange.handle = resumeAttempt(peer.address, meta, sink)
}

async function askVoid(
	ctx: EntryContext,
	exchange: Exchange,
	attempt: number,
): Promise<void> {
	const { peer } = exchange
	if (!peer) return
	exchange.handle?.abandon()
	recordResult(ctx.servers.table, exchange.row, false, readNow())
	const answer = await sendVoid(peer, { ...refOf(exchange), attempt })
	stepExchange(ctx, exchange, { type: 'voidAnswer', attempt, answer })
}

function forward(exchange: Exchange): void {
	const { frame, answer } = exchange
	if (frame?.t === 'head') takeHead(answer, frame.status, frame.headers)
	if (frame?.t !== 'chunk') return
	if (!takeChunk(answer, frame.data)) exchange.handle?.pause()
}

function settle(ctx: EntryContext, exchange: Exchange, outcome: Outcome): void {
	const { intake, answer, reqId } = exchange
	ctx.exchanges.delete(exchange)
	endTry(ctx, exchange, outcome.outcome === 'answered')
	endRequest(ctx, intake)
	ctx.metrics.outcomes.inc({ outcome: outcome.outcome })
	ctx.metrics.latency.observe((readNow() - exchange.startedAt) / MS)
	const team = intake.teamName
	switch (outcome.outcome) {
		case 'answered':
			noteAnswered(ctx, intake)
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

function endTry(ctx: EntryContext, exchange: Exchange, good: boolean): void {
	const { servers } = ctx
	exchange.handle?.abandon()
	exchange.handle = undefined
	const name = exchange.peer?.server
	const row = name === undefined ? undefined : servers.table.rowOf.get(name)
	if (row === undefined || name === undefined) return
	if (exchange.counted) recordSent(servers.table, row, -1)
	exchange.counted = false
	if (!good) return
	recordResult(servers.table, row, true, readNow())
	const { prefix } = exchange.intake
	if (prefix !== undefined) recordPrefix(ctx.affinity, prefix, name, readNow())
}
