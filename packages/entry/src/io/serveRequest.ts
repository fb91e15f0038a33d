/** Takes one request in: reads it, admits it, and begins to serve it. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Config, ErrorKind } from '@juniperhook/core'
import { notRun } from '@juniperhook/core'
import {
	createLog,
	JuniperhookError,
	kindOf,
	messageOf,
} from '@juniperhook/runtime'
import { createCallerAnswer } from './caller.ts'
import type { EntryContext } from './entryContext.ts'
import { createExchange } from './entryContext.ts'
import { startExchange } from './exchange.ts'
import type { Intake, TeamIndex } from './callerRequest.ts'
import { KEY_HEADER } from './callerRequest.ts'
import { quarantinedForMs } from './quarantine.ts'
import { refuseLimited, refuseRequest } from './refusals.ts'
import { admitRequest, endRequest } from './teamLimits.ts'

/** Response header that names the request in logs. */
export const REQUEST_ID_HEADER = 'x-request-id'
const log = createLog('entry:request')

/** Reads, admits and serves one request. */
export async function serveRequest(
	ctx: EntryContext,
	read: (
		req: IncomingMessage,
		config: Config,
		teams: TeamIndex,
	) => Promise<Intake>,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const answer = createCallerAnswer(res)
	const reqId = makeRequestId(ctx)
	res.setHeader(REQUEST_ID_HEADER, reqId)
	const hasKey = req.headers[KEY_HEADER] !== undefined
	const refuse = (kind: ErrorKind, detail?: string) =>
		refuseRequest(ctx, answer, kind, hasKey, detail)
	try {
		if (ctx.leaving) return refuse('entryLeaving')
		if (!ctx.config) return refuse('noConfig')
		const intake = await read(req, ctx.config, ctx.teams)
		const barredMs = quarantinedForMs(ctx, intake)
		if (barredMs > 0) {
			const barred = notRun('quarantined', Math.ceil(barredMs))
			return refuseLimited(ctx, answer, intake, barred)
		}
		const limited = await admitRequest(ctx, intake)
		if (limited) return refuseLimited(ctx, answer, intake, limited)
		// The caller went away while a home was asked.
		if (res.destroyed) return endRequest(ctx, intake)
		if (intake.key) res.setHeader(KEY_HEADER, intake.key.value)
		startExchange(ctx, createExchange(reqId, intake, answer))
	} catch (err) {
		// The caller went away while its body was read.
		if (req.destroyed && !req.complete) return
		const known = err instanceof JuniperhookError
		if (!known) log({ msg: 'fault', reqId, detail: messageOf(err) })
		refuse(kindOf(err), known ? err.detail : '')
	}
}

function makeRequestId(ctx: EntryContext): string {
	return `${ctx.incarnation}-${ctx.nextRequest++}`
}
