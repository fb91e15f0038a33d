/**
 * A coordinator's way to a rank: through the agent beside its engine, or
 * straight to the engine where there is no agent to be had.
 */

import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import { splitAddress } from '@juniperhook/core'
import type { Methods, RpcLink } from '@juniperhook/runtime'
import { call, connectRpc, readNow, sleep } from '@juniperhook/runtime'
import type { ChoiceReader } from './rankSample.ts'
import { createChoiceReader, fromSampleMessage, readSample } from './rankSample.ts'
import type { MapBase } from './mapDelta.ts'
import type { OrderMessage } from './orderMessage.ts'
import { toOrderMessage } from './orderMessage.ts'
import type { RelayRequest } from './orderRelay.ts'
import { branchWaitMs } from './orderRelay.ts'
import type {
	EnginePort,
	GroupMember,
	RankBusy,
	RankPlacement,
	RankSample,
} from './ports.ts'
import type { RankAnswers } from './rankMessages.ts'
import { giveOrder, isCarriedOut } from './rankService.ts'

const CONNECT_MS = 300
const RECONNECT_MS = 150
const MAX_RECONNECT_MS = 1_000
/** An order that has no answer by then is sent again, ms. */
const ORDER_MS = 250
/** A prepare is answered once the experts are copied, ms. */
const PREPARE_MS = 3_000
const READ_MS = 250
/**
 * Besides, where all ranks are read at once: some 0.3 KB of a small VM's link and its
 * part of a core for each, ms. One that is given up closes a link that was sound.
 */
const READ_PER_RANK_MS = 3
/**
 * Readings of demand may queue behind a large map on a small link: only much
 * later does their silence speak of the agent, ms.
 */
const DEMAND_MS = 600
/** An order by way of another VM is looked after if it takes longer, ms. */
const ELSEWHERE_MS = 50
/** Without an agent for this long, its engine is called from here, ms. */
const ALONE_AFTER_MS = 400
/** After an agent did not answer, its engine is called from here, ms. */
const DIRECT_MS = 1_000
/** What a report from afar may lag behind, ms; engines say 200. */
const REPORT_LAG_MS = 230

/** A rank within a coordinator's reach. */
export interface RankClient {
	readonly member: GroupMember
	readonly port: EnginePort
	/** `IP:port` of its agent. */
	readonly agent: string
	/** This process's own engine needs no link. */
	readonly home: boolean
	link: RpcLink | undefined
	/** When the link was lost or first sought, ms. */
	linklessSince: number
	/** Its agent is bypassed until then, ms. */
	directUntil: number
	/** What this process has read of its own engine's counts. */
	readonly reader: ChoiceReader
	closed: boolean
}

/** Makes a client and keeps its link. */
export function openRankClient(
	port: EnginePort,
	member: GroupMember,
	agentPort: number,
	home: boolean,
	methods: Methods,
): RankClient {
	const { ip } = splitAddress(member.engine)
	const client: RankClient = {
		member,
		port,
		agent: `${ip}:${agentPort}`,
		home,
		link: undefined,
		linklessSince: readNow(),
		directUntil: 0,
		reader: createChoiceReader(),
		closed: false,
	}
	if (!home) void keepLink(client, methods)
	return client
}

/** Ends a client. */
export function closeRankClient(client: RankClient): void {
	client.closed = true
	client.link?.socket.destroy()
}

async function keepLink(client: RankClient, methods: Methods): Promise<void> {
	let pause = RECONNECT_MS
	while (!client.closed) {
		try {
			const link = await connectRpc(client.agent, methods, CONNECT_MS)
			client.link = link
			pause = RECONNECT_MS
			await new Promise(resolve => link.socket.once('close', resolve))
		} catch {
			// Refused or cut off: the engine is called without its agent.
			pause = Math.min(pause * 2, MAX_RECONNECT_MS)
		}
		if (client.link) client.linklessSince = readNow()
		client.link = undefined
		await sleep(pause)
	}
}

/** Notes that an agent does not answer. */
export function noteSilent(client: RankClient): void {
	client.directUntil = readNow() + DIRECT_MS
}

/** Whether an engine is to be called without its agent. */
function isAlone(client: RankClient): boolean {
	if (client.home || readNow() < client.directUntil) return true
	return !client.link && readNow() - client.linklessSince > ALONE_AFTER_MS
}

/**
 * Gives an order; `silent` when nothing is known of it. A map is told as changes
 * of `base` where the rank's agent knows that one.
 */
export async function orderRank(
	client: RankClient,
	order: EngineOrder,
	base?: MapBase,
): Promise<OrderAnswer> {
	const { port, member } = client
	if (isAlone(client)) return await giveOrder(port, member.engine, order)
	const timeoutMs = order.type === 'prepare' ? PREPARE_MS : ORDER_MS
	const message = toOrderMessage(order, base)
	const answer = await ask(client, 'order', message, timeoutMs)
	if (answer === 'unknownBase') return await orderRank(client, order)
	return answer ?? 'silent'
}

/**
 * Lets the agent of `by` give an order to this rank's engine, and looks for
 * itself what became of it.
 */
export async function orderRankBy(
	client: RankClient,
	by: RankClient,
	order: EngineOrder,
): Promise<OrderAnswer> {
	const { engine } = client.member
	const params = { engine, order }
	const answer = await ask(by, 'orderElsewhere', params, ELSEWHERE_MS)
	if (answer) return answer
	const report = await reportRank(client)
	return report && isCarriedOut(report, order) ? 'done' : 'silent'
}

/** How an order travels from agent to agent. */
export type RelayTerms = Omit<RelayRequest, 'order' | 'to'>

/**
 * Gives an order to the first of several ranks, whose agent passes it on to the
 * others; `silent` for those of which nothing is known then.
 */
export async function orderBranch(
	branch: readonly RankClient[],
	order: OrderMessage,
	terms: RelayTerms,
): Promise<OrderAnswer[]> {
	const [first, ...behind] = branch
	const to = behind.map(client => client.agent)
	const params: RelayRequest = { order, to, ...terms }
	const waitMs = branchWaitMs(terms, behind.length)
	const answers = await ask(first!, 'relay', params, waitMs)
	return branch.map((_, at) => {
		const answer = answers?.[at] ?? 'silent'
		// The order is given again, whole, to an agent that lacks the base.
		return answer === 'unknownBase' ? 'silent' : answer
	})
}

/** Whether the agent of a rank can be asked. */
export function hasAgent(client: RankClient): boolean {
	return client.link !== undefined && readNow() >= client.directUntil
}

/** A report that was made after this call began. */
export async function reportRank(
	client: RankClient,
): Promise<RankReport | undefined> {
	const { port, member } = client
	if (client.home) return await port.report(member.engine)
	if (!isAlone(client))
		return (await ask(client, 'report', {}, READ_MS)) ?? undefined
	await sleep(REPORT_LAG_MS)
	return await port.report(member.engine)
}

/**
 * Counts, from an agent only: from afar they cost the group time. `experts` is
 * the number in all sets; `known` a fresh report of the engine at home, if any.
 */
export async function sampleRank(
	client: RankClient,
	experts: number,
	known?: RankReport,
): Promise<RankSample | undefined> {
	const { port, member } = client
	if (client.home)
		return await readSample(port, member.engine, client.reader, known)
	const message = await ask(client, 'sample', {}, DEMAND_MS)
	return message ? fromSampleMessage(message, experts) : undefined
}

/** How busy a rank was when its agent last looked. */
export async function busyOfRank(
	client: RankClient,
): Promise<RankBusy | undefined> {
	return (await ask(client, 'busy', {}, DEMAND_MS)) ?? undefined
}

/** The experts of a rank; `together` ranks are read at the same time. */
export async function placementOfRank(
	client: RankClient,
	together: number,
): Promise<RankPlacement | undefined> {
	const { port, member } = client
	if (isAlone(client)) return await port.placement(member.engine)
	const timeoutMs = READ_MS + READ_PER_RANK_MS * together
	return (await ask(client, 'placement', {}, timeoutMs)) ?? undefined
}

async function ask<M extends keyof RankAnswers>(
	client: RankClient,
	method: M,
	params: object,
	timeoutMs: number,
): Promise<RankAnswers[M] | null> {
	const { link } = client
	if (!link) return null
	try {
		return await call<RankAnswers[M]>(link, method, params, timeoutMs)
	} catch {
		// A frozen agent still takes connections: it is bypassed for a while.
		link.socket.destroy()
		noteSilent(client)
		return null
	}
}
