/**
 * A group's coordinator: it reads what experts are in demand, plans, and takes
 * the group from map to map, one round at a time.
 */

import type {
	GroupMap,
	GroupRound,
	Random,
	RankReport,
	SetPlan,
	WantedOrder,
} from '@juniperhook/core'
import {
	ANCHOR_RANK,
	allowedFactor,
	createRound,
	dealExperts,
	fenceOfVersion,
	giveUpProbing,
	isOver,
	isWorthwhile,
	listWanted,
	passFactor,
	planSet,
	REFUSED_TO_ARM,
	skewOfSet,
	takeAnchorReport,
	takeOrderAnswer,
	targetFactor,
} from '@juniperhook/core'
import type { EventLog } from '@juniperhook/runtime'
import { readNow } from '@juniperhook/runtime'
import type { Demand } from './demand.ts'
import { createDemand, decayDemand, shareOfSet, takeCounts } from './demand.ts'
import type { EnginePort, PublishedGroup } from './ports.ts'
import type { RankClient } from './rankClient.ts'
import {
	closeRankClient,
	hasAgent,
	noteSilent,
	openRankClient,
	orderRank,
	orderRankBy,
	placementOfRank,
	reportRank,
	sampleRank,
} from './rankClient.ts'

/** Between readings of counts, ms: a few passes. */
const COUNTS_MS = 200
/** Ranks whose counts are read; the others' requests are like theirs. */
const MAX_COUNTED = 16
/** Between looks at the anchor while no round is under way, ms. */
const IDLE_LOOK_MS = 80
/** Between steps of a round that waits for a report, ms. */
const LOOK_MS = 20
/** A rank that does not answer a probe for this long cannot be armed, ms. */
const PROBE_MS = 60
/**
 * Time from the hold until all ranks are armed, ms; passes meanwhile run. It
 * covers a hold by way of a VM that has stopped and the probe that follows, so
 * that streams do not pause for it.
 */
const LEAD_MS = 120
/** A round that cannot be prepared is given up after this time, ms. */
const PREPARE_LIMIT_MS = 4_000
/** Choices that must have been seen before the first plan. */
const MIN_SEEN = 20_000
/** Weight of a new reading of what ranks hold. */
const HELD_WEIGHT = 0.3
/** Fences are a counter and this many random low bits, so that none is doubled. */
const FENCE_BITS = 12
/** An order that takes longer is logged, ms. */
const SLOW_ORDER_MS = 60
/** After a failed round, ms. */
const FAILED_PAUSE_MS = 200

/** A coordinator's state. */
export interface Coordinator {
	readonly port: EnginePort
	readonly log: EventLog
	readonly random: Random
	readonly homeRank: number
	readonly agentPort: number
	readonly clients: Map<number, RankClient>
	group: PublishedGroup | undefined
	demand: Demand
	/** Requests that a rank holds, smoothed. */
	held: number
	/** How slow each rank is; 1 is its usual speed. */
	readonly paces: Map<number, number>
	/** Told after each reading, by engine address. */
	onPaces: (paces: ReadonlyMap<string, number>) => void
	/** When the anchor's engine stopped answering, ms; 0 while it answers. */
	lostAt: number
	/** Map in use, if known, and the epoch and version it belongs to. */
	map: GroupMap | undefined
	mapEpoch: number
	mapVersion: number
	/** Highest counter part of a fence that is known. */
	counter: number
	undo: boolean
	passMs: number
	lastReport: { report: RankReport; at: number } | undefined
	stopped: boolean
}

/** Makes a coordinator that has not begun. */
export function createCoordinator(
	port: EnginePort,
	log: EventLog,
	random: Random,
	homeRank: number,
	agentPort: number,
): Coordinator {
	return {
		port,
		log,
		random,
		homeRank,
		agentPort,
		clients: new Map(),
		group: undefined,
		demand: createDemand(0, 0),
		held: 0,
		paces: new Map(),
		onPaces: () => {},
		lostAt: 0,
		map: undefined,
		mapEpoch: -1,
		mapVersion: -1,
		counter: 0,
		undo: false,
		passMs: 50,
		lastReport: undefined,
		stopped: false,
	}
}

/** Fits the coordinator to a group as published. */
export function fitGroup(co: Coordinator, group: PublishedGroup): void {
	const { layout } = group
	const { sets, experts } = co.demand
	if (sets !== layout.sets || experts !== layout.experts)
		co.demand = createDemand(layout.sets, layout.experts)
	co.group = group
	// A rank that is not listed may only have lapsed: it keeps its client.
	for (const member of group.members) {
		const known = co.clients.get(member.rank)
		if (known?.member.engine === member.engine) continue
		if (known) closeRankClient(known)
		const home = member.rank === co.homeRank
		const client = openRankClient(co.port, member, co.agentPort, home)
		co.clients.set(member.rank, client)
	}
}

/** Calls a rank's engine without its agent for a while. */
export function bypassAgent(co: Coordinator, rank: number): void {
	const client = co.clients.get(rank)
	if (client) noteSilent(client)
}

/** Coordinates until it is stopped. */
export async function runCoordinator(co: Coordinator): Promise<void> {
	let countedAt = 0
	while (!co.stopped) {
		if (readNow() - countedAt >= COUNTS_MS) {
			countedAt = readNow()
			await readDemand(co)
		}
		const report = await readAnchor(co)
		if (report && isWhole(co, report)) await improve(co, report)
		await pause(IDLE_LOOK_MS)
	}
	for (const client of co.clients.values()) closeRankClient(client)
	co.clients.clear()
}

/** Tells a coordinator to end; a change in the making is left as it stands. */
export function stopCoordinator(co: Coordinator): void {
	co.stopped = true
}

function isWhole(co: Coordinator, report: RankReport): boolean {
	return report.open && co.clients.size === report.size
}

async function readDemand(co: Coordinator): Promise<void> {
	decayDemand(co.demand, readNow())
	const counted = [...co.clients.values()].slice(0, MAX_COUNTED)
	const busy: number[] = []
	await Promise.all(
		counted.map(async client => {
			const sample = await sampleRank(client)
			if (!sample) return
			takeCounts(co.demand, client.member.rank, sample)
			busy.push(sample.running + sample.waiting)
			co.paces.set(client.member.rank, sample.pace)
		}),
	)
	const paces = counted.map(
		({ member }) => [member.engine, co.paces.get(member.rank) ?? 1] as const,
	)
	co.onPaces(new Map(paces))
	if (busy.length === 0) return
	const mean = busy.reduce((sum, held) => sum + held, 0) / busy.length
	co.held += (mean - co.held) * HELD_WEIGHT
}

/** A fresh report of the anchor; passes are timed on the way. */
async function readAnchor(co: Coordinator): Promise<RankReport | undefined> {
	const client = co.clients.get(ANCHOR_RANK)
	if (!client) return undefined
	const report = await reportRank(client)
	const at = readNow()
	noteReached(co, report !== undefined, at)
	if (!report) return undefined
	const last = co.lastReport
	const passes = last ? report.step - last.report.step : 0
	if (last && passes > 0 && last.report.epoch === report.epoch) {
		const took = (at - last.at) / passes
		co.passMs += (Math.min(took, 500) - co.passMs) / 4
	}
	if (!last || passes !== 0) co.lastReport = { report, at }
	const versions = [report.map, report.prepared, report.armed?.version]
	for (const version of versions)
		co.counter = Math.max(
			co.counter,
			Math.floor(fenceOfVersion(version ?? 0) / 2 ** FENCE_BITS),
		)
	return report
}

/** Logs when the anchor's engine is lost or answers again. */
function noteReached(co: Coordinator, reached: boolean, now: number): void {
	if (reached && co.lostAt > 0)
		co.log.write('anchor back', { awayMs: Math.round(now - co.lostAt) })
	if (!reached && co.lostAt === 0) co.log.write('anchor lost')
	if (reached) co.lostAt = 0
	else co.lostAt ||= now
}

/** Settles what an older round left, or makes the map better if that pays. */
async function improve(co: Coordinator, report: RankReport): Promise<void> {
	if (report.held !== undefined) {
		await runRound(co, report, undefined)
		return
	}
	if (report.armed !== undefined) return
	const map = await readMap(co, report)
	if (!map || co.demand.seen < MIN_SEEN) return
	const better = await planMap(co, map)
	if (better) await runRound(co, report, better)
}

/** The map in use, from memory or from the ranks. */
async function readMap(
	co: Coordinator,
	report: RankReport,
): Promise<GroupMap | undefined> {
	if (co.map && co.mapEpoch === report.epoch && co.mapVersion === report.map)
		return co.map
	const layout = co.group?.layout
	if (!layout) return undefined
	if (report.map === 0) {
		const dealt = dealExperts(report.size, layout)
		setMap(
			co,
			Array.from({ length: layout.sets }, () => dealt),
			report,
		)
		return co.map
	}
	const ranks = await Promise.all(
		Array.from({ length: report.size }, (_, rank) =>
			placementOfRank(co.clients.get(rank)!),
		),
	)
	const known = ranks.every(
		rank => rank?.epoch === report.epoch && rank.map === report.map,
	)
	if (!known) return undefined
	const sets = Array.from({ length: layout.sets }, (_, set) =>
		ranks.map(rank => rank!.experts[set]!),
	)
	setMap(co, sets, report)
	return co.map
}

function setMap(
	co: Coordinator,
	map: GroupMap,
	{ epoch, map: version }: { epoch: number; map: number },
): void {
	co.map = map
	co.mapEpoch = epoch
	co.mapVersion = version
}

/** A better map, if passes need it and its gain outweighs the copying. */
async function planMap(
	co: Coordinator,
	map: GroupMap,
): Promise<GroupMap | undefined> {
	const { group, demand } = co
	if (!group) return undefined
	const { layout } = group
	const startedAt = readNow()
	const shares = map.map((_, set) => shareOfSet(demand, set))
	const paces = map[0]!.map((_, rank) => co.paces.get(rank) ?? 1)
	const skews = map.map((placement, set) =>
		skewOfSet(placement, shares[set]!, layout, paces),
	)
	const before = passFactor(skews, layout.expertShare)
	const busy = { factor: before, passMs: co.passMs, held: co.held }
	const allowed = allowedFactor(busy, group)
	if (before <= allowed) return undefined
	const target = targetFactor(allowed)
	const plans: SetPlan[] = []
	for (const [set, placement] of map.entries()) {
		plans.push(planSet(placement, shares[set]!, layout, paces, target))
		// A set of a large group takes tens of ms: others are answered between.
		await new Promise(resolve => setImmediate(resolve))
	}
	const after = passFactor(
		plans.map(plan => plan.after),
		layout.expertShare,
	)
	if (!isWorthwhile(before, after)) return undefined
	co.log.write('map planned', {
		before: round3(before),
		after: round3(after),
		allowed: round3(allowed),
		copies: plans.reduce((sum, plan) => sum + plan.copies, 0),
		passMs: Math.round(co.passMs),
		held: round3(co.held),
		slow: paces.filter(pace => pace > 1.2).length,
		tookMs: Math.round(readNow() - startedAt),
		of: co.mapVersion,
	})
	return plans.map(plan => plan.placement)
}

function round3(value: number): number {
	return Number(value.toFixed(3))
}

function nextFence(co: Coordinator): number {
	co.counter++
	const low = Math.floor(co.random() * 2 ** FENCE_BITS)
	return co.counter * 2 ** FENCE_BITS + low
}

/** Takes a round to its end, or until this coordinator is stopped. */
async function runRound(
	co: Coordinator,
	report: RankReport,
	map: GroupMap | undefined,
): Promise<void> {
	const fence = nextFence(co)
	const round = createRound(fence, report.epoch, report.size, map, co.undo)
	const startedAt = readNow()
	co.log.write('round begun', {
		fence,
		epoch: round.epoch,
		step: report.step,
		held: report.held,
	})
	const asked = new Set<string>()
	let shown = round.phase
	let phaseAt = startedAt
	while (!isOver(round) && !co.stopped) {
		for (const wanted of listWanted(round)) void give(co, round, wanted, asked)
		await pause(isUrgent(round) ? LOOK_MS / 8 : LOOK_MS / 2)
		if (needsReport(round)) {
			const { phase } = round
			const fresh = await readAnchor(co)
			const lead = Math.max(1, Math.ceil(LEAD_MS / co.passMs))
			if (fresh && round.phase === phase) takeAnchorReport(round, fresh, lead)
		}
		if (round.phase !== shown) phaseAt = readNow()
		shown = round.phase
		if (readNow() - phaseAt > PROBE_MS) giveUpProbing(round)
		const tooLong = readNow() - startedAt > PREPARE_LIMIT_MS
		if (tooLong && isHarmless(round)) break
	}
	await endRound(co, round, startedAt)
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
	round: GroupRound,
	wanted: WantedOrder,
	asked: Set<string>,
): Promise<void> {
	const { rank, order } = wanted
	const key = `${rank} ${order.type} ${'step' in order ? order.step : ''}`
	const client = co.clients.get(rank)
	if (!client || asked.has(key)) return
	asked.add(key)
	const askedAt = readNow()
	const holder = order.type === 'hold' ? findHolder(co) : undefined
	const answer = holder
		? await orderRankBy(client, holder, order)
		: await orderRank(client, order)
	asked.delete(key)
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

async function endRound(
	co: Coordinator,
	round: GroupRound,
	startedAt: number,
): Promise<void> {
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
	if (ours) setMap(co, round.map!, { epoch: round.epoch, map: round.version })
}

function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
