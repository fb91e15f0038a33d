/** Hop-by-hop HTTP headers, which concern one connection only and are not forwarded. */

import type { IncomingHttpHeaders } from 'node:http'

const HOP_BY_HOP_HEADERS = new Set([
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

/** Returns a message's end-to-end headers. */
export function removeHopByHopHeaders(
	headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
	const endToEnd: Record<string, string | string[]> = {}
	const named = listConnectionHeaders(headers)
	for (const [name, value] of Object.entries(headers)) {
		if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue
		if (named.has(name)) continue
		endToEnd[name] = value
	}
	return endToEnd
}

function listConnectionHeaders(headers: IncomingHttpHeaders): Set<string> {
	const names = headers.connection?.toLowerCase().split(/[\s,]+/) ?? []
	return new Set(names)
}
