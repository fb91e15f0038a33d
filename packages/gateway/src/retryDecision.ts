/** Decides whether a request may be retried. */

import { createRetryWindow, takeRetry } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { Job } from './job.ts'

/**
 * Maximum number of refused sends after which a request is still retried. Refused sends
 * do not count as attempts.
 */
const MAX_REFUSED_SENDS = 3

/**
 * Returns whether another attempt may be made: the request is safe to repeat or
 * provably did not run, attempts are left, and the retry budget allows it. Consumes
 * from that budget.
 */
export function mayRetry(ctx: GatewayContext, job: Job): boolean {
	const { request } = job
	if (job.signal.aborted) return false
	if (job.mayHaveRun && !request.repeatable) return false
	const attempts = job.sends - job.refusedSends
	if (attempts >= request.route.maxAttempts) return false
	// Refusals of a forming group count as waiting for it, which has its own limit.
	const refusals = job.refusedSends - job.groupRefusals
	if (refusals > MAX_REFUSED_SENDS) return false
	return takeRetry(
		retryWindowOf(ctx, job.service),
		ctx.settings.retries,
		ctx.entryCount,
		readNow(),
	)
}

/** Returns the retry budget window of a service, creating it on first use. */
export function retryWindowOf(ctx: GatewayContext, service: string) {
	const known = ctx.retries.get(service)
	if (known) return known
	const window = createRetryWindow()
	ctx.retries.set(service, window)
	return window
}
