/** Stand-in for the platform's metadata store, and a proxy in front of it. */

import http from 'node:http'
import net from 'node:net'
import { listen, now, sleep } from './tools.mjs'

const ANSWER_MS = 4
const PAGE_ITEMS = 500

/** A linearizable store with ranges and watches, as PROTOCOL.md describes it. */
export class Store {
	items = new Map()
	events = []
	watches = new Set()
	revision = 100

	/** Starts to listen at `ip`. */
	async start(ip) {
		this.server = http.createServer((req, res) => this.handle(req, res))
		this.server.keepAliveTimeout = 60_000
		this.address = await listen(this.server, ip)
	}

	/** Writes a value; the return is its acknowledgement. */
	put(key, value) {
		this.revision++
		const known = this.items.get(key)
		const item = {
			tls_key: key,
			value: Buffer.from(JSON.stringify(value)).toString('base64'),
			revision: this.revision,
			created_rev: known?.created_rev ?? this.revision,
			lease: 0,
		}
		this.items.set(key, item)
		this.notify(item)
	}

	/** Removes a key; the return is its acknowledgement. */
	remove(key) {
		if (!this.items.delete(key)) return
		this.revision++
		this.notify({ tls_key: key, revision: this.revision, removed: true })
	}

	notify(event) {
		this.events.push(event)
		for (const wake of [...this.watches]) wake()
	}

	async handle(req, res) {
		const url = new URL(req.url, 'http://store')
		await sleep(ANSWER_MS)
		if (url.pathname === '/v1/kv-range') this.range(url.searchParams, res)
		else if (url.pathname === '/v1/kv-watch') this.watch(url.searchParams, res)
		else res.writeHead(404).end()
	}

	range(query, res) {
		const prefix = query.get('path_prefix') ?? ''
		const after = query.get('after_revision') ?? ''
		const keys = [...this.items.keys()]
			.filter(key => key.startsWith(prefix) && key > after)
			.sort()
		const page = keys.slice(0, PAGE_ITEMS)
		reply(res, {
			items: page.map(key => this.items.get(key)),
			truncated: page.length < keys.length,
			as_of: this.revision,
		})
	}

	watch(query, res) {
		const prefix = query.get('path_prefix') ?? ''
		const after = Number(query.get('after_revision'))
		const end = events => {
			clearTimeout(timer)
			this.watches.delete(wake)
			reply(res, { events, as_of: this.revision })
		}
		const wake = () => {
			const events = this.events.filter(
				one => one.revision > after && one.tls_key.startsWith(prefix),
			)
			if (events.length > 0) end(events)
		}
		const timer = setTimeout(() => end([]), Number(query.get('wait_ms')))
		res.on('close', () => {
			clearTimeout(timer)
			this.watches.delete(wake)
		})
		this.watches.add(wake)
		wake()
	}
}

function reply(res, body) {
	if (res.destroyed) return
	res.writeHead(200, { 'Content-Type': 'application/json' })
	res.end(JSON.stringify(body))
}

/** A TCP proxy whose open connections can go silent for good while new ones work. */
export class StoreProxy {
	open = new Set()

	/** Starts to listen at `ip` and to forward to `target`. */
	async start(ip, target) {
		const [host, port] = target.split(':')
		this.server = net.createServer(near => {
			const far = net.connect(Number(port), host)
			const link = { silent: false }
			const close = () => {
				this.open.delete(link)
				near.destroy()
				far.destroy()
			}
			link.close = close
			this.open.add(link)
			for (const [from, to] of [
				[near, far],
				[far, near],
			]) {
				from.on('data', data => {
					if (!link.silent && !to.destroyed) to.write(data)
				})
				from.on('error', () => {})
			}
			near.on('close', close)
			far.on('close', () => {
				if (!link.silent) close()
			})
		})
		this.address = await listen(this.server, ip)
	}

	/** Lets all open connections go silent; returns their number. */
	silenceOpen() {
		for (const link of this.open) link.silent = true
		this.silencedAt = now()
		return this.open.size
	}

	/** Closes the address and all its connections. */
	stop() {
		this.server.close()
		for (const link of this.open) link.close()
	}
}
