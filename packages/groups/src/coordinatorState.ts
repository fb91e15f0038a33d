/** State of a coordinator. */

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
import type { PassTiming } from './passTiming.ts'
import { createPassTiming } from './passTiming.ts'
import type { EnginePort, PublishedGroup } from './ports.ts'
import type { RankClient } from './rankClient.ts'
import {
	closeRankClient,
	markUnresponsive,
	openRankClient,
	readRankReport,
} from './rankClient.ts'
import type { BaseMapRequest } from './rankMessages.ts'

/** Number of random low bits of a fence, below a counter, that make it unique. */
export const FENCE_BITS = 12

/** Assumed overhead of a round before the first one, ms: a few passes. */
const INITIAL_OVERHEAD_MS = 300
/** Assumed interval between demand shifts before the first one, ms. */
const INITIAL_STEADY_MS = 10_000

/** Status of a group for the entries. */
export interface CoordinatedStatus {
	/** Slowdown factors of the ranks, by engine address. */
	readonly slowdowns: ReadonlyMap<string, number>
	/** Maximum number of requests in flight per rank; undefined for no limit. */
	readonly maxInFlightPerRank: number | undefined
	/** Whether the group is formed and accepts requests. */
	readonly open: boolean
}

/** State of a coordinator. */
export interface Coordinator {
	readonly port: EnginePort
	readonly log: EventLog
	readonly random: Random
	/** Rank of the engine beside this process. */
	readonly localRank: number
	readonly agentPort: number
	/** Bandwidth of an agent's link, bytes per ms, assumed the same for the whole group. */
	readonly bytesPerMs: number
	readonly clients: Map<number, RankClient>
	group: PublishedGroup | undefined
	demand: Demand
	/** Index of the rank at which the next round-robin load reading starts. */
	nextPolled: number
	/** Mean number of requests in flight per rank, smoothed. */
	inFlightPerRank: number
	/** Slowdown factor by rank; 1 is the usual speed. */
	readonly slowdowns: Map<number, number>
	/** Current status for the entries. */
	status: CoordinatedStatus
	/** Called after each demand reading, and when the group opens or breaks. */
	onStatus: (status: CoordinatedStatus) => void
	/** Time at which the anchor's engine stopped answering, ms; 0 while it answers. */
	anchorLostAt: number
	/** Map in use, if known, with its epoch and version. */
	map: GroupMap | undefined
	mapEpoch: number
	mapVersion: number
	/** Version of the last map that was read and is not usable. */
	refusedMap: number | undefined
	/** Highest known counter of a fence. */
	fenceCounter: number
	/** Whether the next round rolls back a change that a rank refused. */
	undo: boolean
	/** Time of a pass, smoothed, ms. */
	passMs: number
	/** Measurement of pass times, and the model fitted to them. */
	readonly passTiming: PassTiming
	readonly fitter: PassFitter
	/** Whether ranks are copying experts for a round. */
	copying: boolean
	/** Whether a round is in a phase that delays passes if it takes too long. */
	urgent: boolean
	/** Expected time from the start of holding until all ranks are armed, ms. */
	armingMs: number
	/** Time from a plan until its map is in use, without copying, smoothed, ms. */
	overheadMs: number
	/** Minimum agreement of new counts with the demand history since the last log line. */
	minAgreement: number
	/** Copying time of the last map change, ms; undefined before the first. */
	lastCopyingMs: number | undefined
	/** Interval between demand shifts, smoothed, ms. */
	steadyMs: number
	/** Time of a pass relative to a balanced one right after demand shifts, smoothed. */
	shiftedFactor: number
	/** The same outside the adaptation to a shift, smoothed; undefined before the first. */
	settledFactor: number | undefined
	/** Time of the last observed demand shift, ms. */
	shiftedAt: number
	lastReport: { report: RankReport; at: number } | undefined
	stopped: boolean
}

/** Creates a coordinator that is not running yet. */
export function createCoordinator(
	port: EnginePort,
	log: EventLog,
	random: Random,
	localRank: number,
	agentPort: number,
	bytesPerMs: number,
): Coordinator {
	return {
		port,
		log,
		random,
		localRank,
		agentPort,
		bytesPerMs,
		clients: new Map(),
		group: undefined,
		demand: createDemand(0, 0),
		nextPolled: 0,
		inFlightPerRank: 0,
		slowdowns: new Map(),
		status: { slowdowns: new Map(), maxInFlightPerRank: undefined, open: true },
		onStatus: () => {},
		anchorLostAt: 0,
		map: undefined,
		mapEpoch: -1,
		mapVersion: -1,
		refusedMap: undefined,
		fenceCounter: 0,
		undo: false,
		passMs: 50,
		passTiming: createPassTiming(),
		fitter: createPassFitter(),
		copying: false,
		urgent: false,
		armingMs: 0,
		overheadMs: INITIAL_OVERHEAD_MS,
		lastCopyingMs: undefined,
		minAgreement: 1,
		steadyMs: INITIAL_STEADY_MS,
		shiftedFactor: 1,
		settledFactor: undefined,
		shiftedAt: Number.NEGATIVE_INFINITY,
		lastReport: undefined,
		stopped: false,
	}
}

/** Applies the published properties of a group to a coordinator. */
export function applyGroup(co: Coordinator, group: PublishedGroup): void {
	const { layout } = group
	const { sets, experts } = co.demand
	if (sets !== layout.sets || experts !== layout.experts)
		co.demand = createDemand(layout.sets, layout.experts)
	co.group = group
	const baseMap = (request: BaseMapRequest) => packCurrentMap(co, request)
	// The listing of a rank may have expired only temporarily, so it keeps its client.
	for (const member of group.members) {
		const known = co.clients.get(member.rank)
		if (known?.member.engine === member.engine) continue
		if (known) closeRankClient(known)
		const isLocal = member.rank === co.localRank
		const client = openRankClient(co.port, member, co.agentPort, isLocal, {
			baseMap,
		})
		co.clients.set(member.rank, client)
	}
}

/** Packs the map in use for an agent that requests it; null if it requests another. */
function packCurrentMap(
	{ map, mapEpoch, mapVersion }: Coordinator,
	{ epoch, version }: BaseMapRequest,
): string | null {
	return map && epoch === mapEpoch && version === mapVersion
		? packMap(map)
		: null
}

/** Bypasses the agent of a rank for a while. */
export function bypassAgent(co: Coordinator, rank: number): void {
	const client = co.clients.get(rank)
	if (client) markUnresponsive(client)
}

/** Reads a report of the anchor and updates the mean pass time and the fence counter. */
export async function readAnchor(
	co: Coordinator,
): Promise<RankReport | undefined> {
	const client = co.clients.get(ANCHOR_RANK)
	if (!client) return undefined
	const report = await readRankReport(client)
	const at = readNow()
	recordAnchorReachable(co, report !== undefined, at)
	if (!report) return undefined
	if (report.open !== co.status.open) updateStatus(co, { open: report.open })
	const last = co.lastReport
	const passes = last ? report.step - last.report.step : 0
	if (last && passes > 0 && last.report.epoch === report.epoch) {
		const took = (at - last.at) / passes
		co.passMs += (Math.min(took, 500) - co.passMs) / 4
	}
	if (!last || passes !== 0) co.lastReport = { report, at }
	const versions = [report.map, report.prepared, report.armed?.version]
	for (const version of versions)
		co.fenceCounter = Math.max(
			co.fenceCounter,
			Math.floor(fenceOfVersion(version ?? 0) / 2 ** FENCE_BITS),
		)
	return report
}

/** Updates parts of the status and notifies its listener. */
export function updateStatus(
	co: Coordinator,
	changed: Partial<CoordinatedStatus>,
): void {
	co.status = { ...co.status, ...changed }
	co.onStatus(co.status)
}

/** Records whether the anchor's engine answers, and logs changes. */
function recordAnchorReachable(
	co: Coordinator,
	reachable: boolean,
	now: number,
): void {
	if (reachable && co.anchorLostAt > 0)
		co.log.write('anchor back', { awayMs: Math.round(now - co.anchorLostAt) })
	if (!reachable && co.anchorLostAt === 0) co.log.write('anchor lost')
	if (reachable) co.anchorLostAt = 0
	else co.anchorLostAt ||= now
}

/** Resolves after a delay. */
export function delay(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
