/** Reads responses to calls of this process, of bounded size. */

import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'
import { getHeapStatistics } from 'node:v8'
import {
	addPart,
	createPartCollector,
	estimateParsedBytes,
	joinParts,
} from '@juniperhook/core'

/** Maximum number of interim responses before a response. */
const MAX_INTERIM_RESPONSES = 16

/** Share of the heap that one parsed JSON text may take; several may exist at once. */
const MAX_HEAP_SHARE = 0.25
/** Size below which a JSON text takes little memory whatever it contains, bytes. */
const SMALL_JSON_BYTES = 32_768

/** Reason why a body is not received, or not parsed. */
export class BodyTooLargeError extends Error {}

/**
 * Parses a JSON text. Throws without parsing it if its values would take more than
 * `maxBytes` of this process's heap: the smallest ones take tens of times their text.
 */
export function parseLimitedJson(
	text: string | Buffer,
	maxBytes = MAX_HEAP_SHARE * getHeapStatistics().heap_size_limit,
): unknown {
	if (text.length > SMALL_JSON_BYTES) {
		const json = typeof text === 'string' ? Buffer.from(text) : text
		const bytes = estimateParsedBytes(json)
		if (bytes > maxBytes)
			throw new BodyTooLargeError(
				`${json.length} bytes of JSON would take ${bytes}, of ${Math.round(maxBytes)} allowed`,
			)
	}
	return JSON.parse(text.toString())
}

/** Destroys a call that is answered by interim responses without end. */
export function limitInterimResponses(req: ClientRequest): void {
	let count = 0
	req.on('information', () => {
		count++
		if (count > MAX_INTERIM_RESPONSES)
			req.destroy(new Error('too many interim responses'))
	})
}

/**
 * Collects a response's body and calls `onEnd` with it. The call is destroyed if the body
 * exceeds `maxBytes`; `onPart` gets the size of each part.
 */
export function collectBody(
	req: ClientRequest,
	res: IncomingMessage,
	maxBytes: number,
	onEnd: (body: Buffer) => void,
	onPart: (bytes: number) => void = () => {},
): void {
	const collector = createPartCollector()
	res.on('data', (part: Buffer) => {
		onPart(part.length)
		if (collector.bytes + part.length > maxBytes)
			req.destroy(
				new BodyTooLargeError(`response of more than ${maxBytes} bytes`),
			)
		else addPart(collector, part)
	})
	res.on('end', () => onEnd(joinParts(collector)))
}

/** Reads a body as JSON; rejects and closes the connection if it is too large. */
export async function readLimitedJson(
	body: Readable,
	maxBytes: number,
): Promise<unknown> {
	const collector = createPartCollector()
	for await (const part of body) {
		addPart(collector, part)
		// Leaving the loop destroys the body.
		if (collector.bytes > maxBytes)
			throw new Error(`more than ${maxBytes} bytes`)
	}
	return JSON.parse(joinParts(collector).toString('utf8'))
}
