/** Whether a request may be sent once more. */

import { createRetryWindow, takeRetry } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { Job } from './job.ts'

/** Sends that a server is proved not to have run, besides those that count. */
const MAX_REFUSED_SENDS = 3

/** Whether another attempt may be made, by count, proof and budget. */
export function mayRetry(ctx: GatewayContext, job: Job): boolean {
	const { request } = job
	if (job.signal.aborted) return false
	if (job.mayHaveRun && !request.repeatable) return false
	const runs = job.sends - job.refusedSends
	if (runs >= request.route.maxAttempts) return false
	// To try a group that forms is to wait for it, and that has its own limit.
	const refused = job.refusedSends - job.groupRefusals
	if (refused > MAX_REFUSED_SENDS) return false
	return takeRetry(
		retryWindowOf(ctx, job.service),
		ctx.settings.retries,
		ctx.entryCount,
		readNow(),
	)
}

/** The retry window of a service. */
export function retryWindowOf(ctx: GatewayContext, service: string) {
	const known = ctx.retries.get(service)
	if (known) return known
	const window = createRetryWindow()
	ctx.retries.set(service, window)
	return window
}
