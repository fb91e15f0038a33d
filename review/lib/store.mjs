/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */

import { createServer } from 'node:http'

export async function startStore(ip, port) {
	const items = new Map()
	const changes = []
	const waiting = new Set()
	let revision = 100
	const server = createServer((req, res) => {
		const url = new URL(req.url, 'http://store')
		const prefix = url.searchParams.get('path_prefix') ?? ''
		if (url.pathname === '/v1/kv-key') {
			const key = url.searchParams.get('tls_key')
			const item = items.get(key)
			reply(res, item ? 200 : 404, item && { ...item, as_of: revision })
		} else if (url.pathname === '/v1/kv-range') {
			const after = url.searchParams.get('after_revision') ?? ''
			const found = [...items.values()]
				.filter(one => one.tls_key.startsWith(prefix) && one.tls_key > after)
				.sort((a, b) => (a.tls_key < b.tls_key ? -1 : 1))
			reply(res, 200, { items: found, truncated: false, as_of: revision })
		} else if (url.pathname === '/v1/kv-watch') {
			const after = Number(url.searchParams.get('after_revision'))
			const waitMs = Number(url.searchParams.get('wait_ms'))
			const answer = isLast => {
				const events = changes.filter(
					one => one.revision > after && one.tls_key.startsWith(prefix),
				)
				if (events.length === 0 && !isLast) return
				waiting.delete(answer)
				clearTimeout(timer)
				reply(res, 200, { events, as_of: revision })
			}
			const timer = setTimeout(() => answer(true), waitMs)
			waiting.add(answer)
			answer(false)
		} else reply(res, 404)
	})
	server.keepAliveTimeout = 60_000
	await new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, ip, resolve)
	})
	return {
		server,
		/** Writes a value, or removes the key if there is none. */
		put(key, value) {
			revision++
			const event =
				value === undefined
					? { tls_key: key, revision, removed: true }
					: {
							tls_key: key,
							value: Buffer.from(JSON.stringify(value)).toString('base64'),
							revision,
							created_rev: items.get(key)?.created_rev ?? revision,
							lease: 0,
						}
			changes.push(event)
			if (value === undefined) items.delete(key)
			else items.set(key, event)
			for (const answer of [...waiting]) answer(false)
		},
	}
}

function reply(res, status, body) {
	const text = body === undefined ? '' : JSON.stringify(body)
	res.writeHead(status, {
		'Content-Type': 'application/json',
		'Content-Length': Buffer.byteLength(text),
	})
	res.end(text)
}
