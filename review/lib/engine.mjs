/**
 * Stand-ins for engines, as PROTOCOL.md describes them. A model engine is a rank of one
 * group: it streams events with rising ids, and answers the agent on its machine; its
 * counts stay so low that no map is planned.
 */

import { createServer } from 'node:http'

/** Starts an engine; `behaviour` gives the number of events and the time between two. */
export async function startEngine({ id, ip, port, rank, size }, behaviour) {
	const runs = []
	const server = createServer((req, res) => {
		req.resume()
		req.on('end', () => handle(req, res))
	})
	const handle = (req, res) => {
		const path = req.url.split('?')[0]
		if (path === '/v1/report') return answerJson(res, report(rank, size))
		if (path === '/v1/picked') return answerJson(res, picked(req.url))
		if (path === '/v1/order') return res.writeHead(409).end()
		if (path === '/health')
			return res
				.writeHead(200, { 'X-Instance-Id': id, 'X-Engine-Load': '0,0,8' })
				.end()
		const expected = req.headers['x-expect-instance']
		if (expected !== undefined && expected !== id)
			return res.writeHead(421, { 'X-Instance-Id': id }).end()
		void run(req, res)
	}
	const run = async (req, res) => {
		const attempt = String(req.headers['x-attempt-id'])
		const one = { attempt, engine: id, sent: 0, end: 'running' }
		runs.push(one)
		behaviour.onRun?.(one, req)
		res.on('close', () => {
			if (one.end === 'running') one.end = 'its caller closed the connection'
			behaviour.onEnd?.(one)
		})
		const { events, eventMs } = behaviour
		const from = Number(req.headers['last-event-id'] ?? 0) + 1
		await pause(eventMs)
		if (behaviour.spoil?.(one, res)) return
		res.writeHead(200, {
			'Content-Type': 'text/event-stream',
			'X-Attempt-Id': attempt,
			'X-Server-Seal': sealOf(id, attempt),
			'X-Weight-Versions': '1',
		})
		for (let event = from; event <= events; event++) {
			if (res.destroyed) return
			res.write(eventText(attempt, event))
			one.sent = event
			await pause(eventMs)
			if (behaviour.breakOff?.(one, res)) return
		}
		if (res.destroyed) return
		one.end = 'complete'
		res.end()
	}
	server.keepAliveTimeout = 20_000
	await new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, ip, resolve)
	})
	return { id, ip, port, rank, server, runs }
}

export const sealOf = (id, attempt) => `seal.${id}.${attempt}`

export const eventText = (attempt, event) =>
	`id: ${event}\ndata: ${attempt} piece ${event}\n\n`

const pause = ms => new Promise(resolve => setTimeout(resolve, ms))

function report(rank, size) {
	return {
		stage: 'both',
		models: [{ name: 'm', config_version: 1, adapters: [] }],
		busy: false,
		sequence: 0,
		queued: 0,
		running: 0,
		kv_used: 0,
		kv_total: 248_000,
		handles: 0,
		group: { name: 'g-1', epoch: 1, rank, phase: 'open' },
		size,
		step: 10,
		map: 0,
		prepared: null,
		armed: null,
		held: null,
		pace: 1,
	}
}

function picked(url) {
	if (url.includes('lists'))
		return {
			step: 10,
			epoch: 1,
			map: { config_version: 0, experts: [[], [], [], []] },
			prepared: null,
		}
	const counts = Array.from({ length: 4 * 64 }, () => 1)
	return { step: 10, epoch: 1, counts }
}

function answerJson(res, body) {
	const text = JSON.stringify(body)
	res.writeHead(200, {
		'Content-Type': 'application/json',
		'Content-Length': Buffer.byteLength(text),
	})
	res.end(text)
}
