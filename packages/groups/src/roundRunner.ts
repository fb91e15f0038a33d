/** Takes one change of the map from order to order. */

import type {
	GroupRound,
	MapPlan,
	OrderAnswer,
	RankReport,
	RoundPhase,
	WantedOrder,
} from '@juniperhook/core'
import {
	ANCHOR_RANK,
	createRound,
	giveUpProbing,
	isOver,
	listWanted,
	REFUSED_TO_ARM,
	takeAnchorReport,
	takeOrderAnswer,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { Coordinator } from './coordinatorState.ts'
import { FENCE_BITS, pause, readAnchor } from './coordinatorState.ts'
import { baseOf, copyMsOf, setMap } from './mapWork.ts'
import type { RankClient } from './rankClient.ts'
import { hasAgent, orderRank, orderRankBy, orderRanksBy } from './rankClient.ts'

/** Between steps of a round that waits for a report, ms. */
const LOOK_MS = 20
/**
 * A rank that does not answer a probe for this long cannot be armed, ms: so much,
 * and so much for each rank, since one small VM reads all the answers. With 72
 * ranks, probes of a sound group took up to 88 ms.
 */
const PROBE_MS = 60
const PROBE_PER_RANK_MS = 1
/**
 * Time from the hold until all ranks are armed, ms; passes meanwhile run. It
 * covers a hold by way of a VM that has stopped and the probe that follows, so
 * that streams do not pause for it.
 */
const LEAD_MS = 120
const LEAD_PER_RANK_MS = 1.5
/** A round that cannot be prepared is given up after this time, ms. */
const PREPARE_LIMIT_MS = 4_000
/** An order that takes longer is logged, ms. */
const SLOW_ORDER_MS = 60
/** Ranks from which on orders travel by way of some of their agents. */
const RELAY_FROM = 24
/** How long a relayed order may take: this, and so many times the copying. */
const RELAY_BASE_MS = 150
const RELAY_TIMES = 2
/** After a failed round, ms. */
const FAILED_PAUSE_MS = 200

/** Weight of a new round in what rounds take besides copying. */
const OVERHEAD_WEIGHT = 0.3

/** A round under way. */
interface Run {
	readonly round: GroupRound
	/** Orders that are under way. */
	readonly asked: Set<string>
	readonly startedAt: number
	/** Most experts that one rank has to copy. */
	readonly mostNew: number
}

function nextFence(co: Coordinator): number {
	co.counter++
	const low = Math.floor(co.random() * 2 ** FENCE_BITS)
	return co.counter * 2 ** FENCE_BITS + low
}

/** Takes a round to its end, or until this coordinator is stopped. */
export async function runRound(
	co: Coordinator,
	report: RankReport,
	planned: MapPlan | undefined,
): Promise<void> {
	const fence = nextFence(co)
	const { epoch, size } = report
	const round = createRound(fence, epoch, size, planned?.placements, co.undo)
	const startedAt = readNow()
	const run: Run = {
		round,
		asked: new Set(),
		startedAt,
		mostNew: planned?.mostNew ?? 0,
	}
	co.log.write('round begun', {
		fence,
		epoch: round.epoch,
		step: report.step,
		held: report.held,
	})
	const relayed = new Set<RoundPhase>()
	let shown = round.phase
	let phaseAt = startedAt
	while (!isOver(round) && !co.stopped) {
		if (!relayed.has(round.phase)) giveByRelays(co, run)
		relayed.add(round.phase)
		for (const wanted of listWanted(round)) void give(co, run, wanted)
		await pause(isUrgent(round) ? LOOK_MS / 8 : LOOK_MS / 2)
		if (needsReport(round)) {
			const { phase } = round
			const fresh = await readAnchor(co)
			const leadMs = LEAD_MS + LEAD_PER_RANK_MS * round.ranks
			const lead = Math.max(1, Math.ceil(leadMs / co.passMs))
			if (fresh && round.phase === phase) takeAnchorReport(round, fresh, lead)
		}
		if (round.phase !== shown) phaseAt = readNow()
		co.copying = round.phase === 'preparing'
		shown = round.phase
		const probeMs = PROBE_MS + PROBE_PER_RANK_MS * round.ranks
		if (readNow() - phaseAt > probeMs) giveUpProbing(round)
		const tooLong = readNow() - startedAt > PREPARE_LIMIT_MS
		if (tooLong && isHarmless(round)) break
	}
	co.copying = false
	await endRound(co, run)
}

function needsReport(round: GroupRound): boolean {
	switch (round.phase) {
		case 'inspecting':
		case 'waiting':
		case 'settling':
			return true
		case 'holding':
			return round.step === 0
		case 'fencing':
		case 'preparing':
		case 'probing':
		case 'arming':
		case 'disarming':
		case 'releasing':
		case 'done':
		case 'failed':
			return false
		default:
			return round.phase satisfies never
	}
}

/** Whether the group is held. */
function isUrgent({ phase }: GroupRound): boolean {
	return phase === 'probing' || phase === 'arming' || phase === 'releasing'
}

/** Whether a round may be left where it is: nothing is held or armed by it. */
function isHarmless({ phase }: GroupRound): boolean {
	return phase === 'fencing' || phase === 'preparing' || phase === 'waiting'
}

/** Gives an order unless the same one is under way. */
async function give(
	co: Coordinator,
	run: Run,
	wanted: WantedOrder,
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

function keyOf({ rank, order }: WantedOrder): string {
	return `${rank} ${order.type} ${'step' in order ? order.step : ''}`
}

function takeAnswer(
	co: Coordinator,
	{ round }: Run,
	wanted: WantedOrder,
	answer: OrderAnswer,
	askedAt: number,
): void {
	const { rank, order } = wanted
	const { phase } = round
	takeOrderAnswer(round, wanted, answer)
	const tookMs = Math.round(readNow() - askedAt)
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
 * Gives the ranks of a large group what they all are to be given by way of some
 * of their agents; those that do not answer are asked directly afterwards.
 */
function giveByRelays(co: Coordinator, run: Run): void {
	const reached = listWanted(run.round).filter(({ rank }) => {
		const client = co.clients.get(rank)
		return client && !client.home && hasAgent(client)
	})
	if (reached.length < RELAY_FROM) return
	const part = Math.ceil(Math.sqrt(reached.length))
	for (let from = 0; from < reached.length; from += part) {
		const [first, ...rest] = reached.slice(from, from + part)
		void give(co, run, first!)
		if (rest.length > 0) void giveBy(co, run, first!, rest)
	}
}

/** Gives an order to several ranks by way of the first one's agent. */
async function giveBy(
	co: Coordinator,
	run: Run,
	by: WantedOrder,
	wanted: readonly WantedOrder[],
): Promise<void> {
	const { asked } = run
	const askedAt = readNow()
	for (const one of wanted) asked.add(keyOf(one))
	const clients = wanted.map(({ rank }) => co.clients.get(rank)!)
	const relay = co.clients.get(by.rank)!
	const copyingMs = by.order.type === 'prepare' ? copyingMsOf(co, run) : 0
	const waitMs = RELAY_BASE_MS + RELAY_TIMES * copyingMs
	const base = baseOf(co)
	const answers = await orderRanksBy(relay, clients, by.order, base, waitMs)
	for (const [at, one] of wanted.entries()) {
		asked.delete(keyOf(one))
		takeAnswer(co, run, one, answers[at]!, askedAt)
	}
}

/** Time that the experts of this round take to copy, ms. */
function copyingMsOf({ group }: Coordinator, run: Run): number {
	return group ? run.mostNew * copyMsOf(group) : 0
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

function noteOverhead(co: Coordinator, tookMs: number): void {
	co.overheadMs += OVERHEAD_WEIGHT * (Math.max(0, tookMs) - co.overheadMs)
}

async function endRound(co: Coordinator, run: Run): Promise<void> {
	const { round, startedAt } = run
	co.log.write('round over', {
		fence: round.fence,
		phase: round.phase,
		reason: round.reason,
		inherited: round.inherited,
		step: round.step,
		tookMs: Math.round(readNow() - startedAt),
	})
	co.undo = round.reason === REFUSED_TO_ARM
	if (round.phase !== 'done') {
		// Another coordinator may have a higher counter than any report shows.
		co.counter += 1 + Math.floor(co.random() * 8)
		await pause(FAILED_PAUSE_MS * (0.5 + co.random()))
		return
	}
	const ours = round.map && !round.inherited && round.version > 0
	if (!ours) return
	noteOverhead(co, readNow() - startedAt - copyingMsOf(co, run))
	setMap(co, round.map!, { epoch: round.epoch, map: round.version })
}
