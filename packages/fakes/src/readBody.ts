/** Reads bodies of requests to the fakes. */

import type { IncomingMessage } from 'node:http'
import { addPart, createPartCollector, joinParts } from '@juniperhook/core'

/** Reads a body; returns `undefined` if it exceeds `limit` bytes. */
export async function readBody(
	req: IncomingMessage,
	limit: number,
): Promise<Buffer | undefined> {
	const collector = createPartCollector()
	for await (const part of req) {
		addPart(collector, part)
		if (collector.bytes > limit) return undefined
	}
	return joinParts(collector)
}
