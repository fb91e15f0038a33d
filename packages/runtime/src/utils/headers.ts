/** HTTP headers that concern one connection only and are never passed on. */

import type { IncomingHttpHeaders } from 'node:http'

const HOP_HEADERS = new Set([
	'connection',
	'content-length',
	'expect',
	'host',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
])

/** The end-to-end headers of a message. */
export function removeHopByHopHeaders(
	headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
	const kept: Record<string, string | string[]> = {}
	const named = listConnectionHeaders(headers)
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || HOP_HEADERS.has(name)) continue
		if (named.has(name)) continue
		kept[name] = value
	}
	return kept
}

function listConnectionHeaders(headers: IncomingHttpHeaders): Set<string> {
	const names = headers.connection?.toLowerCase().split(/[\s,]+/) ?? []
	return new Set(names)
}
