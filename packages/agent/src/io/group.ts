/**
 * A group of ranks as its agents run it. Every agent answers for its rank; the
 * agent of the first rank plans moves and coordinates changes; any agent whose
 * rank is left in doubt recovers.
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
import { giveOrder, readEngine, toRankReport } from './engine.ts'
import type { GroupMember, PlanWish } from './groupMember.ts'
import { ask } from './groupMember.ts'
import {
	agree,
	collectReports,
	countTokens,
	planSlices,
	readLayers,
	summarize,
} from './groupPlan.ts'
import { FENCE_SPACE, runRound, takeFence } from './mapRound.ts'
import { askRank, createRankPort } from './rankPort.ts'

const FENCE_BYTES = 4
const WATCH_MS = 500
/** A rank in doubt for so long recovers by itself, ms. */
const DOUBT_MS = 1_000
const STAGE_MS = 600_000
/** How far ahead of the last step a change is set, ms of steps. */
const LEAD_MS = 400
const FIRST_MAP = 'first'
const MS = 1_000
const log = createLog('agent:group')

const NO_WISH: PlanWish = {
	layers: [],
	loads: 0,
	skewBefore: 1,
	skewAfter: 1,
	benefitMs: 0,
	costMs: 0,
}

/** Asks a rank to fetch what a coming map needs. */
export const StageSchema = v.object({
	mapId: v.string(),
	slots: v.array(v.array(v.number())),
})

/** Joins the group that names this server, if one does. */
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
		estimate: createExpertEstimate(layers, experts, planSeconds * MS),
		config,
		group,
		report: undefined,
		counted: undefined,
		doubtSince: undefined,
		plannedAt: now,
		split: false,
		wish: NO_WISH,
	}
	void watchGroup(member)
	return member
}

/** Methods that an agent of a group serves to the others. */
export function createGroupMethods(find: () => GroupMember) {
	return {
		mapRequest: (req: RankRequest): Promise<RankReply> =>
			askRank(find().port, req, readNow()),
		mapStage: (params: unknown) => {
			const { mapId, slots } = v.parse(StageSchema, params)
			const { address } = find().port
			return giveOrder(address, { order: 'stage', mapId, slots })
		},
		mapReport: async () => {
			const { port, group } = find()
			return toRankReport(await readEngine(port.address), group.experts)
		},
		mapSplit: () => {
			find().split = true
			return true
		},
	}
}

/** The rank's own step time over its group's mean. */
export function stepShareOf(member: GroupMember): number {
	const { report } = member
	if (!report || report.meanStepMs === 0) return 1
	return report.stepMs / report.meanStepMs
}

/** For `juniperhook status`. */
export function describeGroup(member: GroupMember): object {
	const { report, wish, coordinator, split } = member
	const skew = report?.meanStepMs ? report.groupStepMs / report.meanStepMs : 1
	return {
		rank: member.rank,
		mapId: report?.mapId ?? '',
		// The round of the fence; the rest is the coordinator's id.
		fence: Math.floor(coordinator.fence / FENCE_SPACE),
		step: report?.step ?? 0,
		generation: report?.generation ?? 0,
		inDoubt: report?.inDoubt ?? false,
		skew,
		split,
		changes: coordinator.finished,
		wish,
	}
}

async function watchGroup(member: GroupMember): Promise<void> {
	for (;;) {
		try {
			const { address } = member.port
			member.report = await readEngine(address)
			await act(member, member.report)
		} catch (err) {
			log({ msg: 'group watch failed', detail: messageOf(err) })
		}
		await sleep(WATCH_MS)
	}
}

async function act(member: GroupMember, report: EngineReport): Promise<void> {
	const now = readNow()
	const first = member.rank === 0
	if (report.inDoubt || !report.joined) member.doubtSince ??= now
	else member.doubtSince = undefined
	// The first rank goes first; the others wait longer by their number.
	const patience = DOUBT_MS * (1 + member.rank)
	if (member.doubtSince !== undefined) {
		if (now - member.doubtSince < patience) return
		member.doubtSince = now
		log({ msg: 'rank in doubt, recovering', server: member.name })
		await restage(member)
		await runRound(member, undefined)
		return
	}
	if (!first || member.split) return
	if (now - member.plannedAt < member.group.planSeconds * MS) return
	member.plannedAt = now
	await rebalance(member)
}

async function rebalance(member: GroupMember): Promise<void> {
	const reports = await collectReports(member)
	if (!reports) return
	if (!agree(reports)) {
		await declareSplit(member)
		return
	}
	const same = reports.every(report => report.mapId === reports[0]!.mapId)
	const tokens = same ? countTokens(member, reports) : undefined
	if (!tokens) return
	observeTokens(member.estimate, tokens)
	const layers = readLayers(member, reports)
	const plans = await planSlices(member, layers)
	member.wish = summarize(plans)
	if (member.wish.loads === 0) return
	await change(member, plans, reports)
}

async function declareSplit(member: GroupMember): Promise<void> {
	log({ msg: 'ranks use different maps; out of routing', kind: 'groupSplit' })
	member.split = true
	const { ranks } = member.group
	await Promise.allSettled(ranks.map(name => ask(member, name, 'mapSplit', {})))
}

async function change(
	member: GroupMember,
	plans: readonly LayerPlan[],
	reports: readonly RankReport[],
): Promise<void> {
	const fence = takeFence(member)
	const mapId = `map-${fence}`
	const byLayer = plans.map(plan => listExpertsByRank(plan.placement))
	const staged = await stageAll(member, mapId, rank =>
		byLayer.map(layer => layer[rank] ?? []),
	)
	if (!staged) return
	const stepMs = Math.max(1, ...reports.map(report => report.groupStepMs))
	const lead = Math.ceil(LEAD_MS / stepMs)
	const done = await runRound(member, mapId, lead, fence)
	log({ msg: done ? 'map changed' : 'map not changed', detail: mapId })
}

/** A rank that came back empty needs the weights of the map in force. */
async function restage(member: GroupMember): Promise<void> {
	const reports = await collectReports(member)
	const members = reports?.filter(report => report.joined) ?? []
	const lost = reports?.some(report => !report.joined)
	if (!reports || !lost) return
	// The new generation takes the newest committed map, begun or not.
	const mapIds = new Set(members.flatMap(one => [one.mapId, one.nextMapId]))
	if (mapIds.size === 0) mapIds.add(FIRST_MAP)
	const slots = rebuildSlots(member, reports)
	for (const mapId of mapIds)
		await stageAll(member, mapId, rank =>
			reports[rank]?.joined ? undefined : slots[rank],
		)
}

/** Members keep their slots; a rank that lost its own gets what is missing. */
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
	/** Nothing for a rank that holds the map already. */
	slotsOf: (rank: number) => number[][] | undefined,
): Promise<boolean> {
	const { ranks } = member.group
	const answers = await Promise.allSettled(
		ranks.map((name, rank) => {
			const slots = slotsOf(rank)
			if (!slots) return undefined
			const params = { mapId, slots }
			return ask(member, name, 'mapStage', params, STAGE_MS)
		}),
	)
	return answers.every(answer => answer.status === 'fulfilled')
}
