/**
 * A group of ranks as its agents run it. Every agent answers for its rank; the
 * agent of the first rank plans moves and coordinates changes; any agent whose
 * rank is left in doubt recovers.
 */

import { randomBytes } from 'node:crypto'
import { setImmediate as nextTurn } from 'node:timers/promises'
import type {
	Config,
	CoordinatorState,
	ExpertEstimate,
	GroupConfig,
	LayerPlacement,
	LayerPlan,
	RankOrder,
	RankReply,
	RankRequest,
} from '@juniperhook/core'
import {
	createCoordinator,
	createEstimate,
	expectedHorizon,
	expectedShares,
	layerFrom,
	listByRank,
	loadTimeOf,
	nextFence,
	observeTokens,
	planLayer,
	repeatRound,
	splitAddress,
	startRound,
	takeRankReply,
} from '@juniperhook/core'
import type { RpcLink } from '@juniperhook/runtime'
import {
	call,
	connectRpc,
	createLog,
	messageOf,
	readNow,
	sleep,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import type { EngineReport } from './engine.ts'
import { EngineReportSchema, giveOrder, readEngine } from './engine.ts'
import type { RankPort } from './rankPort.ts'
import { askRank, createRankPort } from './rankPort.ts'

/** Fences are `round * FENCE_SPACE + id`; ids are random a process. */
const FENCE_SPACE = 2 ** 32
const FENCE_BYTES = 4
const WATCH_MS = 500
/** A rank in doubt for so long recovers by itself, ms. */
const DOUBT_MS = 1_000
const ROUND_CALL_MS = 1_000
const REPEAT_MS = 300
const MAX_REPEATS = 4
const STAGE_MS = 600_000
/** How far ahead of the last step a change is set, ms of steps. */
const LEAD_MS = 400
const FIRST_MAP = 'first'
const MS = 1_000
const log = createLog('agent:group')

/** One rank's agent in a group. */
export interface GroupMember {
	readonly name: string
	readonly rank: number
	readonly port: RankPort
	readonly controlPort: number
	readonly coordinator: CoordinatorState
	readonly fenceId: number
	readonly links: Map<string, RpcLink>
	readonly estimate: ExpertEstimate
	config: Config
	group: GroupConfig
	report: EngineReport | undefined
	/** Tokens a rank had reported at the last plan. */
	counted: Float64Array[] | undefined
	doubtSince: number | undefined
	plannedAt: number
	/** Whether ranks were seen on different maps in one step. */
	split: boolean
	/** What the last plan wanted, for operators. */
	wish: PlanWish
}

/** A plan in figures. */
export interface PlanWish {
	readonly loads: number
	readonly skewBefore: number
	readonly skewAfter: number
	/** Worth and cost, ms of the group's capacity. */
	readonly benefitMs: number
	readonly costMs: number
}

const NO_WISH: PlanWish = {
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
		coordinator: createCoordinator(size, FIRST_MAP),
		fenceId: randomBytes(FENCE_BYTES).readUInt32LE(),
		links: new Map(),
		estimate: createEstimate(layers, experts, planSeconds * MS),
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
		mapReport: () => readEngine(find().port.address),
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

/**
 * Ranks of a generation that use a map use it from the same step, and no two
 * maps from one step. Anything else is a broken promise.
 */
function agree(reports: readonly EngineReport[]): boolean {
	const mapOf = new Map<string, string>()
	const sinceOf = new Map<string, number>()
	for (const { generation, mapId, mapSince } of reports) {
		// A rank that restarted and has not begun a step yet runs no map.
		if (mapId === '') continue
		const step = `${generation}/${mapSince}`
		const map = `${generation}/${mapId}`
		if ((mapOf.get(step) ?? mapId) !== mapId) return false
		if ((sinceOf.get(map) ?? mapSince) !== mapSince) return false
		mapOf.set(step, mapId)
		sinceOf.set(map, mapSince)
	}
	return true
}

async function declareSplit(member: GroupMember): Promise<void> {
	log({ msg: 'ranks use different maps; out of routing', kind: 'groupSplit' })
	member.split = true
	const { ranks } = member.group
	await Promise.allSettled(ranks.map(name => ask(member, name, 'mapSplit', {})))
}

async function collectReports(
	member: GroupMember,
): Promise<EngineReport[] | undefined> {
	const { ranks } = member.group
	const answers = await Promise.allSettled(
		ranks.map(name => ask<unknown>(member, name, 'mapReport', {})),
	)
	const reports = answers.flatMap(answer =>
		answer.status === 'fulfilled'
			? [v.parse(EngineReportSchema, answer.value)]
			: [],
	)
	return reports.length === ranks.length ? reports : undefined
}

/** Tokens a layer and expert since the last plan, over all ranks. */
function countTokens(
	member: GroupMember,
	reports: readonly EngineReport[],
): Float64Array | undefined {
	const before = member.counted
	const after = reports.map(report => Float64Array.from(report.tokens))
	member.counted = after
	if (!before) return undefined
	const total = new Float64Array(after[0]!.length)
	// An engine that restarted counts from zero again.
	for (const [rank, counts] of after.entries())
		for (const [at, count] of counts.entries())
			total[at]! += Math.max(0, count - (before[rank]?.[at] ?? 0))
	return total
}

function readLayers(
	member: GroupMember,
	reports: readonly EngineReport[],
): LayerPlacement[] {
	const { layers, experts, spareSlots } = member.group
	return Array.from({ length: layers }, (_, layer) => {
		const byRank = reports.map(report => report.slots[layer] ?? [])
		return layerFrom(byRank, experts, spareSlots)
	})
}

/** Plans a layer a turn, so that requests are served in between. */
async function planSlices(
	member: GroupMember,
	layers: readonly LayerPlacement[],
): Promise<LayerPlan[]> {
	const { group, estimate } = member
	const shares = expectedShares(estimate)
	const terms = {
		skewWeight: group.skewWeight,
		moveWeight: group.moveWeight,
		horizonMs: expectedHorizon(estimate),
		loadMs: loadTimeOf(group.bytesPerExpert, group.storeBytesPerSecond),
		loadLoss: group.loadLoss,
		expertShare: group.expertShare,
		layers: group.layers,
	}
	const plans: LayerPlan[] = []
	for (const [at, layer] of layers.entries()) {
		plans.push(planLayer(layer, shares, at, terms))
		await nextTurn()
	}
	return plans
}

function summarize(plans: readonly LayerPlan[]): PlanWish {
	const sum = (pick: (plan: LayerPlan) => number) =>
		plans.reduce((total, plan) => total + pick(plan), 0)
	return {
		loads: sum(plan => plan.loads.length),
		skewBefore: sum(plan => plan.skewBefore) / plans.length,
		skewAfter: sum(plan => plan.skewAfter) / plans.length,
		benefitMs: sum(plan => plan.benefitMs),
		costMs: sum(plan => plan.costMs),
	}
}

async function change(
	member: GroupMember,
	plans: readonly LayerPlan[],
	reports: readonly EngineReport[],
): Promise<void> {
	const fence = takeFence(member)
	const mapId = `map-${fence}`
	const byLayer = plans.map(plan => listByRank(plan.placement))
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
	const model = reports?.find(report => report.joined)
	const lost = reports?.some(report => !report.joined)
	if (!reports || !lost) return
	const mapId = model?.mapId ?? FIRST_MAP
	const slots = rebuildSlots(member, reports)
	await stageAll(member, mapId, rank => slots[rank] ?? [])
}

/** Members keep their slots; a rank that lost its own gets what is missing. */
function rebuildSlots(
	member: GroupMember,
	reports: readonly EngineReport[],
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
	slotsOf: (rank: number) => number[][],
): Promise<boolean> {
	const { ranks } = member.group
	const answers = await Promise.allSettled(
		ranks.map((name, rank) => {
			const params = { mapId, slots: slotsOf(rank) }
			return ask(member, name, 'mapStage', params, STAGE_MS)
		}),
	)
	return answers.every(answer => answer.status === 'fulfilled')
}

function takeFence(member: GroupMember): number {
	return nextFence(member.coordinator, member.fenceId, FENCE_SPACE)
}

/** Runs one round of the protocol to its end, or until it must be left. */
async function runRound(
	member: GroupMember,
	wanted: string | undefined,
	lead = 1,
	fence = takeFence(member),
): Promise<boolean> {
	const { coordinator } = member
	const before = coordinator.finished
	send(member, startRound(coordinator, fence, wanted, lead))
	for (let repeat = 0; repeat <= MAX_REPEATS; repeat++) {
		const end = readNow() + REPEAT_MS * 2 ** repeat
		while (coordinator.phase !== 'idle' && readNow() < end) await sleep(5)
		if (coordinator.phase === 'idle') break
		send(member, repeatRound(coordinator))
	}
	// A round that cannot end is left to a later one with a higher fence.
	return coordinator.finished > before
}

function send(member: GroupMember, orders: readonly RankOrder[]): void {
	for (const { rank, req } of orders) void deliver(member, rank, req)
}

async function deliver(
	member: GroupMember,
	rank: number,
	req: RankRequest,
): Promise<void> {
	const name = member.group.ranks[rank]!
	try {
		const reply = await ask<RankReply>(member, name, 'mapRequest', req)
		send(member, takeRankReply(member.coordinator, rank, reply))
	} catch (err) {
		log({ msg: 'rank not reached', server: name, detail: messageOf(err) })
	}
}

async function ask<T>(
	member: GroupMember,
	name: string,
	method: string,
	params: object,
	limitMs = ROUND_CALL_MS,
): Promise<T> {
	const link = member.links.get(name) ?? (await connect(member, name))
	return await call<T>(link, method, params, limitMs)
}

async function connect(member: GroupMember, name: string): Promise<RpcLink> {
	const server = member.config.server[name]
	if (!server) throw new Error(`no server ${name}`)
	const { ip } = splitAddress(server.agent)
	const link = await connectRpc(`${ip}:${member.controlPort}`, {})
	member.links.get(name)?.socket.destroy()
	member.links.set(name, link)
	link.socket.once('close', () => {
		if (member.links.get(name) === link) member.links.delete(name)
	})
	return link
}
