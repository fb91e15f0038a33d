/**
 * Sends the orders of a round to the ranks: along a tree of their agents, or directly to
 * engines whose agents are not available.
 */

import type { GroupRound, OrderAnswer, PendingOrder } from '@juniperhook/core'
import {
	ANCHOR_RANK,
	applyOrderAnswer,
	listPendingOrders,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { currentMapBase, expertCopyMs } from './mapPlanning.ts'
import type { OrderMessage } from './orderMessage.ts'
import { encodeOrder, messageSize } from './orderMessage.ts'
import type { TreeLoad } from './orderTree.ts'
import {
	chooseFanOut,
	maxHopMs,
	predictBroadcastMs,
	splitBranches,
} from './orderTree.ts'
import type { RankClient, RelayOptions } from './rankClient.ts'
import { hasAgent, orderBranch, orderRank, orderRankVia } from './rankClient.ts'

/** Duration above which an order is logged, ms. */
const SLOW_ORDER_MS = 60
/** Size of an order without a map as JSON, bytes. */
const SMALL_ORDER_BYTES = 200
/**
 * Minimum number of ranks for a broadcast along a tree; fewer ones are called
 * individually, as a tree would add a hop.
 */
const MIN_TREE_RANKS = 4
/** Time allowed for an agent and its engine, ms: enough for two unanswered calls. */
const ORDER_WORK_TIMEOUT_MS = 300
/**
 * The same time for a `prepare`, ms, to which a multiple of the copying time is added. It
 * is longer, because no pass waits for a `prepare`, and an engine refuses one that it
 * receives twice.
 */
const PREPARE_WORK_TIMEOUT_MS = 1_000
const COPY_TIMEOUT_FACTOR = 2
/**
 * Time allowed for the round trip of a hop: a multiple of the predicted time, as the link
 * has other traffic, plus the retransmission of a lost packet, ms.
 */
const HOP_FACTOR = 3
const RETRANSMIT_MS = 150

/** A round in progress. */
export interface RunningRound {
	readonly round: GroupRound
	/** Keys of the orders in flight. */
	readonly inFlight: Set<string>
	/** Number of broadcasts in the present phase. */
	broadcasts: number
	/** Maximum number of experts that a rank has to copy. */
	readonly mostNew: number
	/** Time of the last confirmation by a rank, ms of the elapsed clock. */
	progressAt: number
}

/** Returns the predicted round-trip time of a small order to all ranks, ms. */
export function estimateRoundTripMs(
	{ bytesPerMs }: Coordinator,
	ranks: number,
): number {
	const load = { orderBytes: SMALL_ORDER_BYTES, bytesPerMs }
	return 2 * predictBroadcastMs(ranks, chooseFanOut(ranks, load), load)
}

/** Returns the predicted copying time of a round, ms. */
export function estimateCopyingMs(
	{ group }: Coordinator,
	run: RunningRound,
): number {
	return group ? run.mostNew * expertCopyMs(group) : 0
}

/** Sends all pending orders that are not in flight. */
export function sendPendingOrders(co: Coordinator, run: RunningRound): void {
	const { inFlight } = run
	const pending = listPendingOrders(run.round).filter(
		item => !inFlight.has(keyOf(item)),
	)
	if (pending.length === 0) return
	const relayed = pending.filter(item => canRelay(co, item))
	const isTree = relayed.length >= MIN_TREE_RANKS
	for (const item of pending)
		if (!isTree || !canRelay(co, item)) void sendOrder(co, run, item)
	if (isTree) broadcastOrder(co, run, relayed)
}

/** Whether agents may relay an order; a hold order is sent via a single agent instead. */
function canRelay(co: Coordinator, { rank, order }: PendingOrder): boolean {
	const client = co.clients.get(rank)
	return (
		client !== undefined &&
		!client.isLocal &&
		hasAgent(client) &&
		order.type !== 'hold'
	)
}

/** Sends an order to one rank unless it is in flight. */
async function sendOrder(
	co: Coordinator,
	run: RunningRound,
	pending: PendingOrder,
): Promise<void> {
	const { inFlight } = run
	const { rank, order } = pending
	const key = keyOf(pending)
	const client = co.clients.get(rank)
	if (!client || inFlight.has(key)) return
	inFlight.add(key)
	const sentAt = readNow()
	const holdSender = order.type === 'hold' ? findHoldSender(co) : undefined
	const answer = holdSender
		? await orderRankVia(client, holdSender, order)
		: await orderRank(client, order, currentMapBase(co))
	inFlight.delete(key)
	applyAnswer(co, run, pending, answer, sentAt)
}

function keyOf({ rank, order }: PendingOrder): string {
	return `${rank} ${order.type} ${'step' in order ? order.step : ''}`
}

function applyAnswer(
	co: Coordinator,
	run: RunningRound,
	pending: PendingOrder,
	answer: OrderAnswer,
	sentAt: number,
): void {
	const { round } = run
	const { rank, order } = pending
	const { phase } = round
	applyOrderAnswer(round, pending, answer)
	const now = readNow()
	if (answer === 'done') run.progressAt = readElapsed()
	const tookMs = Math.round(now - sentAt)
	if (answer !== 'done' || (tookMs > SLOW_ORDER_MS && order.type !== 'prepare'))
		co.log.write('order slow or refused', {
			rank,
			order: order.type,
			answer,
			tookMs,
			fence: round.fence,
			phase,
		})
}

/**
 * Broadcasts an order to many ranks via their agents. Every other broadcast of a phase
 * uses the reverse order of ranks, so that a rank that did not answer is not behind the
 * same unresponsive agent again.
 */
function broadcastOrder(
	co: Coordinator,
	run: RunningRound,
	targets: readonly PendingOrder[],
): void {
	const { order: engineOrder } = targets[0]!
	const isReversed = run.broadcasts % 2 === 1
	run.broadcasts++
	const order = encodeOrder(engineOrder, currentMapBase(co))
	const { bytesPerMs } = co
	const load: TreeLoad = { orderBytes: messageSize(order), bytesPerMs }
	const { length } = targets
	const fanOut = chooseFanOut(length, load)
	const prepareMs =
		PREPARE_WORK_TIMEOUT_MS + COPY_TIMEOUT_FACTOR * estimateCopyingMs(co, run)
	const options: RelayOptions = {
		fanOut,
		workMs: engineOrder.type === 'prepare' ? prepareMs : ORDER_WORK_TIMEOUT_MS,
		hopMs: HOP_FACTOR * maxHopMs(length, fanOut, load) + RETRANSMIT_MS,
	}
	const ordered = isReversed ? [...targets].reverse() : targets
	for (const branch of splitBranches(ordered, fanOut))
		void sendBranch(co, run, branch, order, options)
}

async function sendBranch(
	co: Coordinator,
	run: RunningRound,
	branch: readonly PendingOrder[],
	order: OrderMessage,
	options: RelayOptions,
): Promise<void> {
	const { inFlight } = run
	const sentAt = readNow()
	for (const item of branch) inFlight.add(keyOf(item))
	const clients = branch.map(({ rank }) => co.clients.get(rank)!)
	const answers = await orderBranch(clients, order, options)
	for (const [at, item] of branch.entries()) {
		inFlight.delete(keyOf(item))
		applyAnswer(co, run, item, answers[at]!, sentAt)
	}
}

/**
 * Returns the rank whose agent sends the hold order to the anchor. If the sender's VM
 * stops at that moment, both the anchor and this coordinator are still available to
 * release the group.
 */
function findHoldSender(co: Coordinator): RankClient | undefined {
	for (let rank = co.clients.size - 1; rank > ANCHOR_RANK; rank--) {
		const client = co.clients.get(rank)
		if (client && !client.isLocal && hasAgent(client)) return client
	}
	return undefined
}
