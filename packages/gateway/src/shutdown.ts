/**
 * Stops an entry gracefully. Whatever it reads meanwhile is served completely or refused
 * at once; it exits after the last response.
 */

import type { Server } from 'node:http'
import type { Socket } from 'node:net'
import {
	actOnAll,
	closeIdle,
	countUndelivered,
	describeFault,
	faults,
	listOverdue,
	listPartial,
	readElapsed,
	sleep,
	stopAccepting,
	stopRpc,
} from '@juniperhook/runtime'
import { refuseUnread } from './callerListener.ts'
import type { GatewayContext } from './context.ts'
import { canEndBeforeExit } from './shutdownGate.ts'

/**
 * Delay between failing readiness and closing connections, ms: the load balancer needs
 * two failed health checks, 1 s apart, to stop sending.
 */
const BALANCER_DELAY_MS = 2_500
/** Time before SIGKILL at which the requests still open are ended, ms. */
const END_BEFORE_KILL_MS = 500
const CHECK_INTERVAL_MS = 50
/** Time for the last responses to be flushed, ms; part of END_BEFORE_KILL_MS. */
const FLUSH_MS = 150

/** Stops the entry on SIGTERM; further signals have no effect. */
export function stopOnSignal(ctx: GatewayContext, callers: Server): void {
	process.on('SIGTERM', () => {
		if (ctx.shutdown) ctx.log.write('stop signal repeated')
		else void stopGateway(ctx, callers)
	})
}

async function stopGateway(
	ctx: GatewayContext,
	callers: Server,
): Promise<void> {
	const { stopMs } = ctx.settings
	const startedAt = readElapsed()
	const drainMs = Math.min(BALANCER_DELAY_MS, stopMs / 2)
	const endMs = stopMs - END_BEFORE_KILL_MS
	const drainedAt = startedAt + drainMs
	const endAt = startedAt + endMs
	ctx.shutdown = { drainedAt, endAt }
	ctx.log.write('stop begun', { open: ctx.openRequests, drainMs, endMs })
	// Before SIGKILL, whatever else the stop waits for.
	setTimeout(() => process.exit(0), stopMs - FLUSH_MS)
	const refuseWaiting = setInterval(() => refuseLate(ctx), CHECK_INTERVAL_MS)
	await sleep(drainMs)
	stopAccepting(callers)
	let hasIdle = false
	do {
		runSafely(ctx, () => {
			hasIdle = closeIdle(ctx.connections)
		})
		runSafely(ctx, () =>
			actOnAll(listOverdue(ctx.connections), socket =>
				refuseUnfinished(ctx, socket),
			),
		)
		await sleep(CHECK_INTERVAL_MS)
	} while ((hasIdle || hasOpenRequests(ctx)) && readElapsed() < endAt)
	clearInterval(refuseWaiting)
	if (hasOpenRequests(ctx)) await endOpenRequests(ctx)
	await Promise.race([endOperatorCalls(ctx), sleep(FLUSH_MS)])
	ctx.log.write('stopped', {
		open: ctx.openRequests,
		tookMs: Math.round(readElapsed() - startedAt),
	})
	await ctx.log.flush()
	process.exit(0)
}

/** Runs a part of the stop; one that throws must not keep the process from exiting. */
function runSafely(ctx: GatewayContext, part: () => void): void {
	try {
		part()
	} catch (err) {
		faults.count++
		ctx.log.write('internal fault', { detail: describeFault(err) })
	}
}

/** Answers the calls of operators and other processes that are in progress. */
async function endOperatorCalls(ctx: GatewayContext): Promise<void> {
	await stopRpc()
	while (countUndelivered(ctx.operatorConnections) > 0)
		await sleep(CHECK_INTERVAL_MS)
}

/** Refuses requests that wait to be sent and can no longer end in time. */
function refuseLate(ctx: GatewayContext): void {
	actOnAll([...ctx.cancelByRequest], ([request, cancel]) => {
		if (!canEndBeforeExit(ctx, request)) cancel('leaving')
	})
}

/** Whether responses have not been delivered, or requests not been read completely. */
function hasOpenRequests({
	openRequests,
	connections,
}: GatewayContext): boolean {
	return openRequests > 0 || listPartial(connections).length > 0
}

/** Refuses a request whose head does not arrive. */
function refuseUnfinished(ctx: GatewayContext, socket: Socket): void {
	if (!socket.writable) return
	ctx.log.write('unfinished request refused', { bytes: socket.bytesRead })
	refuseUnread(ctx, socket, 'entryLeaving')
}

/** Ends all open requests with a response, while there is time to send it. */
export async function endOpenRequests(ctx: GatewayContext): Promise<void> {
	ctx.log.write('open requests ended', { open: ctx.openRequests })
	runSafely(ctx, () =>
		actOnAll([...ctx.cancelByRequest.values()], cancel => cancel('timeout')),
	)
	runSafely(ctx, () =>
		actOnAll(ctx.requestsBeingRead, ({ refuse }) => refuse('entryLeaving')),
	)
	runSafely(ctx, () =>
		actOnAll(listPartial(ctx.connections), socket =>
			refuseUnfinished(ctx, socket),
		),
	)
	await sleep(FLUSH_MS)
}
