/**
 * What a server says of itself in an answer, handed to whoever decides by it. Each signal
 * has exactly one reader.
 */

import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { recordReportedLoad } from './fleet.ts'
import type { ServerStatement, SignalValues, StatementOrigin } from './ports.ts'
import { recordAnnouncedLimit } from './rateLimits.ts'
import { recordRequestedBackoff } from './serverBackoffs.ts'
import { recordLeaving } from './serverRecords.ts'

/** Headers that are counted by name, and signals that are logged as unreadable. */
const MAX_UNKNOWN = 32
const MAX_UNREADABLE = 256
/** Name under which headers beyond that are counted. */
const OTHERS = 'others'

/** Takes a signal; undefined where the answer doesn't have it. */
type Reader<T> = (
	ctx: GatewayContext,
	heard: StatementOrigin,
	value: T | undefined,
) => void

const READERS: { readonly [K in keyof SignalValues]: Reader<SignalValues[K]> } =
	{
		load: (ctx, { server }, load) => {
			if (load) recordReportedLoad(ctx.fleet, server, load, readNow())
		},
		perSecond: recordAnnouncedLimit,
		restMs: (ctx, { server }, restMs) => {
			if (restMs !== undefined) recordRequestedBackoff(ctx, server, restMs)
		},
		leaving: (ctx, { server }, leaving) => {
			if (leaving) recordLeaving(ctx, [{ kind: 'left', server }], 'answer')
		},
	}

/** Names of the signals that have a reader. */
export const HANDLED_SIGNALS = Object.keys(READERS) as (keyof SignalValues)[]

/** Takes all that an answer says of its server. */
export function applyStatement(
	ctx: GatewayContext,
	heard: StatementOrigin,
	statement: ServerStatement,
): void {
	for (const signal of HANDLED_SIGNALS) takeSignal(ctx, heard, statement, signal)
	for (const header of statement.unknown) recordUnknown(ctx, heard, header)
}

function takeSignal<K extends keyof SignalValues>(
	ctx: GatewayContext,
	heard: StatementOrigin,
	{ signals }: ServerStatement,
	name: K,
): void {
	const signal = signals[name]
	switch (signal.kind) {
		case 'told':
			READERS[name](ctx, heard, signal.value)
			return
		case 'untold':
			READERS[name](ctx, heard, undefined)
			return
		case 'unreadable':
			recordUnreadable(ctx, heard, name, signal.text)
			return
		default:
			signal satisfies never
	}
}

/** What was believed is held. */
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
	const { unknownHeaders: unknown } = ctx.unrecognizedSignals
	const isNew = !unknown.has(header) && unknown.size < MAX_UNKNOWN
	if (isNew) unknown.add(header)
	const name = unknown.has(header) ? header : OTHERS
	ctx.metrics.unknownHeaders.inc({ header: name })
	if (isNew) ctx.log.write('server header unknown', { server, header })
}
