/**
 * Receives the bodies of requests, of bounded size each and together. A body is received
 * from the moment its head has arrived, also while its request waits for earlier ones.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type {
	ByteBudget,
	ByteHold,
	ErrorKind,
	PartCollector,
} from '@juniperhook/core'
import {
	addPart,
	closeHold,
	completeHold,
	createByteBudget,
	createPartCollector,
	growHold,
	joinParts,
	openHold,
	receivedLimitBytes,
} from '@juniperhook/core'

/** Time for the rest of a request that is refused before it was read, ms. */
const MAX_LINGER_MS = 1_000

/** Whether a request announces a body. */
export function hasBody({ headers }: IncomingMessage): boolean {
	const length = headers['content-length']
	const isEmpty = length === undefined || Number(length) === 0
	return headers['transfer-encoding'] !== undefined || !isEmpty
}

/** What a listener receives of bodies. */
export interface BodyLimits {
	/** Maximum size of one body, bytes. */
	readonly maxBytes: number
	/** Memory of all of them, until their responses have been delivered. */
	readonly budget: ByteBudget
}

/** Returns the limits of a listener of a process with this memory. */
export function createBodyLimits(
	maxBytes: number,
	memoryMb: number,
): BodyLimits {
	return { maxBytes, budget: createByteBudget(receivedLimitBytes(memoryMb)) }
}

/** How a body ended. */
export type BodyEnd =
	| { readonly kind: 'complete'; readonly bytes: Buffer }
	| { readonly kind: 'refused'; readonly error: ErrorKind }
	/** The connection closed before the body was complete. */
	| { readonly kind: 'disconnected' }

/** A body that is being received. */
export interface RequestBody {
	readonly ended: Promise<BodyEnd>
	/** Maximum size, bytes. */
	readonly maxBytes: number
	/** Receives no more of it; without effect once it has ended. */
	refuse(error: ErrorKind): void
}

/** State of a body that is being received. */
interface Reception {
	readonly limits: BodyLimits
	/** Undefined once it has ended. */
	collector: PartCollector | undefined
	/** Undefined until it has taken memory. */
	hold: ByteHold | undefined
	settle(end: BodyEnd): void
}

/**
 * Receives the body of a request. What it takes is held until the response is closed;
 * `onPart` gets the memory taken for each part, and returns false to refuse the body.
 */
export function receiveBody(
	req: IncomingMessage,
	res: ServerResponse,
	limits: BodyLimits,
	onPart: (growth: number) => boolean = () => true,
): RequestBody {
	const reception: Reception = {
		limits,
		collector: createPartCollector(),
		hold: undefined,
		settle: () => {},
	}
	const ended = new Promise<BodyEnd>(resolve => {
		reception.settle = resolve
	})
	const refuse = (error: ErrorKind) => refuseBody(reception, error)
	const disconnect = () => endBody(reception, { kind: 'disconnected' })
	req.on('data', (part: Buffer) => {
		const growth = takePart(reception, part, res)
		if (growth !== undefined && !onPart(growth)) refuse('memoryShort')
	})
	req.on('end', () => completeBody(reception))
	req.on('error', disconnect)
	req.on('close', disconnect)
	const length = Number(req.headers['content-length'] ?? 0)
	if (length > limits.maxBytes) refuse('tooLarge')
	return { ended, maxBytes: limits.maxBytes, refuse }
}

/** Takes a part; returns the memory taken for it, undefined if it is not taken. */
function takePart(
	reception: Reception,
	part: Buffer,
	res: ServerResponse,
): number | undefined {
	const { collector, limits } = reception
	if (!collector) return undefined
	if (collector.bytes + part.length > limits.maxBytes) {
		refuseBody(reception, 'tooLarge')
		return undefined
	}
	const growth = addPart(collector, part)
	// Most requests have no body.
	reception.hold ??= openBody(reception, res)
	growHold(limits.budget, reception.hold, growth)
	return growth
}

function openBody(reception: Reception, res: ServerResponse): ByteHold {
	const { budget } = reception.limits
	const hold = openHold(budget, () => refuseBody(reception, 'memoryShort'))
	res.once('close', () => closeHold(budget, hold))
	return hold
}

function completeBody(reception: Reception): void {
	const { collector, hold } = reception
	if (!collector) return
	if (hold) completeHold(hold)
	endBody(reception, { kind: 'complete', bytes: joinParts(collector) })
}

function refuseBody(reception: Reception, error: ErrorKind): void {
	const { collector, hold, limits } = reception
	if (!collector) return
	if (hold) closeHold(limits.budget, hold)
	endBody(reception, { kind: 'refused', error })
}

function endBody(reception: Reception, end: BodyEnd): void {
	reception.collector = undefined
	reception.settle(end)
}

/**
 * Writes the last part of a response at once, but ends the response after the rest of its
 * request has arrived: a connection that is closed with unread bytes is reset, and the
 * response lost with it.
 */
export function endAfterRequest(res: ServerResponse, body: string): void {
	const { req } = res
	if (req.complete) {
		res.end(body)
		return
	}
	const end = () => {
		clearTimeout(timer)
		res.end()
	}
	const timer = setTimeout(end, MAX_LINGER_MS)
	res.write(body)
	req.once('end', end)
	req.once('close', end)
	req.resume()
}
