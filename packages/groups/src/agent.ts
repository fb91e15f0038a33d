/**
 * The agent beside an engine that may be a rank of a group. It serves whoever
 * coordinates the group; the agents of the first ranks coordinate it, the
 * lowest that lives.
 */

import { randomBytes } from 'node:crypto'
import type { RankReport } from '@juniperhook/core'
import { createRandom, splitAddress } from '@juniperhook/core'
import type { EventLog, RpcLink } from '@juniperhook/runtime'
import { call, connectRpc, readNow, serveRpc } from '@juniperhook/runtime'
import type { Coordinator } from './coordinator.ts'
import {
	bypassAgent,
	createCoordinator,
	fitGroup,
	runCoordinator,
	stopCoordinator,
} from './coordinator.ts'
import type { EnginePort, GroupSource, PublishedGroup } from './ports.ts'
import type { AgentHello } from './rankService.ts'
import { createRankMethods } from './rankService.ts'

/** Ranks whose agents may coordinate. */
const CANDIDATES = 3
/** Between a candidate's looks at its engine and at lower candidates, ms. */
const CANDIDATE_LOOK_MS = 80
/** Between looks of agents that only serve, ms. */
const LOOK_MS = 500
/**
 * A lower candidate that is silent for this long is taken for dead, ms. Taking
 * over is safe at any time; a coordinator that stops while it holds the group
 * makes every stream wait, and callers give a stream up after 2 s.
 */
const SILENT_MS = 350
/** Between readings of the published group, ms. */
const READ_MS = 2_000
const HELLO_MS = 150

/** What an agent is told of its VM. */
export interface AgentSettings {
	readonly name: string
	readonly ip: string
	/** Port that agents listen on, the same everywhere. */
	readonly agentPort: number
	/** `IP:port` of the engine beside it. */
	readonly engine: string
	readonly service: string
}

/** A running agent. */
interface Agent {
	readonly settings: AgentSettings
	readonly port: EnginePort
	readonly source: GroupSource
	readonly log: EventLog
	report: RankReport | undefined
	group: PublishedGroup | undefined
	readAt: number
	coordinator: Coordinator | undefined
	/** Links to lower candidates, by rank. */
	readonly lower: Map<number, { link: RpcLink; engine: string }>
	/** When each lower candidate was last heard, ms. */
	readonly heardAt: Map<number, number>
	stopping: boolean
}

/** Starts an agent; resolves when it listens. */
export async function startAgent(
	settings: AgentSettings,
	port: EnginePort,
	source: GroupSource,
	log: EventLog,
): Promise<void> {
	const agent: Agent = {
		settings,
		port,
		source,
		log,
		report: undefined,
		group: undefined,
		readAt: Number.NEGATIVE_INFINITY,
		coordinator: undefined,
		lower: new Map(),
		heardAt: new Map(),
		stopping: false,
	}
	const hello = (): AgentHello => ({
		rank: agent.report?.rank ?? -1,
		active: agent.coordinator !== undefined,
	})
	await serveRpc(
		`${settings.ip}:${settings.agentPort}`,
		createRankMethods(port, settings.engine, hello),
	)
	log.write('agent started', { name: settings.name, engine: settings.engine })
	process.once('SIGTERM', () => stopAgent(agent))
	while (!agent.stopping) {
		await look(agent)
		const lookMs = isCandidate(agent.report) ? CANDIDATE_LOOK_MS : LOOK_MS
		await new Promise(resolve => setTimeout(resolve, lookMs))
	}
}

function stopAgent(agent: Agent): void {
	agent.stopping = true
	if (agent.coordinator) stopCoordinator(agent.coordinator)
	agent.log.write('stopped')
	agent.log.flush()
	process.exit(0)
}

async function look(agent: Agent): Promise<void> {
	const report = await agent.port.report(agent.settings.engine)
	if (report) agent.report = report
	if (!agent.report || !isCandidate(agent.report)) {
		stepDown(agent, 'not a candidate')
		return
	}
	await readGroup(agent, agent.report)
	const rank = await findLower(agent, agent.report.rank)
	if (rank !== undefined) stepDown(agent, `rank ${rank} lives`)
	else stepUp(agent, agent.report)
}

function isCandidate(report: RankReport | undefined): boolean {
	return report !== undefined && report.rank < CANDIDATES
}

async function readGroup(agent: Agent, report: RankReport): Promise<void> {
	const now = readNow()
	if (now - agent.readAt < READ_MS) return
	agent.readAt = now
	const { service } = agent.settings
	const group = await agent.source.read(service, report.group)
	if (!group) return
	agent.group = group
	if (agent.coordinator) fitGroup(agent.coordinator, group)
}

/** The lowest candidate below `rank` that has been heard of late. */
async function findLower(
	agent: Agent,
	rank: number,
): Promise<number | undefined> {
	for (let lower = 0; lower < rank; lower++) {
		await greet(agent, lower)
		const heardAt = agent.heardAt.get(lower)
		if (heardAt !== undefined && readNow() - heardAt < SILENT_MS) return lower
	}
	return undefined
}

async function greet(agent: Agent, rank: number): Promise<void> {
	const member = agent.group?.members.find(item => item.rank === rank)
	if (!member) return
	const { engine } = member
	const known = agent.lower.get(rank)
	try {
		if (known && known.engine !== engine) throw new Error('moved')
		const link = known?.link ?? (await openLink(agent, engine))
		agent.lower.set(rank, { link, engine })
		const hello = await call<AgentHello>(link, 'hello', {}, HELLO_MS)
		// One that does not know its rank yet cannot coordinate.
		if (hello.rank === rank) agent.heardAt.set(rank, readNow())
	} catch {
		// Silence is judged by the time of the last word.
		known?.link.socket.destroy()
		agent.lower.delete(rank)
	}
}

function openLink(agent: Agent, engine: string): Promise<RpcLink> {
	const { ip } = splitAddress(engine)
	return connectRpc(`${ip}:${agent.settings.agentPort}`, {}, HELLO_MS)
}

function stepUp(agent: Agent, report: RankReport): void {
	if (agent.coordinator || !agent.group) return
	const { port, log, settings, group } = agent
	const random = createRandom(randomBytes(4).readUInt32LE())
	const { agentPort } = settings
	const co = createCoordinator(port, log, random, report.rank, agentPort)
	fitGroup(co, group)
	// The agents of lower ranks are silent: their engines are called directly.
	for (let rank = 0; rank < report.rank; rank++) bypassAgent(co, rank)
	agent.coordinator = co
	log.write('coordinates', { group: report.group, rank: report.rank })
	void runCoordinator(co)
}

function stepDown(agent: Agent, reason: string): void {
	if (!agent.coordinator) return
	stopCoordinator(agent.coordinator)
	agent.coordinator = undefined
	agent.log.write('coordinates no more', { reason })
}
