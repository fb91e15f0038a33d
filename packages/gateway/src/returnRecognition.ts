/** Recognizes refused callers who come back, at this entry or another one. */

import {
	drainReturns,
	expectReturn,
	expireReturns,
	learnReturn,
	MAX_REPORTED_RETURNS,
	takeReturn,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { featuresOf } from './features.ts'
import { shortFingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'
import type { WireReturn } from './peerMessages.ts'

/** Remembers a refused caller that has been told to come back in `dueInMs`. */
export function rememberRefused(
	ctx: GatewayContext,
	request: CallerRequest,
	dueInMs: number,
): void {
	const fingerprint = shortFingerprintOf(request)
	const dueAt = readElapsed() + dueInMs
	expectReturn(ctx.returns.expected, { fingerprint, dueAt })
}

/** Whether a request comes from a refused caller, at the time that it was told. */
export function isReturning(
	ctx: GatewayContext,
	service: string,
	request: CallerRequest,
): boolean {
	const { expected } = ctx.returns
	if (expected.dueAt.size === 0) return false
	if (!featuresOf(ctx.features, service).returns) return false
	const fingerprint = shortFingerprintOf(request)
	const isReturn = takeReturn(expected, fingerprint, request.arrivedAt)
	if (isReturn) ctx.metrics.returns.inc({ outcome: 'returned' })
	return isReturn
}

/**
 * Returns what other entries have to know of callers refused since the last call;
 * undefined for nothing.
 */
export function drainRefused({
	returns,
}: GatewayContext): WireReturn[] | undefined {
	const now = readElapsed()
	expireReturns(returns.expected, now)
	const refused = drainReturns(returns.expected)
	if (refused.length === 0) return undefined
	return refused.map(({ fingerprint, dueAt }) => ({
		fingerprint,
		dueInMs: Math.round(dueAt - now),
	}))
}

/** Remembers callers that another entry has refused. */
export function receiveRefused(
	{ returns }: GatewayContext,
	refused: readonly WireReturn[] = [],
): void {
	const now = readElapsed()
	for (const { fingerprint, dueInMs } of refused.slice(-MAX_REPORTED_RETURNS))
		learnReturn(returns.expected, { fingerprint, dueAt: now + dueInMs })
}
