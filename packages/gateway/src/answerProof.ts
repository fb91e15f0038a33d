/** What answers prove about the server and the parts of a request's prompt. */

import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import {
	awaitCrashCheck,
	recordBrokenConnection,
	recordServerAlive,
} from './crashDetector.ts'
import { recordPartsServed, recordServed } from './crashEvidence.ts'
import type { CallerRequest } from './job.ts'
import type { Send } from './send.ts'
import { isServedSince } from './servedParts.ts'
import type { ServerAnswer } from './serverCall.ts'
import { endsWithConnection } from './serverCall.ts'

/**
 * Time since its first event and number of events after which a stream that goes on proves
 * that the parts of its prompt are sound, ms: a poison part crashes the server as it
 * begins to answer. A slow server takes long for each event.
 */
const STREAM_PROOF_MS = 1_000
const STREAM_PROOF_EVENTS = 4
/** How long a proof that took a probe of the server is not repeated, ms. */
const PROOF_INTERVAL_MS = 60_000

/**
 * Records a complete answer. Where its end was marked by the end of the connection, which
 * may have been the server's crash, only a probe proves that the server is alive.
 */
export function recordComplete(
	ctx: GatewayContext,
	send: Send,
	answer: ServerAnswer,
): void {
	const { request } = send.job
	const { status, message } = answer
	const isSuccess = status >= 200 && status < 300
	if (endsWithConnection(message) && needsProof(ctx, request)) {
		void recordIfAlive(ctx, send, isSuccess)
		return
	}
	recordProof(ctx, send, isSuccess)
}

/** Progress of the part of a stream that one server sends. */
export interface StreamProgress {
	events: number
	/** When the first event arrived, ms; undefined before that. */
	firstAt: number | undefined
	isProof: boolean
}

/** Creates the progress of a stream without events. */
export function createStreamProgress(): StreamProgress {
	return { events: 0, firstAt: undefined, isProof: false }
}

/** Records an event of a stream, which may prove that the parts of its prompt are sound. */
export function recordProgress(
	ctx: GatewayContext,
	request: CallerRequest,
	progress: StreamProgress,
	now: number,
): void {
	progress.events++
	progress.firstAt ??= now
	if (progress.isProof || progress.events < STREAM_PROOF_EVENTS) return
	if (now - progress.firstAt < STREAM_PROOF_MS) return
	progress.isProof = true
	recordPartsServed(ctx, request)
}

function recordProof(
	ctx: GatewayContext,
	{ job, server }: Send,
	isSuccess: boolean,
): void {
	recordServed(ctx, job.request)
	if (isSuccess) recordPartsServed(ctx, job.request)
	recordServerAlive(ctx, server.id)
}

/** Whether a part of a prompt has not been proved sound for some time. */
function needsProof(
	{ quarantineGate }: GatewayContext,
	{ sharedParts }: CallerRequest,
): boolean {
	const since = readElapsed() - PROOF_INTERVAL_MS
	return sharedParts.some(
		id => !isServedSince(quarantineGate.servedParts, id, since),
	)
}

async function recordIfAlive(
	ctx: GatewayContext,
	send: Send,
	isSuccess: boolean,
): Promise<void> {
	const { server } = send
	recordBrokenConnection(ctx, server)
	const { checks } = ctx.crashDetector
	if (!checks.has(server.id)) return
	await awaitCrashCheck(ctx, server.id)
	const hasCrashed = ctx.quarantineGate.quarantine.crashes.has(server.id)
	if (!hasCrashed && !checks.has(server.id)) recordProof(ctx, send, isSuccess)
}
