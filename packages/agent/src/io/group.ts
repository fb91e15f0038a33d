/**
 * The agents' part in running a group of ranks. Every agent serves the map protocol for its
 * rank. The agent of the first rank plans expert loads and coordinates map changes. Any
 * agent whose rank remains in doubt starts a recovery round.
 */

import { randomBytes } from 'node:crypto'
import type {
	Config,
	LayerPlan,
	RankReply,
	RankRequest,
} from '@juniperhook/core'
import {
	createExpertEstimate,
	createMapCoordinator,
	listExpertsByRank,
	observeTokens,
} from '@juniperhook/core'
import { createLog, messageOf, readNow, sleep } from '@juniperhook/runtime'
import * as v from 'valibot'
import type { EngineReport, RankReport } from './engine.ts'
import { readEngine, sendOrder, toRankReport } from './engine.ts'
import type { GroupMember, PlanSummary } from './groupMember.ts'
import { callAgent } from './groupMember.ts'
import {
	areMapsConsistent,
	collectReports,
	countTokens,
	planLayers,
	readLayers,
	summarize,
} from './groupPlan.ts'
import { FENCE_SPACE, issueFence, runRound } from './mapRound.ts'
import { callRank, createRankPort } from './rankPort.ts'

const FENCE_BYTES = 4
const WATCH_INTERVAL_MS = 500
/** After this time in doubt, the agent of the first rank starts a recovery round. */
const IN_DOUBT_TIMEOUT_MS = 1_000
const STAGE_TIMEOUT_MS = 600_000
/** Time from the latest step to that at which a change takes effect; converted to steps. */
const CHANGE_LEAD_MS = 400
const FIRST_MAP = 'first'
const MS_PER_SECOND = 1_000
const log = createLog('agent:group')

const EMPTY_PLAN: PlanSummary = {
	layers: [],
	loads: 0,
	skewBefore: 1,
	skewAfter: 1,
	benefitMs: 0,
	costMs: 0,
}

/** Parameters of `mapStage`: the experts that a rank must load for a map. */
export const StageSchema = v.object({
	mapId: v.string(),
	slots: v.array(v.array(v.number())),
})

/** Joins the group that has this server as a rank, if there is one. */
export function joinGroup(
	name: string,
	config: Config,
	controlPort: number,
): GroupMember | undefined {
	const entries = Object.entries(config.group)
	const found = entries.find(([, group]) => group.ranks.includes(name))
	const server = config.server[name]
	if (!found || !server) return undefined
	const [, group] = found
	const size = group.ranks.length
	const { checksFences, layers, experts, planSeconds } = group
	const now = readNow()
	const member: GroupMember = {
		name,
		rank: group.ranks.indexOf(name),
		port: createRankPort(server.backend, checksFences, Date.now(), now),
		controlPort,
		coordinator: createMapCoordinator(size, FIRST_MAP),
		fenceId: randomBytes(FENCE_BYTES).readUInt32LE(),
		links: new Map(),
		estimate: createExpertEstimate(
			layers,
			experts,
			planSeconds * MS_PER_SECOND,
		),
		config,
		group,
		report: undefined,
		lastCounts: undefined,
		inDoubtSince: undefined,
		plannedAt: now,
		split: false,
		lastPlan: EMPTY_PLAN,
	}
	void watchGroup(member)
	return member
}

/** Creates the RPC methods that an agent of a group serves to the other agents. */
export function createGroupMethods(findMember: () => GroupMember) {
	return {
		mapRequest: (req: RankRequest): Promise<RankReply> =>
			callRank(findMember().port, req, readNow()),
		mapStage: (params: unknown) => {
			const { mapId, slots } = v.parse(StageSchema, params)
			const { address } = findMember().port
			return sendOrder(address, { order: 'stage', mapId, slots })
		},
		mapReport: async () => {
			const { port, group } = findMember()
			return toRankReport(await readEngine(port.address), group.experts)
		},
		mapSplit: () => {
			findMember().split = true
			return true
		},
	}
}

/** Returns the rank's own step time divided by its group's mean. */
export function computeStepShare(member: GroupMember): number {
	const { report } = member
	if (!report || report.meanStepMs === 0) return 1
	return report.stepMs / report.meanStepMs
}

/** Describes the rank's map state for `juniperhook status`. */
export function describeGroup(member: GroupMember): object {
	const { report, lastPlan, coordinator, split } = member
	const skew = report?.meanStepMs ? report.groupStepMs / report.meanStepMs : 1
	return {
		rank: member.rank,
		mapId: report?.mapId ?? '',
		// The round part of the fence; the rest is the coordinator's id.
		fence: Math.floor(coordinator.fence / FENCE_SPACE),
		step: report?.step ?? 0,
		generation: report?.generation ?? 0,
		inDoubt: report?.inDoubt ?? false,
		skew,
		split,
		changes: coordinator.finished,
		wish: lastPlan,
	}
}

async function watchGroup(member: GroupMember): Promise<void> {
	for (;;) {
		try {
			const { address } = member.port
			member.report = await readEngine(address)
			await handleEngineReport(member, member.report)
		} catch (err) {
			log({ msg: 'group watch failed', detail: messageOf(err) })
		}
		await sleep(WATCH_INTERVAL_MS)
	}
}

async function handleEngineReport(
	member: GroupMember,
	report: EngineReport,
): Promise<void> {
	const now = readNow()
	const isPlanner = member.rank === 0
	if (report.inDoubt || !report.joined) member.inDoubtSince ??= now
	else member.inDoubtSince = undefined
	// Staggered by rank: the first rank recovers first, the others only if it does not.
	const recoveryDelayMs = IN_DOUBT_TIMEOUT_MS * (1 + member.rank)
	if (member.inDoubtSince !== undefined) {
		if (now - member.inDoubtSince < recoveryDelayMs) return
		member.inDoubtSince = now
		log({ msg: 'rank in doubt, recovering', server: member.name })
		await stageForRecovery(member)
		await runRound(member, undefined)
		return
	}
	if (!isPlanner || member.split) return
	if (now - member.plannedAt < member.group.planSeconds * MS_PER_SECOND) return
	member.plannedAt = now
	await rebalance(member)
}

async function rebalance(member: GroupMember): Promise<void> {
	const reports = await collectReports(member)
	if (!reports) return
	if (!areMapsConsistent(reports)) {
		await declareSplit(member)
		return
	}
	const haveSameMap = reports.every(
		report => report.mapId === reports[0]!.mapId,
	)
	const tokens = haveSameMap ? countTokens(member, reports) : undefined
	if (!tokens) return
	observeTokens(member.estimate, tokens)
	const layers = readLayers(member, reports)
	const plans = await planLayers(member, layers)
	member.lastPlan = summarize(plans)
	if (member.lastPlan.loads === 0) return
	await changeMap(member, plans, reports)
}

async function declareSplit(member: GroupMember): Promise<void> {
	log({ msg: 'ranks use different maps; out of routing', kind: 'groupSplit' })
	member.split = true
	const { ranks } = member.group
	await Promise.allSettled(
		ranks.map(name => callAgent(member, name, 'mapSplit', {})),
	)
}

async function changeMap(
	member: GroupMember,
	plans: readonly LayerPlan[],
	reports: readonly RankReport[],
): Promise<void> {
	const fence = issueFence(member)
	const mapId = `map-${fence}`
	const byLayer = plans.map(plan => listExpertsByRank(plan.placement))
	const staged = await stageAll(member, mapId, rank =>
		byLayer.map(layer => layer[rank] ?? []),
	)
	if (!staged) return
	const stepMs = Math.max(1, ...reports.map(report => report.groupStepMs))
	const leadSteps = Math.ceil(CHANGE_LEAD_MS / stepMs)
	const done = await runRound(member, mapId, leadSteps, fence)
	log({ msg: done ? 'map changed' : 'map not changed', detail: mapId })
}

/**
 * Stages the current map on ranks that restarted and lost their weights, so that the
 * recovery round can include them.
 */
async function stageForRecovery(member: GroupMember): Promise<void> {
	const reports = await collectReports(member)
	const members = reports?.filter(report => report.joined) ?? []
	const restarted = reports?.some(report => !report.joined)
	if (!reports || !restarted) return
	// The new generation uses the newest committed map, whether in use yet or not.
	const mapIds = new Set(members.flatMap(one => [one.mapId, one.nextMapId]))
	if (mapIds.size === 0) mapIds.add(FIRST_MAP)
	const slots = rebuildSlots(member, reports)
	for (const mapId of mapIds)
		await stageAll(member, mapId, rank =>
			reports[rank]?.joined ? undefined : slots[rank],
		)
}

/**
 * Returns the slots of each rank: those it reports or, if it lost them, its block of
 * experts from the initial placement.
 */
function rebuildSlots(
	member: GroupMember,
	reports: readonly RankReport[],
): number[][][] {
	return reports.map((report, rank) => {
		const kept = report.slots
		if (kept.length > 0) return kept
		const { layers, experts, ranks } = member.group
		const size = Math.ceil(experts / ranks.length)
		const block = Array.from({ length: size }, (_, at) => rank * size + at)
		return Array.from({ length: layers }, () =>
			block.filter(expert => expert < experts),
		)
	})
}

async function stageAll(
	member: GroupMember,
	mapId: string,
	/** Returns undefined for a rank that already holds the map. */
	slotsOf: (rank: number) => number[][] | undefined,
): Promise<boolean> {
	const { ranks } = member.group
	const answers = await Promise.allSettled(
		ranks.map((name, rank) => {
			const slots = slotsOf(rank)
			if (!slots) return undefined
			const params = { mapId, slots }
			return callAgent(member, name, 'mapStage', params, STAGE_TIMEOUT_MS)
		}),
	)
	return answers.every(answer => answer.status === 'fulfilled')
}
