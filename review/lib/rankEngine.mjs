/**
 * Stand-ins for the model engines of one lock-step group, as PROTOCOL.md describes them:
 * they run streams in passes that all ranks make together, report to the agent beside
 * them, and take its orders (`prepare`, `arm`, `disarm`, `hold`, `go`) with fences.
 */

import { createServer } from 'node:net'
import { eventText, sealOf } from './engine.mjs'

const SETS = 4
const EXPERTS = 64
const SPARE = 2
/** Experts that a token is sent to, in each set. */
const CHOSEN = 8
const EXPERT_SHARE = 0.85
/** The service's figures on the sheet, ms. */
const STEP_MS = 5.85
const PER_SEQ_MS = 0.5325
const STRIDE = 5
const COPY_MS = (880 * 8) / 180
const COPY_FACTOR = 1.15
const SLOTS = 8
/** An order that got no answer is carried out so much later, ms. */
const LATE_MS = [2_000, 12_000]
/** A second answer follows the whole one so much later, ms. */
const SECOND_MS = [1, 9]

/**
 * Creates a group without ranks. `behaviour.twice` is the share of the whole answers to
 * agents that are sent twice, `behaviour.late` that of the orders that get no answer and
 * are carried out late.
 */
export function createGroup(record, behaviour) {
	const group = {
		record,
		behaviour,
		epoch: 1,
		step: 10,
		ranks: [],
		weights: drawWeights(),
		isStopped: false,
		/** Passes that began while two ranks had different maps. */
		broken: [],
		adopted: 0,
		secondAnswers: 0,
		lateOrders: 0,
	}
	return group
}

/** Starts the engine of a rank. */
export async function startRank(group, { id, ip, port, rank, size }) {
	const own = {
		id,
		rank,
		size,
		map: 0,
		experts: dealInTurn(rank, size),
		prepared: undefined,
		copying: undefined,
		armed: undefined,
		held: undefined,
		fence: 0,
		highest: 0,
		sequence: 0,
		counts: new Array(SETS * EXPERTS).fill(0),
		streams: new Set(),
	}
	group.ranks[rank] = own
	const runs = []
	const sockets = new Set()
	const server = createServer(socket => {
		sockets.add(socket)
		socket.setNoDelay(true)
		socket.on('error', () => {})
		socket.on('close', () => sockets.delete(socket))
		readRequests(socket, request => handle(group, own, runs, socket, request))
	})
	server.closeAllConnections = () => {
		for (const socket of sockets) socket.destroy()
	}
	await new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, ip, resolve)
	})
	return { id, ip, port, rank, server, runs }
}

/** Reads the requests on a connection; their bodies have a length. */
function readRequests(socket, onRequest) {
	let bytes = Buffer.alloc(0)
	socket.on('data', data => {
		bytes = Buffer.concat([bytes, data])
		for (;;) {
			const headEnd = bytes.indexOf('\r\n\r\n')
			if (headEnd < 0) return
			const [first, ...lines] = bytes
				.subarray(0, headEnd)
				.toString('latin1')
				.split('\r\n')
			const headers = {}
			for (const line of lines) {
				const at = line.indexOf(':')
				headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim()
			}
			const end = headEnd + 4 + Number(headers['content-length'] ?? 0)
			if (bytes.length < end) return
			const body = bytes.subarray(headEnd + 4, end).toString()
			bytes = bytes.subarray(end)
			const [method, path] = first.split(' ')
			onRequest({ method, path, headers, body })
		}
	})
}

function handle(group, own, runs, socket, request) {
	const { path, headers } = request
	if (path === '/health')
		return write(
			socket,
			answer(200, '', {
				'X-Instance-Id': own.id,
				'X-Engine-Load': loadOf(own),
			}),
		)
	if (path === '/v1/order') return takeOrder(group, own, socket, request.body)
	if (path.startsWith('/v1/report'))
		return reply(group, own, socket, 'report', 200, report(group, own))
	if (path.startsWith('/v1/picked'))
		return reply(group, own, socket, 'picked', 200, picked(group, own, path))
	const expected = headers['x-expect-instance']
	if (expected !== undefined && expected !== own.id)
		return write(socket, answer(421, ''))
	run(own, runs, socket, headers)
}

/** Answers an agent; an engine that hands out wrong bytes sends some answers twice. */
function reply(group, own, socket, what, status, body) {
	const text = body === undefined ? '' : JSON.stringify(body)
	const bytes = answer(status, text)
	write(socket, bytes)
	if (Math.random() >= group.behaviour.twice) return
	group.secondAnswers++
	setTimeout(() => {
		group.record.note(`${own.id} sends its answer to ${what} again (${status})`)
		write(socket, bytes)
	}, between(SECOND_MS))
}

function takeOrder(group, own, socket, body) {
	const order = JSON.parse(body)
	const text = describe(own, order)
	if (Math.random() < group.behaviour.late) {
		const inMs = between(LATE_MS)
		group.lateOrders++
		group.record.note(`${text}: no answer, carried out in ${inMs} ms`)
		setTimeout(() => {
			if (group.isStopped) return
			group.record.note(`${text}, late: ${carryOut(group, own, order)}`)
		}, inMs)
		return
	}
	const status = carryOut(group, own, order)
	group.record.note(`${text}: ${status}`)
	reply(group, own, socket, order.operation, status)
}

function describe({ id, rank }, order) {
	const { operation, config_version, step, fencing_token } = order
	const words = [`${id} (rank ${rank})`, operation]
	if (config_version !== undefined) words.push(`map ${config_version}`)
	if (step !== undefined) words.push(`pass ${step}`)
	return `${words.join(' ')} fence ${fencing_token}`
}

function carryOut(group, own, order) {
	const { operation, config_version: version, step, map } = order
	const fence = order.fencing_token ?? 0
	if (order.epoch !== undefined && order.epoch !== group.epoch) return 409
	if (fence < own.fence) return 412
	own.fence = fence
	const begin = () => {
		own.sequence++
		return 202
	}
	switch (operation) {
		case 'prepare':
			if (version <= own.highest || own.armed) return 409
			return prepare(own, version, map) ? begin() : 409
		case 'arm':
			if (own.armed?.version === version && own.armed.step === step) return 200
			if (own.prepared?.version !== version || step <= group.step) return 409
			own.armed = { version, step }
			return begin()
		case 'disarm':
			if (own.map === version) return 409
			if (own.armed?.version !== version) return 200
			own.armed = undefined
			return begin()
		case 'hold':
			if (own.held === step) return 200
			if (own.held !== undefined || step <= group.step) return 409
			own.held = step
			return begin()
		case 'go':
			if (own.held !== step) return 200
			own.held = undefined
			return begin()
		default:
			return 400
	}
}

function prepare(own, version, map) {
	const experts = map.map(ranks => ranks[own.rank])
	const added = experts.map(
		(list, set) => list.filter(one => !own.experts[set].includes(one)).length,
	)
	if (Math.max(...added) > SPARE) return false
	own.highest = version
	own.prepared = undefined
	own.copying = version
	const copies = added.reduce((sum, count) => sum + count, 0)
	setTimeout(
		() => {
			if (own.copying !== version) return
			own.copying = undefined
			own.prepared = { version, experts }
		},
		2 + copies * COPY_MS,
	)
	return true
}

/** Runs a stream: one event for each pass. */
function run(own, runs, socket, headers) {
	const attempt = headers['x-attempt-id']
	if (own.streams.size >= SLOTS)
		return write(
			socket,
			answer(503, '', {
				'X-Attempt-Id': attempt,
				'X-Not-Executed': '1',
				'X-Engine-Load': loadOf(own),
			}),
		)
	const one = { attempt, engine: own.id, sent: 0, end: 'running' }
	const from = Number(headers['last-event-id'] ?? 0)
	const stream = { one, socket, at: from }
	runs.push(one)
	own.streams.add(stream)
	stream.onClose = () => {
		own.streams.delete(stream)
		one.end = 'its caller closed the connection'
	}
	socket.once('close', stream.onClose)
	const head = {
		'Content-Type': 'text/event-stream',
		'Transfer-Encoding': 'chunked',
		'X-Attempt-Id': attempt,
		'X-Server-Seal': sealOf(own.id, attempt),
		'X-Weight-Versions': '1',
		'X-Engine-Load': loadOf(own),
	}
	write(socket, `${headOf(200, head)}\r\n`)
}

/** Makes passes while any rank has a stream, until the group is stopped. */
export async function makePasses(group, events) {
	while (!group.isStopped) {
		const next = group.step + 1
		const isIdle = group.ranks.every(own => own.streams.size === 0)
		if (isIdle || group.ranks.some(own => own.held === next)) {
			await sleep(4)
			continue
		}
		beginPass(group, next)
		await sleep(passMs(group))
		for (const own of group.ranks) sendEvents(own, events)
	}
}

function beginPass(group, step) {
	group.step = step
	const { ranks, weights, record } = group
	const before = group.adopted
	for (const own of ranks) {
		if (own.armed?.step !== step) continue
		own.map = own.armed.version
		own.experts = own.prepared.experts
		own.armed = undefined
		own.prepared = undefined
		group.adopted++
	}
	const maps = ranks.map(own => own.map)
	if (group.adopted > before)
		record.note(`pass ${step} begins, ${group.adopted - before} ranks adopt`)
	if (new Set(maps).size > 1) {
		group.broken.push({ step, maps })
		if (group.broken.length === 1)
			record.note(`MAP: pass ${step} begins with the maps ${maps.join(' ')}`)
	}
	for (const own of ranks)
		for (let at = 0; at < own.counts.length; at++)
			own.counts[at] += Math.floor(
				weights[at] * own.streams.size * STRIDE * CHOSEN + Math.random(),
			)
}

/** The slowest rank's own part plus, set by set, that of the most loaded rank, ms. */
function passMs({ ranks, weights }) {
	const most = Math.max(...ranks.map(own => own.streams.size))
	const ownMs = STRIDE * (STEP_MS + PER_SEQ_MS * most)
	let skews = 0
	for (let set = 0; set < SETS; set++) {
		const holders = new Array(EXPERTS).fill(0)
		for (const { experts } of ranks)
			for (const expert of experts[set]) holders[expert]++
		const loads = ranks.map(({ experts }) =>
			experts[set].reduce(
				(sum, one) => sum + weights[set * EXPERTS + one] / holders[one],
				0,
			),
		)
		skews += Math.max(...loads) * ranks.length
	}
	const factor = 1 - EXPERT_SHARE + (EXPERT_SHARE * skews) / SETS
	const isCopying = ranks.some(own => own.copying !== undefined)
	return ownMs * factor * (isCopying ? COPY_FACTOR : 1)
}

function sendEvents(own, events) {
	for (const stream of [...own.streams]) {
		const { one, socket } = stream
		stream.at++
		one.sent = stream.at
		const text = eventText(one.attempt, stream.at)
		write(socket, `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`)
		if (stream.at < events) continue
		own.streams.delete(stream)
		socket.removeListener('close', stream.onClose)
		one.end = 'complete'
		write(socket, '0\r\n\r\n')
	}
}

/** Other experts are in demand: a share of what is liked changes. */
export function shiftDemand(group, share) {
	const fresh = drawWeights()
	group.weights = normalize(
		group.weights.map((one, at) => (Math.random() < share ? fresh[at] : one)),
	)
}

function drawWeights() {
	return normalize(
		Array.from({ length: SETS * EXPERTS }, () => Math.random() ** 8 + 0.01),
	)
}

/** Scales the weights so that those of each set add up to 1. */
function normalize(weights) {
	const sums = new Array(SETS).fill(0)
	for (const [at, one] of weights.entries())
		sums[Math.floor(at / EXPERTS)] += one
	return weights.map((one, at) => one / sums[Math.floor(at / EXPERTS)])
}

function dealInTurn(rank, size) {
	const experts = Array.from({ length: EXPERTS }, (_, expert) => expert)
	const own = experts.filter(expert => expert % size === rank)
	return Array.from({ length: SETS }, () => own)
}

function report({ epoch, step }, own) {
	const { rank, size, map, prepared, armed, held, sequence, streams } = own
	return {
		stage: 'both',
		models: [{ name: 'm', config_version: 1, adapters: [] }],
		busy: own.copying !== undefined,
		sequence,
		queued: 0,
		running: streams.size,
		kv_used: streams.size * 1_000,
		kv_total: 248_000,
		handles: 0,
		group: { name: 'g-1', epoch, rank, phase: 'open' },
		size,
		step,
		map,
		prepared: prepared?.version ?? null,
		armed: armed ? { config_version: armed.version, step: armed.step } : null,
		held: held ?? null,
		pace: 1,
	}
}

function picked({ epoch, step }, { map, experts, prepared, counts }, path) {
	if (!path.includes('lists')) return { step, epoch, counts }
	return {
		step,
		epoch,
		map: { config_version: map, experts },
		prepared: prepared
			? { config_version: prepared.version, experts: prepared.experts }
			: null,
	}
}

const REASONS = {
	200: 'OK',
	202: 'Accepted',
	400: 'Bad Request',
	409: 'Conflict',
	412: 'Precondition Failed',
	421: 'Misdirected Request',
	503: 'Service Unavailable',
}

function headOf(status, headers) {
	const lines = [`HTTP/1.1 ${status} ${REASONS[status]}`]
	for (const [name, value] of Object.entries(headers))
		lines.push(`${name}: ${value}`)
	return `${lines.join('\r\n')}\r\n`
}

function answer(status, body, headers = {}) {
	const all = { ...headers, 'Content-Length': Buffer.byteLength(body) }
	if (body !== '') all['Content-Type'] = 'application/json'
	return `${headOf(status, all)}\r\n${body}`
}

function write(socket, bytes) {
	if (!socket.destroyed) socket.write(bytes)
}

const loadOf = ({ streams }) => `${streams.size},0,${SLOTS}`

const between = ([from, to]) => Math.round(from + Math.random() * (to - from))

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
