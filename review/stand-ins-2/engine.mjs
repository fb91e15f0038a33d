/** Stand-in for an application engine that runs plain requests. */

import http from 'node:http'
import { between, listen, randomHex, sleep } from './tools.mjs'

const QUEUE = 24

/** One incarnation of an engine. */
export class Engine {
	id = `i-${randomHex(4)}`
	/** Requests that arrived, with what became of them. */
	arrivals = []
	running = 0
	sockets = new Set()
	ended = false

	constructor(deployment, ip, { service, slots, workMs, coldMs = 0, maxPerS }) {
		Object.assign(this, { deployment, ip, service, slots, workMs, coldMs })
		/** Arrivals within a second from which it falls over while cold. */
		this.maxPerS = maxPerS
	}

	async start() {
		this.server = http.createServer((req, res) => this.handle(req, res))
		this.server.on('connection', socket => {
			this.sockets.add(socket)
			socket.on('close', () => this.sockets.delete(socket))
			socket.on('error', () => {})
		})
		this.address = await listen(this.server, this.ip)
	}

	/** Records itself in the store as ready. */
	enter() {
		const { deployment } = this
		this.coldUntil = deployment.elapsed() + this.coldMs
		deployment.store.put(`servers/${this.id}`, {
			service: this.service,
			address: this.address,
			zone: deployment.zone,
			config_version: 'v1',
			slots: this.slots,
			phase: 'ready',
			cold_remaining_ms: this.coldMs,
			sequence: 1,
		})
		deployment.note(`engine ${this.id} entered at ${this.address}`)
	}

	/** Leaves the list without having stated `draining`, and serves on. */
	leaveList() {
		this.deployment.store.remove(`servers/${this.id}`)
		this.leftAt = this.deployment.elapsed()
		this.deployment.note(`engine ${this.id} left the list, acknowledged`)
	}

	/** Ends: what it still runs is cut. */
	end(reason) {
		if (this.ended) return
		this.ended = true
		this.endedAt = this.deployment.elapsed()
		this.deployment.note(`engine ${this.id} ended: ${reason}`)
		for (const socket of this.sockets) socket.resetAndDestroy()
		this.server.close()
	}

	isCold() {
		return this.deployment.elapsed() < this.coldUntil
	}

	async handle(req, res) {
		const { headers, method, url } = req
		const id = headers['x-attempt-id']
		const shared = {
			'X-Attempt-Id': id,
			'X-Engine-Load': `${this.running},0,${this.slots}`,
		}
		const refuse = (status, more) => {
			res.writeHead(status, { ...shared, ...more, 'Content-Length': 0 })
			res.end()
		}
		req.on('error', () => {})
		res.on('error', () => {})
		if (headers['x-expect-instance'] !== this.id) {
			refuse(421, { 'X-Instance-Id': this.id })
			return
		}
		const arrival = { id, method, url, at: this.deployment.elapsed() }
		this.arrivals.push(arrival)
		req.resume()
		if (this.running >= this.slots + QUEUE) {
			refuse(503, { 'X-Not-Executed': '1' })
			return
		}
		arrival.ran = true
		this.running++
		if (this.maxPerS !== undefined && this.isCold() && this.isOverrun()) {
			this.fellOver = true
			this.end(`over ${this.maxPerS} requests within a second while cold`)
			return
		}
		await sleep(between(...this.workMs))
		this.running--
		if (this.ended || res.destroyed) return
		arrival.doneAt = this.deployment.elapsed()
		const body = `answer to ${id} by ${this.id}\n`
		res.writeHead(200, {
			...shared,
			'X-Server-Seal': `seal-${id}`,
			'Content-Length': body.length,
		})
		res.end(body)
	}

	isOverrun() {
		const since = this.deployment.elapsed() - 1_000
		return this.arrivals.filter(one => one.at > since).length > this.maxPerS
	}
}
