/**
 * Fake of a group of model engines in lock-step, with one listener per rank. Ranks use
 * continuous batching: each step produces one token of every running request and lasts as
 * long as the slowest rank needs.
 */

import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { GroupModel } from './groupModel.ts'
import { advanceModel, crashRank, stepTimeOf } from './groupModel.ts'
import { executeOrder } from './orders.ts'
import { readBody } from './readBody.ts'

const MAX_BYTES = 10_485_760
const DEFAULT_TOKENS = 24
const MAX_KNOWN_REQUESTS = 500

/** A request at one rank. */
interface EngineRequest {
	readonly id: string
	readonly events: string[]
	readonly maxTokens: number
	readonly priority: number
	readonly listeners: Set<() => void>
	ended: boolean
}

/** One rank's engine. */
export interface RankEngine {
	readonly rank: number
	readonly running: EngineRequest[]
	readonly waiting: EngineRequest[]
	/** Requests by id, including ended ones that may still be resumed. */
	readonly known: Map<string, EngineRequest>
	cancelled: number
}

/** A fake group. */
export interface FakeGroup {
	readonly model: GroupModel
	readonly ranks: RankEngine[]
	readonly slots: number
	/** Factor on step times; tests use less than 1 to run faster. */
	readonly timeFactor: number
	stopped: boolean
}

/** Creates a group of idle ranks. */
export function createFakeGroup(
	model: GroupModel,
	slots: number,
	timeFactor = 1,
): FakeGroup {
	const ranks = model.ranks.map((_, rank) => ({
		rank,
		running: [],
		waiting: [],
		known: new Map<string, EngineRequest>(),
		cancelled: 0,
	}))
	return { model, ranks, slots, timeFactor, stopped: false }
}

/** Runs steps until the group is stopped. */
export async function runGroup(group: FakeGroup): Promise<void> {
	while (!group.stopped) {
		const started = performance.now()
		const batch = group.ranks.map(startWaiting(group))
		const moved = advanceModel(group.model, batch)
		if (moved) for (const rank of group.ranks) emitTokens(rank)
		const stepMs = stepTimeOf(group.model) * group.timeFactor
		const remainingMs = stepMs - (performance.now() - started)
		await new Promise(resolve => setTimeout(resolve, Math.max(1, remainingMs)))
	}
}

/** Serves one rank over HTTP. */
export function serveRank(
	group: FakeGroup,
	rank: number,
	ip: string,
	port: number,
): Promise<Server> {
	const engine = group.ranks[rank]!
	const server = createServer(async (req, res) => {
		const url = new URL(req.url ?? '/', 'http://engine')
		const parts = url.pathname.split('/')
		const body = await readBody(req, MAX_BYTES)
		const text = String(body ?? '')
		if (url.pathname === '/admin/crash') {
			crashRank(group.model, rank)
			res.end()
		} else if (url.pathname === '/admin/stall') {
			const until = Date.now() + Number(url.searchParams.get('ms') ?? 0)
			group.model.ranks[rank]!.stalledUntil = until
			res.end()
		} else if (url.pathname === '/load') {
			res.end(JSON.stringify(describeLoad(group, engine)))
		} else if (url.pathname === '/orders') {
			const reply = await executeOrder(group.model, rank, JSON.parse(text))
			res.end(JSON.stringify(reply))
		} else if (parts[2] === 'requests' && req.method === 'DELETE') {
			cancel(engine, decodeURIComponent(parts[3] ?? ''))
			res.end()
		} else if (parts[2] === 'requests') {
			const request = engine.known.get(decodeURIComponent(parts[3] ?? ''))
			if (!request) {
				res.writeHead(404).end()
				return
			}
			stream(res, request, Number(url.searchParams.get('from') ?? 0))
		} else {
			generate(engine, req, JSON.parse(text), res)
		}
	})
	server.keepAliveTimeout = 60_000
	return new Promise(resolve => {
		server.listen(port, ip, () => resolve(server))
	})
}

/** Creates a function that starts a rank's waiting requests; it returns the batch size. */
function startWaiting(group: FakeGroup): (rank: RankEngine) => number {
	return rank => {
		while (rank.running.length < group.slots) {
			const next = rank.waiting.shift()
			if (!next) break
			rank.running.push(next)
		}
		return rank.running.length
	}
}

function emitTokens(rank: RankEngine): void {
	for (const request of [...rank.running]) {
		const at = request.events.length
		const delta = { content: `t${at} ` }
		const choices = [{ index: 0, delta, text: delta.content }]
		request.events.push(JSON.stringify({ id: request.id, choices }))
		if (request.events.length >= request.maxTokens) finish(rank, request)
		for (const listener of request.listeners) listener()
	}
}

function finish(rank: RankEngine, request: EngineRequest): void {
	if (request.ended) return
	request.events.push('[DONE]')
	request.ended = true
	remove(rank.running, request)
	remove(rank.waiting, request)
	if (rank.known.size <= MAX_KNOWN_REQUESTS) return
	for (const [id, old] of rank.known) {
		if (!old.ended) continue
		rank.known.delete(id)
		break
	}
}

function cancel(rank: RankEngine, id: string): void {
	const request = rank.known.get(id)
	if (!request || request.ended) return
	rank.cancelled++
	finish(rank, request)
	for (const listener of request.listeners) listener()
}

function generate(
	rank: RankEngine,
	req: IncomingMessage,
	params: { max_tokens?: number; stream?: boolean; model?: string },
	res: import('node:http').ServerResponse,
): void {
	const request: EngineRequest = {
		id: String(req.headers['x-request-id'] ?? Math.random()),
		events: [],
		maxTokens: params.max_tokens ?? DEFAULT_TOKENS,
		priority: Number(req.headers['x-priority'] ?? 5),
		listeners: new Set(),
		ended: false,
	}
	rank.known.set(request.id, request)
	const at = rank.waiting.findIndex(old => old.priority > request.priority)
	rank.waiting.splice(at < 0 ? rank.waiting.length : at, 0, request)
	if (params.stream) stream(res, request, 0)
	else collect(res, request, params.model ?? '')
}

function stream(
	res: import('node:http').ServerResponse,
	request: EngineRequest,
	from: number,
): void {
	res.writeHead(200, { 'content-type': 'text/event-stream' })
	res.flushHeaders()
	let next = from
	const send = () => {
		let text = ''
		for (; next < request.events.length; next++)
			text += `id: ${next}\ndata: ${request.events[next]}\n\n`
		if (text !== '') res.write(text)
		if (!request.ended) return
		request.listeners.delete(send)
		res.end()
	}
	request.listeners.add(send)
	res.on('close', () => request.listeners.delete(send))
	send()
}

function collect(
	res: import('node:http').ServerResponse,
	request: EngineRequest,
	model: string,
): void {
	const send = () => {
		if (!request.ended) return
		request.listeners.delete(send)
		const tokens = request.events.length - 1
		const content = Array.from({ length: tokens }, (_, at) => `t${at} `).join(
			'',
		)
		const message = { role: 'assistant', content }
		const choices = [{ index: 0, message, text: content }]
		const usage = { completion_tokens: tokens }
		res.writeHead(200, { 'content-type': 'application/json' })
		res.end(JSON.stringify({ id: request.id, model, choices, usage }))
	}
	request.listeners.add(send)
}

function describeLoad(group: FakeGroup, engine: RankEngine): object {
	const { model } = group
	const state = model.ranks[engine.rank]!
	const { protocol } = state
	return {
		running: engine.running.length,
		waiting: engine.waiting.length,
		cancelled: engine.cancelled,
		incarnation: protocol.incarnation,
		joined: protocol.joined,
		generation: state.lastGeneration,
		step: protocol.step,
		mapId: protocol.mapId,
		mapSince: state.mapSince,
		nextMapId: protocol.committed?.mapId ?? protocol.mapId,
		fence: protocol.committed?.fence ?? 0,
		inDoubt: protocol.promised !== undefined,
		stepMs: state.stepMs,
		groupStepMs: model.stepMs,
		meanStepMs: model.meanStepMs,
		skew: model.meanSkew,
		violations: model.violations,
		switches: model.switches,
		ranks: model.ranks.length,
		gateMs: model.gateMs,
		slots: state.slots,
		tokens: [...state.tokens],
	}
}

function remove<T>(list: T[], item: T): void {
	const at = list.indexOf(item)
	if (at >= 0) list.splice(at, 1)
}
