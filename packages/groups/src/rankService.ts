/**
 * What an agent does for coordinators: it passes their orders to its own
 * engine, where they cost nothing and reports are fresh.
 */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import type { Methods } from '@juniperhook/runtime'
import { readNow } from '@juniperhook/runtime'
import type { OrderMessage } from './orderMessage.ts'
import { fromOrderMessage } from './orderMessage.ts'
import type { EnginePort, RankPlacement, RankSample } from './ports.ts'

/** Between looks at an engine that copies experts, ms. */
const COPY_LOOK_MS = 25
/** Copying takes 39 ms an expert; longer than this counts as unanswered, ms. */
const COPY_MS = 2_500

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

/** An order that an agent gives to the engine of another VM. */
export interface OrderElsewhere {
	/** `IP:port`. */
	readonly engine: string
	readonly order: EngineOrder
}

/** The last word of an agent on itself. */
export interface AgentHello {
	readonly rank: number
	/** Whether it coordinates its group. */
	readonly active: boolean
}

/** Methods that an agent serves. */
export function createRankMethods(
	port: EnginePort,
	engine: string,
	hello: () => AgentHello,
	lastReport: () => RankReport | undefined,
): Methods {
	return {
		hello,
		report: () => orNull(port.report(engine)),
		sample: () => orNull(takeSample(port, engine, lastReport())),
		placement: () => orNull(port.placement(engine)),
		order: (message: OrderMessage) =>
			giveOrder(port, engine, fromOrderMessage(message)),
		orderElsewhere: ({ engine: other, order }: OrderElsewhere) =>
			giveOrder(port, other, order),
	}
}

/** Counts of an engine, with how busy it was when it was last looked at. */
export async function takeSample(
	port: EnginePort,
	engine: string,
	known: RankReport | undefined,
): Promise<RankSample | undefined> {
	const counts = await port.counts(engine)
	const report = known ?? (await port.report(engine))
	if (!counts || !report) return undefined
	const { running, waiting, pace } = report
	return { ...counts, running, waiting, pace }
}

/** JSON has no undefined. */
async function orNull<T>(value: Promise<T | undefined>): Promise<T | null> {
	return (await value) ?? null
}

/** What the methods answer. */
export interface RankAnswers {
	readonly report: RankReport | null
	readonly sample: RankSample | null
	readonly placement: RankPlacement | null
	readonly order: OrderAnswer
	readonly orderElsewhere: OrderAnswer
}
