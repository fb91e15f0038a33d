/** What a coordinator knows of its group, and its way to the ranks. */

import type {
	GroupMap,
	PassFitter,
	Random,
	RankReport,
} from '@juniperhook/core'
import {
	ANCHOR_RANK,
	createPassFitter,
	fenceOfVersion,
} from '@juniperhook/core'
import type { EventLog } from '@juniperhook/runtime'
import { readNow } from '@juniperhook/runtime'
import type { Demand } from './demand.ts'
import { createDemand } from './demand.ts'
import { packMap } from './orderMessage.ts'
import type { EnginePort, PublishedGroup } from './ports.ts'
import type { RankClient } from './rankClient.ts'
import {
	closeRankClient,
	noteSilent,
	openRankClient,
	reportRank,
} from './rankClient.ts'
import type { BaseMapRequest } from './rankMessages.ts'
import type { PassWatch } from './passTiming.ts'
import { createPassWatch } from './passTiming.ts'

/** Fences are a counter and this many random low bits, so that none is doubled. */
export const FENCE_BITS = 12

/** Overhead of a round before one was seen: a few passes, ms. */
const FIRST_OVERHEAD_MS = 300
/** How long demand is taken to be steady before a shift was seen, ms. */
const FIRST_STEADY_MS = 10_000

/** What a coordinator finds out that entries are to know. */
export interface CoordinatedStatus {
	/** How slow ranks are, by engine address. */
	readonly paces: ReadonlyMap<string, number>
	/** Requests that a rank may hold; undefined for as many as fit. */
	readonly allowedHeld: number | undefined
	/** Whether the group runs. */
	readonly open: boolean
}

/** A coordinator's state. */
export interface Coordinator {
	readonly port: EnginePort
	readonly log: EventLog
	readonly random: Random
	readonly homeRank: number
	readonly agentPort: number
	/** Pace of an agent's link, bytes a ms; those of a group are taken as alike. */
	readonly bytesPerMs: number
	readonly clients: Map<number, RankClient>
	group: PublishedGroup | undefined
	demand: Demand
	/** Where the next turn of asking ranks how busy they are begins. */
	turn: number
	/** Requests that a rank holds, smoothed. */
	held: number
	/** How slow each rank is; 1 is its usual speed. */
	readonly paces: Map<number, number>
	/** What entries are to know of the group, as last found. */
	status: CoordinatedStatus
	/** Told after each reading, and when the group opens or breaks. */
	onStatus: (status: CoordinatedStatus) => void
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
	/** Passes that are being timed, and the model fitted to them. */
	readonly passes: PassWatch
	readonly fitter: PassFitter
	/** Whether ranks copy experts for a round. */
	copying: boolean
	/** Whether a round is in phases that passes wait for if they take long. */
	urgent: boolean
	/** From the wish to hold until all ranks are armed, as seen lately, ms. */
	armingMs: number
	/** From a plan until its map is in use, without copying, smoothed, ms. */
	overheadMs: number
	/** Least agreement of new counts with known demand since it was logged. */
	agreement: number
	/** What ranks copied for the last change, ms; undefined before the first. */
	copyingMs: number | undefined
	/** Between two shifts of demand, smoothed, ms. */
	steadyMs: number
	/** Passes over balanced ones right after shifts, smoothed. */
	shiftedFactor: number
	/** Passes over balanced ones while no shift is being cured, smoothed. */
	calmFactor: number | undefined
	/** When demand was last seen to shift, ms. */
	shiftedAt: number
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
	bytesPerMs: number,
): Coordinator {
	return {
		port,
		log,
		random,
		homeRank,
		agentPort,
		bytesPerMs,
		clients: new Map(),
		group: undefined,
		demand: createDemand(0, 0),
		turn: 0,
		held: 0,
		paces: new Map(),
		status: { paces: new Map(), allowedHeld: undefined, open: true },
		onStatus: () => {},
		lostAt: 0,
		map: undefined,
		mapEpoch: -1,
		mapVersion: -1,
		counter: 0,
		undo: false,
		passMs: 50,
		passes: createPassWatch(),
		fitter: createPassFitter(),
		copying: false,
		urgent: false,
		armingMs: 0,
		overheadMs: FIRST_OVERHEAD_MS,
		copyingMs: undefined,
		agreement: 1,
		steadyMs: FIRST_STEADY_MS,
		shiftedFactor: 1,
		calmFactor: undefined,
		shiftedAt: Number.NEGATIVE_INFINITY,
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
	const baseMap = (wanted: BaseMapRequest) => packMapInUse(co, wanted)
	// A rank that is not listed may only have lapsed: it keeps its client.
	for (const member of group.members) {
		const known = co.clients.get(member.rank)
		if (known?.member.engine === member.engine) continue
		if (known) closeRankClient(known)
		const home = member.rank === co.homeRank
		const client = openRankClient(co.port, member, co.agentPort, home, {
			baseMap,
		})
		co.clients.set(member.rank, client)
	}
}

/** The map in use for an agent that lacks it; null if another one is asked for. */
function packMapInUse(
	{ map, mapEpoch, mapVersion }: Coordinator,
	{ epoch, version }: BaseMapRequest,
): string | null {
	return map && epoch === mapEpoch && version === mapVersion
		? packMap(map)
		: null
}

/** Calls a rank's engine without its agent for a while. */
export function bypassAgent(co: Coordinator, rank: number): void {
	const client = co.clients.get(rank)
	if (client) noteSilent(client)
}

/** A fresh report of the anchor; passes are timed on the way. */
export async function readAnchor(
	co: Coordinator,
): Promise<RankReport | undefined> {
	const client = co.clients.get(ANCHOR_RANK)
	if (!client) return undefined
	const report = await reportRank(client)
	const at = readNow()
	noteReached(co, report !== undefined, at)
	if (!report) return undefined
	if (report.open !== co.status.open) noteStatus(co, { open: report.open })
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

/** Notes part of what entries are to know, and has it told. */
export function noteStatus(
	co: Coordinator,
	found: Partial<CoordinatedStatus>,
): void {
	co.status = { ...co.status, ...found }
	co.onStatus(co.status)
}

/** Logs when the anchor's engine is lost or answers again. */
function noteReached(co: Coordinator, reached: boolean, now: number): void {
	if (reached && co.lostAt > 0)
		co.log.write('anchor back', { awayMs: Math.round(now - co.lostAt) })
	if (!reached && co.lostAt === 0) co.log.write('anchor lost')
	if (reached) co.lostAt = 0
	else co.lostAt ||= now
}

/** Waits. */
export function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
