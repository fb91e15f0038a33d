/**
 * Client of a coordinator for a rank. Calls go to the agent beside the rank's engine, or
 * directly to the engine if the agent is not available.
 */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import { splitAddress } from '@juniperhook/core'
import type { Methods, RpcLink } from '@juniperhook/runtime'
import {
	call,
	connectRpc,
	isRefusedByStop,
	readNow,
	sleep,
} from '@juniperhook/runtime'
import type { MapBase } from './mapDelta.ts'
import type { OrderMessage } from './orderMessage.ts'
import { encodeOrder } from './orderMessage.ts'
import type { RelayRequest } from './orderRelay.ts'
import { branchTimeoutMs } from './orderRelay.ts'
import type {
	EnginePort,
	GroupMember,
	RankLoad,
	RankPlacement,
	RankSample,
} from './ports.ts'
import type { RankResults } from './rankMessages.ts'
import type { CountCursor } from './rankSample.ts'
import { createCountCursor, decodeSample, readSample } from './rankSample.ts'
import { executeOrder, isOrderExecuted } from './rankService.ts'

const CONNECT_TIMEOUT_MS = 300
const MIN_RECONNECT_DELAY_MS = 150
const MAX_RECONNECT_DELAY_MS = 1_000
/** Timeout of an order, after which it is sent again, ms. */
const ORDER_TIMEOUT_MS = 250
/** Timeout of a `prepare`, which is answered after the experts are copied, ms. */
const PREPARE_TIMEOUT_MS = 3_000
const READ_TIMEOUT_MS = 250
/**
 * Addition to the timeout for each rank where all ranks are read at once, ms: each takes
 * some 0.3 KB of a small VM's link and time of its fraction of a core. A timeout closes
 * the link, even one that works.
 */
const READ_TIMEOUT_PER_RANK_MS = 3
/**
 * Timeout of demand readings, ms. It is longer than the others, because the readings may
 * queue behind a large map on a small link while the agent is well.
 */
const DEMAND_TIMEOUT_MS = 600
/** Timeout of an order sent via another VM's agent, ms; then its effect is checked. */
const REMOTE_ORDER_TIMEOUT_MS = 50
/** Time without a link to an agent after which its engine is called directly, ms. */
const BYPASS_AFTER_MS = 400
/** Time for which an agent is bypassed after it did not answer, ms. */
const BYPASS_MS = 1_000
/** Maximum age of an engine's report to other VMs, ms; engines specify 200. */
const REPORT_LAG_MS = 230

/** Connection of a coordinator to a rank. */
export interface RankClient {
	readonly member: GroupMember
	readonly port: EnginePort
	/** Address of its agent, `IP:port`. */
	readonly agent: string
	/** Whether the engine is the local one, which needs no link. */
	readonly isLocal: boolean
	link: RpcLink | undefined
	/** Time at which the link was lost or first attempted, ms. */
	disconnectedAt: number
	/** Time until which its agent is bypassed, ms. */
	bypassUntil: number
	/** Position in the counts of the local engine. */
	readonly cursor: CountCursor
	closed: boolean
}

/** Creates a client and keeps its link connected. */
export function openRankClient(
	port: EnginePort,
	member: GroupMember,
	agentPort: number,
	isLocal: boolean,
	methods: Methods,
): RankClient {
	const { ip } = splitAddress(member.engine)
	const client: RankClient = {
		member,
		port,
		agent: `${ip}:${agentPort}`,
		isLocal,
		link: undefined,
		disconnectedAt: readNow(),
		bypassUntil: 0,
		cursor: createCountCursor(),
		closed: false,
	}
	if (!isLocal) void keepLink(client, methods)
	return client
}

/** Closes a client. */
export function closeRankClient(client: RankClient): void {
	client.closed = true
	client.link?.socket.destroy()
}

async function keepLink(client: RankClient, methods: Methods): Promise<void> {
	let delayMs = MIN_RECONNECT_DELAY_MS
	while (!client.closed) {
		try {
			const link = await connectRpc(client.agent, methods, CONNECT_TIMEOUT_MS)
			if (client.closed) {
				// Closed while it connected, when there was no link to close.
				link.socket.destroy()
				return
			}
			client.link = link
			delayMs = MIN_RECONNECT_DELAY_MS
			await new Promise(resolve => link.socket.once('close', resolve))
		} catch {
			// Refused or timed out: the engine is called directly meanwhile.
			delayMs = Math.min(delayMs * 2, MAX_RECONNECT_DELAY_MS)
		}
		if (client.link) client.disconnectedAt = readNow()
		client.link = undefined
		await sleep(delayMs)
	}
}

/** Records that an agent does not answer, so that it is bypassed for a while. */
export function markUnresponsive(client: RankClient): void {
	client.bypassUntil = readNow() + BYPASS_MS
}

/** Whether to call an engine directly. */
function isBypassed(client: RankClient): boolean {
	if (client.isLocal || readNow() < client.bypassUntil) return true
	return !client.link && readNow() - client.disconnectedAt > BYPASS_AFTER_MS
}

/**
 * Sends an order; resolves to `silent` if its outcome is not known. A map is sent as a
 * delta against `base` if the rank's agent has that map.
 */
export async function orderRank(
	client: RankClient,
	order: EngineOrder,
	base?: MapBase,
): Promise<OrderAnswer> {
	const { port, member } = client
	if (isBypassed(client)) return await executeOrder(port, member.engine, order)
	const timeoutMs =
		order.type === 'prepare' ? PREPARE_TIMEOUT_MS : ORDER_TIMEOUT_MS
	const message = encodeOrder(order, base)
	const answer = await callAgent(client, 'order', message, timeoutMs)
	if (answer === 'unknownBase') return await orderRank(client, order)
	return answer ?? 'silent'
}

/**
 * Sends an order to a rank's engine via the agent of `relay`. If that agent does not
 * answer in time, determines the outcome from a report of the rank.
 */
export async function orderRankVia(
	client: RankClient,
	relay: RankClient,
	order: EngineOrder,
): Promise<OrderAnswer> {
	const { engine } = client.member
	const params = { engine, order }
	const answer = await callAgent(
		relay,
		'orderElsewhere',
		params,
		REMOTE_ORDER_TIMEOUT_MS,
	)
	if (answer) return answer
	const report = await readRankReport(client)
	return report && isOrderExecuted(report, order) ? 'done' : 'silent'
}

/** Fan-out and timeouts of a relayed order. */
export type RelayOptions = Omit<RelayRequest, 'order' | 'to'>

/**
 * Sends an order to the agent of the first of several ranks, which relays it to the
 * others. Resolves to `silent` for ranks whose outcome is not known.
 */
export async function orderBranch(
	branch: readonly RankClient[],
	order: OrderMessage,
	options: RelayOptions,
): Promise<OrderAnswer[]> {
	const [first, ...behind] = branch
	const to = behind.map(client => client.agent)
	const params: RelayRequest = { order, to, ...options }
	const timeoutMs = branchTimeoutMs(options, behind.length)
	const answers = await callAgent(first!, 'relay', params, timeoutMs)
	return branch.map((_, at) => {
		const answer = answers?.[at] ?? 'silent'
		// The order is sent again, with the whole map if the agent does not have the base.
		return answer === 'unknownBase' ? 'silent' : answer
	})
}

/** Whether the agent of a rank is available. */
export function hasAgent(client: RankClient): boolean {
	return client.link !== undefined && readNow() >= client.bypassUntil
}

/** Reads a report that was made after this call began. */
export async function readRankReport(
	client: RankClient,
): Promise<RankReport | undefined> {
	const { port, member } = client
	if (client.isLocal) return await port.report(member.engine)
	if (!isBypassed(client))
		return (await callAgent(client, 'report', {}, READ_TIMEOUT_MS)) ?? undefined
	await sleep(REPORT_LAG_MS)
	return await port.report(member.engine)
}

/**
 * Reads a sample, only from the local engine or an agent, because reading counts from
 * another VM delays the group. `experts` is the number of experts of all sets; `recentReport`
 * is one of the local engine, if any.
 */
export async function readRankSample(
	client: RankClient,
	experts: number,
	recentReport?: RankReport,
): Promise<RankSample | undefined> {
	const { port, member } = client
	if (client.isLocal)
		return await readSample(port, member.engine, client.cursor, recentReport)
	const message = await callAgent(client, 'sample', {}, DEMAND_TIMEOUT_MS)
	return message ? decodeSample(message, experts) : undefined
}

/** Reads the load of a rank as last seen by its agent. */
export async function readRankLoad(
	client: RankClient,
): Promise<RankLoad | undefined> {
	return (await callAgent(client, 'busy', {}, DEMAND_TIMEOUT_MS)) ?? undefined
}

/** Reads the experts of a rank; `concurrentReads` is the number of ranks read at once. */
export async function readRankPlacement(
	client: RankClient,
	concurrentReads: number,
): Promise<RankPlacement | undefined> {
	const { port, member } = client
	if (isBypassed(client)) return await port.placement(member.engine)
	const timeoutMs = READ_TIMEOUT_MS + READ_TIMEOUT_PER_RANK_MS * concurrentReads
	return (await callAgent(client, 'placement', {}, timeoutMs)) ?? undefined
}

async function callAgent<M extends keyof RankResults>(
	client: RankClient,
	method: M,
	params: object,
	timeoutMs: number,
): Promise<RankResults[M] | null> {
	const { link } = client
	if (!link) return null
	try {
		return await call<RankResults[M]>(link, method, params, timeoutMs)
	} catch (err) {
		// A suspended agent still accepts connections, so it has to be bypassed for a while.
		// One that stops answers the calls that it has begun.
		if (!isRefusedByStop(err)) link.socket.destroy()
		markUnresponsive(client)
		return null
	}
}
