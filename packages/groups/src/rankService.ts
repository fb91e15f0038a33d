/**
 * Methods that an agent serves to coordinators. It executes their orders at its local
 * engine, where calls are cheap and reports are up to date.
 */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import type { Methods, RpcLink } from '@juniperhook/runtime'
import { call, readNow } from '@juniperhook/runtime'
import type { MapCache } from './mapDelta.ts'
import { cacheMap, createMapCache } from './mapDelta.ts'
import type { OrderMessage } from './orderMessage.ts'
import { decodeOrder, packMap, unpackMap } from './orderMessage.ts'
import type { RelayRequest } from './orderRelay.ts'
import { createOrderRelay, relayOrder } from './orderRelay.ts'
import type { EnginePort, RankLoad } from './ports.ts'
import type {
	AgentHello,
	BaseMapRequest,
	RankAnswer,
	RemoteOrder,
} from './rankMessages.ts'
import type { CountCursor, SampleMessage } from './rankSample.ts'
import { createCountCursor, encodeSample, readSample } from './rankSample.ts'

/** Polling interval of an engine that copies experts, ms. */
const COPY_POLL_INTERVAL_MS = 25
/** Time after which an engine that still copies counts as not answering, ms. */
const COPY_TIMEOUT_MS = 2_500
/**
 * Maximum number of attempts at an order that the local engine does not answer. A retry
 * on the same VM is cheap; one by the coordinator takes another broadcast.
 */
const MAX_ATTEMPTS = 2
/**
 * Timeout of a request to the sender of a delta for the whole base map, ms, with an
 * addition for each expert of each set: four bytes, over a tenth of a link that carries
 * half a KB per ms.
 */
const BASE_MAP_TIMEOUT_MS = 400
const BASE_MAP_TIMEOUT_PER_EXPERT_MS = 1 / 12

/** Executes an order at an engine and returns the outcome. */
export async function executeOrder(
	port: EnginePort,
	engine: string,
	order: EngineOrder,
): Promise<OrderAnswer> {
	if (order.type === 'probe') {
		const report = await port.report(engine)
		return report?.epoch === order.epoch ? 'done' : 'silent'
	}
	const answer = await port.order(engine, order)
	switch (answer) {
		case 'fenced':
			return 'fenced'
		case 'conflict':
		case 'silent': {
			// An earlier attempt at the same order may have been executed.
			const report = await port.report(engine)
			return report && isOrderExecuted(report, order) ? 'done' : answer
		}
		case 'done':
			if (order.type !== 'prepare') return 'done'
			return await awaitCopies(port, engine, order)
		default:
			return answer satisfies never
	}
}

/** Waits until an engine has copied the experts of a prepared map. */
async function awaitCopies(
	port: EnginePort,
	engine: string,
	order: EngineOrder,
): Promise<OrderAnswer> {
	const until = readNow() + COPY_TIMEOUT_MS
	while (readNow() < until) {
		const report = await port.report(engine)
		if (report && isOrderExecuted(report, order)) return 'done'
		if (report && report.epoch !== order.epoch) return 'conflict'
		await new Promise(resolve => setTimeout(resolve, COPY_POLL_INTERVAL_MS))
	}
	return 'silent'
}

/** Whether a report shows that an order has taken effect. */
export function isOrderExecuted(
	report: RankReport,
	order: EngineOrder,
): boolean {
	if (report.epoch !== order.epoch) return false
	switch (order.type) {
		case 'prepare':
			return report.prepared === order.version
		case 'arm': {
			const { armed } = report
			return armed?.version === order.version && armed.step === order.step
		}
		case 'hold':
			return report.held === order.step
		case 'probe':
			return true
		case 'disarm':
		case 'go':
			// The engine also has to record the fence of these orders, which no report contains.
			return false
		default:
			return order satisfies never
	}
}

/** Creates the methods that an agent serves. */
export function createRankMethods(
	port: EnginePort,
	engine: string,
	hello: () => AgentHello,
	lastReport: () => RankReport | undefined,
): Methods {
	// Each link receives the increments since its own last sample.
	const cursors = new WeakMap<RpcLink, CountCursor>()
	const sample = async (link: RpcLink): Promise<SampleMessage | undefined> => {
		const cursor = cursors.get(link) ?? createCountCursor()
		cursors.set(link, cursor)
		const read = await readSample(port, engine, cursor, undefined)
		return read && encodeSample(read)
	}
	const cache = createMapCache()
	const handleOrder = async (
		message: OrderMessage,
		link: RpcLink,
	): Promise<RankAnswer> => {
		const order = await resolveOrder(message, cache, link)
		if (!order) return 'unknownBase'
		const answer = await executeWithRetry(port, engine, order)
		if (order.type === 'prepare' && answer === 'done')
			cacheMap(cache, order.epoch, order.version, order.map)
		return answer
	}
	const baseMap = (request: BaseMapRequest) => packCachedMap(cache, request)
	const relay = createOrderRelay({ baseMap })
	return {
		hello,
		report: () => toNullable(port.report(engine)),
		busy: () => toRankLoad(lastReport()),
		sample: (_params: object, link: RpcLink) => toNullable(sample(link)),
		placement: () => toNullable(port.placement(engine)),
		order: handleOrder,
		relay: async (req: RelayRequest, link: RpcLink) => {
			const [own, behind] = await Promise.all([
				handleOrder(req.order, link),
				relayOrder(relay, req),
			])
			return [own, ...behind]
		},
		orderElsewhere: ({ engine: other, order }: RemoteOrder) =>
			executeOrder(port, other, order),
	}
}

/** Packs a cached map for an agent that does not have it; null if it is not cached. */
function packCachedMap(
	cache: MapCache,
	{ epoch, version }: BaseMapRequest,
): string | null {
	const map = epoch === cache.epoch ? cache.maps.get(version) : undefined
	return map ? packMap(map) : null
}

/**
 * Decodes an order. If it contains a delta against a map that is not cached, requests the
 * map from the sender.
 */
async function resolveOrder(
	message: OrderMessage,
	cache: MapCache,
	link: RpcLink,
): Promise<EngineOrder | undefined> {
	const order = decodeOrder(message, cache)
	if (order || message.type !== 'prepare') return order
	if (!('changes' in message.sent)) return undefined
	const { epoch } = message
	const { base: version, sets, experts } = message.sent.changes
	const timeoutMs =
		BASE_MAP_TIMEOUT_MS + BASE_MAP_TIMEOUT_PER_EXPERT_MS * sets * experts
	try {
		const request: BaseMapRequest = { epoch, version }
		const packed = await call<string | null>(
			link,
			'baseMap',
			request,
			timeoutMs,
		)
		if (packed === null) return undefined
		cacheMap(cache, epoch, version, unpackMap(packed))
	} catch {
		// The answer `unknownBase` makes the coordinator send the whole map.
		return undefined
	}
	return decodeOrder(message, cache)
}

async function executeWithRetry(
	port: EnginePort,
	engine: string,
	order: EngineOrder,
): Promise<OrderAnswer> {
	let answer: OrderAnswer = 'silent'
	for (
		let attempt = 0;
		attempt < MAX_ATTEMPTS && answer === 'silent';
		attempt++
	)
		answer = await executeOrder(port, engine, order)
	return answer
}

function toRankLoad(report: RankReport | undefined): RankLoad | null {
	if (!report) return null
	const { running, waiting, pace } = report
	return { running, waiting, pace }
}

/** Replaces undefined, which JSON cannot represent, by null. */
async function toNullable<T>(value: Promise<T | undefined>): Promise<T | null> {
	return (await value) ?? null
}
