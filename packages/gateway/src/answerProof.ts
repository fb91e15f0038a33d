/** What answers prove about the server and the parts of a request's prompt. */

import type { IncomingMessage } from 'node:http'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import {
	awaitCrashCheck,
	recordBrokenConnection,
	recordServerAlive,
} from './crashDetector.ts'
import type { CallerRequest } from './job.ts'
import { recordPartsServed, recordServed } from './quarantineGate.ts'
import type { Send } from './send.ts'
import { isServedSince } from './servedParts.ts'
import type { ServerAnswer } from './serverCall.ts'

/**
 * How long after its first event a stream that goes on proves that the parts of its prompt
 * are sound, ms: a poison part crashes the server as it begins to answer.
 */
export const STREAM_PROOF_MS = 1_000
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

function recordProof(
	ctx: GatewayContext,
	{ job, server }: Send,
	isSuccess: boolean,
): void {
	recordServed(ctx, job.request)
	if (isSuccess) recordPartsServed(ctx, job.request)
	recordServerAlive(ctx, server.id)
}

/** Whether the end of a response's body is the end of its connection. */
function endsWithConnection({ headers }: IncomingMessage): boolean {
	return (
		headers['content-length'] === undefined &&
		headers['transfer-encoding'] === undefined
	)
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
