/** Reads and admits one request, and starts serving it. */

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
import type { CallerRequest, TeamIndex } from './callerRequest.ts'
import { KEY_HEADER } from './callerRequest.ts'
import type { EntryContext } from './entryContext.ts'
import { createExchange } from './entryContext.ts'
import { startExchange } from './exchange.ts'
import { quarantinedForMs } from './quarantine.ts'
import { refuseLimited, refuseRequest } from './refusals.ts'
import { admitRequest, endRequest } from './teamLimits.ts'

/** Response header with the request's id in logs. */
export const REQUEST_ID_HEADER = 'x-request-id'
const log = createLog('entry:request')

/** Reads, admits and serves one request. */
export async function serveRequest(
	ctx: EntryContext,
	read: (
		req: IncomingMessage,
		config: Config,
		teams: TeamIndex,
		maxParsedBytes: number,
	) => Promise<CallerRequest>,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const answer = createCallerAnswer(res)
	const reqId = makeRequestId(ctx)
	res.setHeader(REQUEST_ID_HEADER, reqId)
	if (ctx.leaving) res.setHeader('connection', 'close')
	const hasKey = req.headers[KEY_HEADER] !== undefined
	const refuse = (kind: ErrorKind, detail?: string) =>
		refuseRequest(ctx, answer, kind, hasKey, detail)
	try {
		if (ctx.leaving) return refuse('entryLeaving')
		if (!ctx.config) return refuse('noConfig')
		const request = await read(req, ctx.config, ctx.teams, ctx.maxParsedBytes)
		const quarantinedMs = quarantinedForMs(ctx, request)
		if (quarantinedMs > 0) {
			const refusal = notRun('quarantined', Math.ceil(quarantinedMs))
			return refuseLimited(ctx, answer, request, refusal)
		}
		const teamRefusal = await admitRequest(ctx, request)
		if (teamRefusal) return refuseLimited(ctx, answer, request, teamRefusal)
		// The caller disconnected during the admission request to the team home.
		if (res.destroyed) return endRequest(ctx, request)
		if (request.key) res.setHeader(KEY_HEADER, request.key.value)
		startExchange(ctx, createExchange(reqId, request, answer))
	} catch (err) {
		// The caller disconnected while its body was being read.
		if (req.destroyed && !req.complete) return
		const known = err instanceof JuniperhookError
		if (!known) log({ msg: 'fault', reqId, detail: messageOf(err) })
		refuse(kindOf(err), known ? err.detail : '')
	}
}

function makeRequestId(ctx: EntryContext): string {
	return `${ctx.incarnation}-${ctx.nextRequestNumber++}`
}
