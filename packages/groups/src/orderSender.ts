/**
 * Gives the ranks what a round wants of them: by way of their agents, from one to
 * the next, and straight to engines whose agents cannot be reached.
 */

import type { GroupRound, OrderAnswer, PendingOrder } from '@juniperhook/core'
import {
	ANCHOR_RANK,
	applyOrderAnswer,
	listPendingOrders,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { baseOf, copyMsOf } from './mapPlanning.ts'
import type { OrderMessage } from './orderMessage.ts'
import { sizeOfMessage, toOrderMessage } from './orderMessage.ts'
import type { TreeLoad } from './orderTree.ts'
import {
	chooseFanOut,
	longestHopMs,
	predictSpreadMs,
	splitBranches,
} from './orderTree.ts'
import type { RankClient, RelayTerms } from './rankClient.ts'
import { hasAgent, orderBranch, orderRank, orderRankBy } from './rankClient.ts'

/** An order that takes longer is logged, ms. */
const SLOW_ORDER_MS = 60
/** An order to all ranks but for a map: its JSON, bytes. */
const SMALL_ORDER_BYTES = 200
/** Fewer ranks than this are told one by one: a tree would add a hop. */
const LEAST_SPREAD = 4
/** How long an agent and its engine may take: two calls left unanswered, ms. */
const WORK_MS = 300
/**
 * The same for a map: nothing waits for it, and so many times what is to be
 * copied, since an order that is given twice makes an engine refuse.
 */
const PREPARE_WORK_MS = 1_000
const COPYING_TIMES = 2
/**
 * How long a hop may take, there and back: so many times what it should, for a
 * link that others use too, and a packet that is lost and sent again, ms.
 */
const HOP_TIMES = 3
const LOST_PACKET_MS = 150

/** A round under way. */
export interface Run {
	readonly round: GroupRound
	/** Orders that are under way. */
	readonly asked: Set<string>
	/** Times that orders of the present phase were given to ranks. */
	tries: number
	/** Most experts that one rank has to copy. */
	readonly mostNew: number
	/** When a rank last confirmed anything, ms of elapsed time. */
	progressAt: number
}

/** Time for a small order to reach all ranks and for their answers, ms. */
export function tripMs({ bytesPerMs }: Coordinator, ranks: number): number {
	const load = { orderBytes: SMALL_ORDER_BYTES, bytesPerMs }
	return 2 * predictSpreadMs(ranks, chooseFanOut(ranks, load), load)
}

/** Time that the experts of this round take to copy, ms. */
export function copyingMsOf({ group }: Coordinator, run: Run): number {
	return group ? run.mostNew * copyMsOf(group) : 0
}

/** Gives all orders that are wanted and not under way. */
export function giveAll(co: Coordinator, run: Run): void {
	const { asked } = run
	const wanted = listPendingOrders(run.round).filter(
		one => !asked.has(keyOf(one)),
	)
	if (wanted.length === 0) return
	const spread = wanted.filter(one => isSpread(co, one))
	const isTree = spread.length >= LEAST_SPREAD
	for (const one of wanted)
		if (!isTree || !isSpread(co, one)) void give(co, run, one)
	if (isTree) giveByTree(co, run, spread)
}

/** Whether an order goes the way that others like it go. */
function isSpread(co: Coordinator, { rank, order }: PendingOrder): boolean {
	const client = co.clients.get(rank)
	return (
		client !== undefined &&
		!client.home &&
		hasAgent(client) &&
		order.type !== 'hold'
	)
}

/** Gives an order unless the same one is under way. */
async function give(
	co: Coordinator,
	run: Run,
	wanted: PendingOrder,
): Promise<void> {
	const { asked } = run
	const { rank, order } = wanted
	const key = keyOf(wanted)
	const client = co.clients.get(rank)
	if (!client || asked.has(key)) return
	asked.add(key)
	const askedAt = readNow()
	const holder = order.type === 'hold' ? findHolder(co) : undefined
	const answer = holder
		? await orderRankBy(client, holder, order)
		: await orderRank(client, order, baseOf(co))
	asked.delete(key)
	takeAnswer(co, run, wanted, answer, askedAt)
}

function keyOf({ rank, order }: PendingOrder): string {
	return `${rank} ${order.type} ${'step' in order ? order.step : ''}`
}

function takeAnswer(
	co: Coordinator,
	run: Run,
	wanted: PendingOrder,
	answer: OrderAnswer,
	askedAt: number,
): void {
	const { round } = run
	const { rank, order } = wanted
	const { phase } = round
	applyOrderAnswer(round, wanted, answer)
	const now = readNow()
	if (answer === 'done') run.progressAt = readElapsed()
	const tookMs = Math.round(now - askedAt)
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
 * Gives the same order to many ranks, from agent to agent. Those that gave no
 * answer are given it again along another tree: who was last comes first then,
 * so that nobody stands behind the same silent agent twice.
 */
function giveByTree(
	co: Coordinator,
	run: Run,
	spread: readonly PendingOrder[],
): void {
	const { order: wanted } = spread[0]!
	const isAgain = run.tries % 2 === 1
	run.tries++
	const order = toOrderMessage(wanted, baseOf(co))
	const { bytesPerMs } = co
	const load: TreeLoad = { orderBytes: sizeOfMessage(order), bytesPerMs }
	const { length } = spread
	const fanOut = chooseFanOut(length, load)
	const prepareMs = PREPARE_WORK_MS + COPYING_TIMES * copyingMsOf(co, run)
	const terms: RelayTerms = {
		fanOut,
		workMs: wanted.type === 'prepare' ? prepareMs : WORK_MS,
		hopMs: HOP_TIMES * longestHopMs(length, fanOut, load) + LOST_PACKET_MS,
	}
	const ordered = isAgain ? [...spread].reverse() : spread
	for (const branch of splitBranches(ordered, fanOut))
		void giveBranch(co, run, branch, order, terms)
}

async function giveBranch(
	co: Coordinator,
	run: Run,
	branch: readonly PendingOrder[],
	order: OrderMessage,
	terms: RelayTerms,
): Promise<void> {
	const { asked } = run
	const askedAt = readNow()
	for (const one of branch) asked.add(keyOf(one))
	const clients = branch.map(({ rank }) => co.clients.get(rank)!)
	const answers = await orderBranch(clients, order, terms)
	for (const [at, one] of branch.entries()) {
		asked.delete(keyOf(one))
		takeAnswer(co, run, one, answers[at]!, askedAt)
	}
}

/**
 * The rank whose agent asks for the hold. Should its VM stop right then, both
 * the anchor and this coordinator can still be reached to let the group go.
 */
function findHolder(co: Coordinator): RankClient | undefined {
	for (let rank = co.clients.size - 1; rank > ANCHOR_RANK; rank--) {
		const client = co.clients.get(rank)
		if (client && !client.home && hasAgent(client)) return client
	}
	return undefined
}
