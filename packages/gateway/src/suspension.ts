/**
 * What an entry does when its VM was suspended: its timers and its open connections do
 * not know, and what it believes is older than they say.
 */

import { readElapsed, readSuspendedMs } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'

/**
 * After waking, ms: what is under way and only seems overdue, as the time of day was
 * set ahead, mostly ends by itself meanwhile; answers that came are read.
 */
const OVERDUE_GRACE_MS = 500

/** Looks whether the VM was suspended since the last look, and does what follows. */
export function checkSuspension(ctx: GatewayContext): void {
	const { suspension } = ctx
	const forMs = readSuspendedMs() - suspension.observedMs
	if (forMs <= 0) return
	suspension.observedMs += forMs
	ctx.log.write('clocks parted', {
		forMs: Math.round(forMs),
		open: ctx.openRequests,
	})
	setTimeout(() => endOverdue(ctx), OVERDUE_GRACE_MS).unref()
	for (const wake of [...suspension.resumeListeners]) wake()
}

/** Timers of requests that were open have that much left too long. */
function endOverdue(ctx: GatewayContext): void {
	const now = readElapsed()
	for (const [request, giveUp] of [...ctx.cancelByRequest])
		if (now >= request.timeoutAt) giveUp('timeOver')
}

/** Ends a wait early, with `instead`, when the VM has been suspended meanwhile. */
export function unlessSuspended<T>(
	{ suspension }: GatewayContext,
	wait: Promise<T>,
	instead: T,
): Promise<T> {
	return new Promise((resolve, reject) => {
		const wake = () => {
			suspension.resumeListeners.delete(wake)
			resolve(instead)
		}
		suspension.resumeListeners.add(wake)
		wait
			.then(resolve, reject)
			.finally(() => suspension.resumeListeners.delete(wake))
	})
}
