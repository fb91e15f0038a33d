/**
 * Dispatches the signals that a server sends about itself in a response. Each signal has
 * exactly one handler.
 */

import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { noteToldLoad } from './fleet.ts'
import type { Heard, ServerStatement, SignalValues } from './ports.ts'
import { noteNamedLimit } from './rateLimits.ts'
import { noteLeaving } from './serverRecords.ts'
import { takeRest } from './serverRests.ts'

/** Maximum of unknown headers that are counted by name. */
const MAX_UNKNOWN = 32
/** Maximum of distinct unreadable signals that are logged. */
const MAX_UNREADABLE = 256
/** Label under which further headers are counted. */
const OTHERS = 'others'

/** Handles a signal; the value is undefined when the response lacks the signal. */
type Handler<T> = (
	ctx: GatewayContext,
	heard: Heard,
	value: T | undefined,
) => void

const HANDLERS: {
	readonly [K in keyof SignalValues]: Handler<SignalValues[K]>
} = {
	load: (ctx, { server }, load) => {
		if (load) noteToldLoad(ctx.fleet, server, load, readNow())
	},
	perSecond: noteNamedLimit,
	restMs: (ctx, { server }, restMs) => {
		if (restMs !== undefined) takeRest(ctx, server, restMs)
	},
	leaving: (ctx, { server }, leaving) => {
		if (leaving) noteLeaving(ctx, [{ kind: 'left', server }], 'answer')
	},
}

/** Names of the signals that have a handler. */
export const READ_SIGNALS = Object.keys(HANDLERS) as (keyof SignalValues)[]

/** Handles all signals and unknown headers of a response. */
export function takeStatement(
	ctx: GatewayContext,
	heard: Heard,
	statement: ServerStatement,
): void {
	for (const signal of READ_SIGNALS) handleSignal(ctx, heard, statement, signal)
	for (const header of statement.unknown) noteUnknown(ctx, heard, header)
}

function handleSignal<K extends keyof SignalValues>(
	ctx: GatewayContext,
	heard: Heard,
	{ signals }: ServerStatement,
	name: K,
): void {
	const signal = signals[name]
	switch (signal.kind) {
		case 'told':
			HANDLERS[name](ctx, heard, signal.value)
			return
		case 'untold':
			HANDLERS[name](ctx, heard, undefined)
			return
		case 'unreadable':
			noteUnreadable(ctx, heard, name, signal.text)
			return
		default:
			signal satisfies never
	}
}

/** Counts and logs an unreadable signal; the last known value stays in force. */
function noteUnreadable(
	ctx: GatewayContext,
	{ server }: Heard,
	signal: string,
	text: string,
): void {
	const { unreadable } = ctx.oddSignals
	ctx.metrics.unreadableSignals.inc({ signal })
	const key = `${server} ${signal} ${text}`
	if (unreadable.has(key) || unreadable.size >= MAX_UNREADABLE) return
	unreadable.add(key)
	ctx.log.write('server signal unreadable', { server, signal, text })
}

function noteUnknown(
	ctx: GatewayContext,
	{ server }: Heard,
	header: string,
): void {
	const { unknown } = ctx.oddSignals
	const isNew = !unknown.has(header) && unknown.size < MAX_UNKNOWN
	if (isNew) unknown.add(header)
	const name = unknown.has(header) ? header : OTHERS
	ctx.metrics.unknownHeaders.inc({ header: name })
	if (isNew) ctx.log.write('server header unknown', { server, header })
}
