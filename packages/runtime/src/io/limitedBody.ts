/** Reads responses to calls of this process, of bounded size. */

import type { ClientRequest, IncomingMessage } from 'node:http'
import type { Readable } from 'node:stream'

/** Maximum number of interim responses before a response. */
const MAX_INTERIM_RESPONSES = 16

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
	onEnd: (body: string) => void,
	onPart: (bytes: number) => void = () => {},
): void {
	const parts: Buffer[] = []
	let bytes = 0
	res.on('data', (part: Buffer) => {
		bytes += part.length
		onPart(part.length)
		if (bytes > maxBytes) {
			parts.length = 0
			req.destroy(new Error(`response of more than ${maxBytes} bytes`))
		} else parts.push(part)
	})
	res.on('end', () => onEnd(Buffer.concat(parts).toString('utf8')))
}

/** Reads a body as JSON; rejects and closes the connection if it is too large. */
export async function readLimitedJson(
	body: Readable,
	maxBytes: number,
): Promise<unknown> {
	const parts: Buffer[] = []
	let bytes = 0
	for await (const part of body) {
		bytes += part.length
		// Leaving the loop destroys the body.
		if (bytes > maxBytes) throw new Error(`more than ${maxBytes} bytes`)
		parts.push(part)
	}
	return JSON.parse(Buffer.concat(parts).toString('utf8'))
}
