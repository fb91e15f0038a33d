/**
 * Detects suspensions of the VM and corrects their effects: during a suspension timers
 * stop and connections stay open, so timeouts fire late and state is older than it seems.
 */

import { readElapsed, readSuspendedMs } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'

/**
 * Delay after a suspension before overdue requests are ended, ms. Responses that have
 * arrived are read during it, and if the time of day was only set forward, most requests
 * end normally.
 */
const OVERDUE_GRACE_MS = 500

/** Checks for a suspension since the last check and handles it. */
export function checkSuspension(ctx: GatewayContext): void {
	const { suspension } = ctx
	const suspendedMs = readSuspendedMs() - suspension.observedMs
	if (suspendedMs <= 0) return
	suspension.observedMs += suspendedMs
	ctx.log.write('clocks parted', {
		forMs: Math.round(suspendedMs),
		open: ctx.openRequests,
	})
	setTimeout(() => endOverdue(ctx), OVERDUE_GRACE_MS).unref()
	for (const resume of [...suspension.resumeListeners]) resume()
}

/** Ends requests whose timeout passed during the suspension; their timers run late. */
function endOverdue(ctx: GatewayContext): void {
	const now = readElapsed()
	for (const [request, cancel] of [...ctx.cancelByRequest])
		if (now >= request.timeoutAt) cancel('timeout')
}

/** Resolves to `wait`, or early to `instead` when a suspension is detected meanwhile. */
export function unlessSuspended<T>(
	{ suspension }: GatewayContext,
	wait: Promise<T>,
	instead: T,
): Promise<T> {
	return new Promise((resolve, reject) => {
		const resume = () => {
			suspension.resumeListeners.delete(resume)
			resolve(instead)
		}
		suspension.resumeListeners.add(resume)
		wait
			.then(resolve, reject)
			.finally(() => suspension.resumeListeners.delete(resume))
	})
}
