/**
 * What an agent does for coordinators: it passes their orders to its own
 * engine, where they cost nothing and reports are fresh.
 */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import type { Methods, RpcLink } from '@juniperhook/runtime'
import { call, readNow } from '@juniperhook/runtime'
import type { ChoiceReader, SampleMessage } from './rankSample.ts'
import { createChoiceReader, readSample, toSampleMessage } from './rankSample.ts'
import type { KnownMaps } from './mapDelta.ts'
import { createKnownMaps, noteMap } from './mapDelta.ts'
import type { OrderMessage } from './orderMessage.ts'
import { fromOrderMessage, packMap, unpackMap } from './orderMessage.ts'
import type { RelayRequest } from './orderRelay.ts'
import { createOrderRelay, relayOrder } from './orderRelay.ts'
import type { EnginePort, RankBusy } from './ports.ts'
import type {
	AgentHello,
	BaseMapRequest,
	OrderElsewhere,
	RankAnswer,
} from './rankMessages.ts'

/** Between looks at an engine that copies experts, ms. */
const COPY_LOOK_MS = 25
/** An engine that copies for longer counts as one that does not answer, ms. */
const COPY_MS = 2_500
/**
 * Times that an agent gives an order which its engine leaves unanswered: a call
 * on the same VM, where asking by way of the coordinator takes a trip of the tree.
 */
const TRIES = 2
/**
 * A whole map comes from the neighbour that sent its changes: so much time, and so
 * much for each expert of each set: four bytes, over a tenth of a link that carries
 * half a KB in a ms.
 */
const BASE_MAP_MS = 400
const BASE_MAP_PER_EXPERT_MS = 1 / 12

/** Passes an order to an engine and tells what became of it. */
export async function giveOrder(
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
			// An earlier sending of the same order may have been carried out.
			const report = await port.report(engine)
			return report && isCarriedOut(report, order) ? 'done' : answer
		}
		case 'done':
			if (order.type !== 'prepare') return 'done'
			return await awaitCopies(port, engine, order)
		default:
			return answer satisfies never
	}
}

async function awaitCopies(
	port: EnginePort,
	engine: string,
	order: EngineOrder,
): Promise<OrderAnswer> {
	const until = readNow() + COPY_MS
	while (readNow() < until) {
		const report = await port.report(engine)
		if (report && isCarriedOut(report, order)) return 'done'
		if (report && report.epoch !== order.epoch) return 'conflict'
		await new Promise(resolve => setTimeout(resolve, COPY_LOOK_MS))
	}
	return 'silent'
}

/** Whether a report shows that an order has taken effect. */
export function isCarriedOut(report: RankReport, order: EngineOrder): boolean {
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
			// Their fence matters too, and no report shows it.
			return false
		default:
			return order satisfies never
	}
}

/** Methods that an agent serves. */
export function createRankMethods(
	port: EnginePort,
	engine: string,
	hello: () => AgentHello,
	lastReport: () => RankReport | undefined,
): Methods {
	// Each link is told what is new to it.
	const readers = new WeakMap<RpcLink, ChoiceReader>()
	const sample = async (link: RpcLink): Promise<SampleMessage | undefined> => {
		const reader = readers.get(link) ?? createChoiceReader()
		readers.set(link, reader)
		const read = await readSample(port, engine, reader, undefined)
		return read && toSampleMessage(read)
	}
	const known = createKnownMaps()
	const takeOrder = async (
		message: OrderMessage,
		link: RpcLink,
	): Promise<RankAnswer> => {
		const order = await readOrder(message, known, link)
		if (!order) return 'unknownBase'
		const answer = await giveOrderAgain(port, engine, order)
		if (order.type === 'prepare' && answer === 'done')
			noteMap(known, order.epoch, order.version, order.map)
		return answer
	}
	const baseMap = (wanted: BaseMapRequest) => packKnown(known, wanted)
	const relay = createOrderRelay({ baseMap })
	return {
		hello,
		report: () => orNull(port.report(engine)),
		busy: () => toBusy(lastReport()),
		sample: (_params: object, link: RpcLink) => orNull(sample(link)),
		placement: () => orNull(port.placement(engine)),
		order: takeOrder,
		relay: async (req: RelayRequest, link: RpcLink) => {
			const [own, behind] = await Promise.all([
				takeOrder(req.order, link),
				relayOrder(relay, req),
			])
			return [own, ...behind]
		},
		orderElsewhere: ({ engine: other, order }: OrderElsewhere) =>
			giveOrder(port, other, order),
	}
}

/** A known map, packed, for an agent that lacks it; null when it is not known. */
function packKnown(
	known: KnownMaps,
	{ epoch, version }: BaseMapRequest,
): string | null {
	const map = epoch === known.epoch ? known.maps.get(version) : undefined
	return map ? packMap(map) : null
}

/** The order in a message; what it changes is asked for where it came from. */
async function readOrder(
	message: OrderMessage,
	known: KnownMaps,
	link: RpcLink,
): Promise<EngineOrder | undefined> {
	const order = fromOrderMessage(message, known)
	if (order || message.type !== 'prepare') return order
	if (!('changes' in message.sent)) return undefined
	const { epoch } = message
	const { base: version, sets, experts } = message.sent.changes
	const timeoutMs = BASE_MAP_MS + BASE_MAP_PER_EXPERT_MS * sets * experts
	try {
		const wanted: BaseMapRequest = { epoch, version }
		const packed = await call<string | null>(link, 'baseMap', wanted, timeoutMs)
		if (packed === null) return undefined
		noteMap(known, epoch, version, unpackMap(packed))
	} catch {
		// The coordinator sends the whole map to an agent that says so.
		return undefined
	}
	return fromOrderMessage(message, known)
}

async function giveOrderAgain(
	port: EnginePort,
	engine: string,
	order: EngineOrder,
): Promise<OrderAnswer> {
	let answer: OrderAnswer = 'silent'
	for (let tries = 0; tries < TRIES && answer === 'silent'; tries++)
		answer = await giveOrder(port, engine, order)
	return answer
}

function toBusy(report: RankReport | undefined): RankBusy | null {
	if (!report) return null
	const { running, waiting, pace } = report
	return { running, waiting, pace }
}

/** JSON has no undefined. */
async function orNull<T>(value: Promise<T | undefined>): Promise<T | null> {
	return (await value) ?? null
}
