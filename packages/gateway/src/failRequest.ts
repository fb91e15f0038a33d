/** Ends requests without a server's response, and tells their callers when to return. */

import type { ServerResponse } from 'node:http'
import type { ErrorKind } from '@juniperhook/core'
import { ERRORS } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { describeClass } from './attemptLog.ts'
import type { GatewayContext } from './context.ts'
import { isDelivering } from './heldResponses.ts'
import type { Job } from './job.ts'
import { refusedForMs } from './partGate.ts'
import { quarantinedForMs } from './quarantineGate.ts'
import { writeFailure } from './reply.ts'
import type { RetryAfter } from './retryAfter.ts'
import { chooseRetryAfter } from './retryAfter.ts'

/** Least delay that a refused caller is given, ms: its turn may begin while it is refused. */
const MIN_RETRY_AFTER_MS = 10

/** Ends a request with an error, without a server's response. */
export function failRequest(
	ctx: GatewayContext,
	job: Job,
	res: ServerResponse,
	error: ErrorKind,
): void {
	if (res.writableEnded || res.destroyed || isDelivering(ctx, res)) return
	const { request } = job
	const leftMs = request.deadlineAt - readElapsed()
	const retryAfter = retryAfterOf(ctx, job, error, leftMs)
	if (job.candidate.isReturn && ERRORS[error].ran === 'no')
		ctx.metrics.returns.inc({ outcome: 'refusedAgain' })
	ctx.log.write('request failed', {
		req: request.id,
		route: request.route.name,
		service: job.service,
		error,
		...describeClass(ctx, job),
		sends: job.sends,
		tried: [...job.tried],
		tookMs: Math.round(readElapsed() - request.arrivedAt),
		begun: res.headersSent,
		config: request.routes.config.version,
		fingerprint: request.fingerprint,
		part: job.refusedPart,
		...job.forecast,
		returned: job.candidate.isReturn || undefined,
		...describePlace(retryAfter),
	})
	writeFailure(ctx, res, error, request.id, retryAfter.ms)
}

/** Returns the place of a refused caller for the log, and the forecast it rests on. */
function describePlace(retryAfter: RetryAfter): object {
	if (retryAfter.kind === 'scheduled') return {}
	const { forecast, ms, place } = retryAfter
	return {
		place: place.kind,
		returnInMs: Math.round(ms),
		room: forecast.kind,
		availableInMs: Math.round(forecast.availableInMs),
		perSecond: Math.round(forecast.perSecond),
		sure: Math.round(forecast.sure * 100) / 100,
	}
}

function retryAfterOf(
	ctx: GatewayContext,
	job: Job,
	error: ErrorKind,
	leftMs: number,
): RetryAfter {
	if (error === 'quarantined' || error === 'suspected')
		return {
			kind: 'scheduled',
			ms: Math.max(
				MIN_RETRY_AFTER_MS,
				quarantinedForMs(ctx, job.request),
				refusedForMs(ctx, job.request),
			),
		}
	// A caller that is told to wait for all the time it has does not come back.
	if (error === 'oversize') return { kind: 'scheduled', ms: leftMs }
	// When an evacuation will be taken back is not known; other entries are not stopping.
	if (error === 'evacuated' || error === 'entryLeaving')
		return { kind: 'scheduled', ms: ERRORS[error].retryAfterMs }
	return ERRORS[error].ran === 'no'
		? chooseRetryAfter(ctx, job, leftMs)
		: { kind: 'scheduled', ms: 0 }
}
