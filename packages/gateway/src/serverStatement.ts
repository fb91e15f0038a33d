/**
 * Dispatches the signals that a server sends about itself in a response. Each signal has
 * exactly one handler.
 */

import { readNow } from '@juniperhook/runtime'
import { recordStatedCold } from './coldServers.ts'
import type { GatewayContext } from './context.ts'
import { recordReportedLoad } from './fleet.ts'
import type { ServerStatement, SignalValues, StatementOrigin } from './ports.ts'
import { recordAnnouncedLimit } from './rateLimits.ts'
import { recordRequestedBackoff } from './serverBackoffs.ts'
import { recordLeaving } from './serverRecords.ts'

/** Maximum number of unknown headers that are counted by name. */
const MAX_UNKNOWN = 32
/** Maximum number of distinct unreadable signals that are logged. */
const MAX_UNREADABLE = 256
/** Label under which further headers are counted. */
const OTHERS = 'others'

/** Handles a signal; the value is undefined when the response does not carry it. */
type Handler<T> = (
	ctx: GatewayContext,
	origin: StatementOrigin,
	value: T | undefined,
) => void

const HANDLERS: {
	readonly [K in keyof SignalValues]: Handler<SignalValues[K]>
} = {
	load: (ctx, { server }, load) => {
		if (load) recordReportedLoad(ctx.fleet, server, load, readNow())
	},
	perSecond: recordAnnouncedLimit,
	restMs: (ctx, { server }, restMs) => {
		if (restMs !== undefined) recordRequestedBackoff(ctx, server, restMs)
	},
	coldMs: recordStatedCold,
	leaving: (ctx, { server }, leaving) => {
		if (leaving) recordLeaving(ctx, [{ kind: 'left', server }], 'answer')
	},
}

/** Names of the signals that have a handler. */
export const HANDLED_SIGNALS = Object.keys(HANDLERS) as (keyof SignalValues)[]

/** Handles all signals and unknown headers of a response. */
export function applyStatement(
	ctx: GatewayContext,
	origin: StatementOrigin,
	statement: ServerStatement,
): void {
	for (const signal of HANDLED_SIGNALS)
		handleSignal(ctx, origin, statement, signal)
	for (const header of statement.unknown) recordUnknown(ctx, origin, header)
}

function handleSignal<K extends keyof SignalValues>(
	ctx: GatewayContext,
	origin: StatementOrigin,
	{ signals }: ServerStatement,
	name: K,
): void {
	const signal = signals[name]
	switch (signal.kind) {
		case 'present':
			HANDLERS[name](ctx, origin, signal.value)
			return
		case 'absent':
			HANDLERS[name](ctx, origin, undefined)
			return
		case 'unreadable':
			recordUnreadable(ctx, origin, name, signal.text)
			return
		default:
			signal satisfies never
	}
}

/** Counts and logs an unreadable signal; the last known value stays in force. */
function recordUnreadable(
	ctx: GatewayContext,
	{ server }: StatementOrigin,
	signal: string,
	text: string,
): void {
	const { unreadable } = ctx.unrecognizedSignals
	ctx.metrics.unreadableSignals.inc({ signal })
	const key = `${server} ${signal} ${text}`
	if (unreadable.has(key) || unreadable.size >= MAX_UNREADABLE) return
	unreadable.add(key)
	ctx.log.write('server signal unreadable', { server, signal, text })
}

function recordUnknown(
	ctx: GatewayContext,
	{ server }: StatementOrigin,
	header: string,
): void {
	const { unknownHeaders } = ctx.unrecognizedSignals
	const isNew = !unknownHeaders.has(header) && unknownHeaders.size < MAX_UNKNOWN
	if (isNew) unknownHeaders.add(header)
	const name = unknownHeaders.has(header) ? header : OTHERS
	ctx.metrics.unknownHeaders.inc({ header: name })
	if (isNew) ctx.log.write('server header unknown', { server, header })
}
