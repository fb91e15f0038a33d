/**
 * The agent beside an engine that may be a rank of a group. It serves whoever
 * coordinates the group; the agents of a few ranks may coordinate it, the
 * first of them that lives does.
 */

import { randomBytes } from 'node:crypto'
import type { RankReport } from '@juniperhook/core'
import { ANCHOR_RANK, createRandom, splitAddress } from '@juniperhook/core'
import type { EventLog, RpcLink } from '@juniperhook/runtime'
import {
	call,
	connectRpc,
	messageOf,
	readElapsed,
	readNow,
	serveRpc,
} from '@juniperhook/runtime'
import { runCoordinator, stopCoordinator } from './coordinator.ts'
import type { Coordinator } from './coordinatorState.ts'
import { bypassAgent, createCoordinator, fitGroup } from './coordinatorState.ts'
import { judgeEarlier } from './candidateLiveness.ts'
import type { PaceTeller } from './groupReporter.ts'
import { createPaceTeller, tellPaces } from './groupReporter.ts'
import type { EnginePort, GroupSource, PublishedGroup } from './ports.ts'
import type { AgentHello } from './rankMessages.ts'
import { createRankMethods } from './rankService.ts'

/**
 * Ranks whose agents may coordinate, first choice first. The anchor's comes
 * last: if its VM stops, nobody can let a held group go.
 */
const CANDIDATES = [1, 2, 3, 0]
/** Between a candidate's looks at its engine and at earlier ones, ms. */
const CANDIDATE_LOOK_MS = 80
/** Between looks of agents that only serve, ms. */
const LOOK_MS = 500
/** Between readings of the published group, ms. */
const READ_MS = 2_000
const HELLO_MS = 150
/** A link of one Mbit/s carries so many bytes in a ms. */
const BYTES_PER_MS_OF_MBPS = 125

/** What an agent is told of its VM. */
export interface AgentSettings {
	readonly name: string
	readonly ip: string
	/** Port that agents listen on, the same everywhere. */
	readonly agentPort: number
	/** `IP:port` of the engine beside it. */
	readonly engine: string
	readonly service: string
	/** Of this VM's link. */
	readonly linkMbps: number
	/** Control addresses of some entries; may be stale. */
	readonly entries: readonly string[]
}

/** A running agent. */
interface Agent {
	readonly settings: AgentSettings
	readonly port: EnginePort
	readonly source: GroupSource
	readonly log: EventLog
	readonly startedAt: number
	readonly teller: PaceTeller
	report: RankReport | undefined
	group: PublishedGroup | undefined
	readAt: number
	coordinator: Coordinator | undefined
	/** Links to earlier candidates, by rank. */
	readonly earlier: Map<number, { link: RpcLink; engine: string }>
	/** When each earlier candidate was last heard, ms. */
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
		startedAt: readNow(),
		teller: createPaceTeller(settings.entries, (entry, reason) =>
			log.write('entry not reached', { entry, reason }),
		),
		report: undefined,
		group: undefined,
		readAt: Number.NEGATIVE_INFINITY,
		coordinator: undefined,
		earlier: new Map(),
		heardAt: new Map(),
		stopping: false,
	}
	const hello = (): AgentHello => ({
		rank: agent.report?.rank ?? -1,
		active: agent.coordinator !== undefined,
	})
	await serveRpc(
		`${settings.ip}:${settings.agentPort}`,
		createRankMethods(port, settings.engine, hello, () => agent.report),
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
	if (report) takeReport(agent, report)
	if (!agent.report || !isCandidate(agent.report)) {
		stepDown(agent, 'not a candidate')
		return
	}
	await readGroup(agent, agent.report)
	const rank = await findEarlier(agent, agent.report.rank)
	if (rank !== undefined) stepDown(agent, `rank ${rank} lives`)
	else stepUp(agent, agent.report)
}

function takeReport(agent: Agent, report: RankReport): void {
	const before = agent.report
	agent.report = report
	if (!before || before.bornAt === report.bornAt) return
	agent.log.write('engine started again', {
		bornAt: report.bornAt,
		before: before.bornAt,
		epoch: report.epoch,
		open: report.open,
	})
}

function isCandidate(report: RankReport | undefined): boolean {
	return report !== undefined && CANDIDATES.includes(report.rank)
}

async function readGroup(agent: Agent, report: RankReport): Promise<void> {
	const now = readElapsed()
	if (now - agent.readAt < READ_MS) return
	agent.readAt = now
	const { service } = agent.settings
	const group = await agent.source.read(service, report.group)
	if (!group) return
	agent.group = group
	if (agent.coordinator) fitGroup(agent.coordinator, group)
}

/** The first candidate before `rank` that has been heard of late. */
async function findEarlier(
	agent: Agent,
	rank: number,
): Promise<number | undefined> {
	for (const earlier of CANDIDATES.slice(0, CANDIDATES.indexOf(rank))) {
		await greet(agent, earlier)
		const heardAt = agent.heardAt.get(earlier)
		const state = judgeEarlier(heardAt, agent.startedAt, readNow())
		if (state === 'gone') continue
		if (state === 'lives' || !(await isHeld(agent))) return earlier
	}
	return undefined
}

/** Whether the group is held, by its anchor's own word. */
async function isHeld(agent: Agent): Promise<boolean> {
	const anchor = agent.group?.members.find(item => item.rank === ANCHOR_RANK)
	if (!anchor) return false
	const report = await agent.port.report(anchor.engine)
	return report?.held !== undefined
}

async function greet(agent: Agent, rank: number): Promise<void> {
	const member = agent.group?.members.find(item => item.rank === rank)
	if (!member) return
	const { engine } = member
	const known = agent.earlier.get(rank)
	try {
		if (known && known.engine !== engine) throw new Error('moved')
		const link = known?.link ?? (await openLink(agent, engine))
		agent.earlier.set(rank, { link, engine })
		const hello = await call<AgentHello>(link, 'hello', {}, HELLO_MS)
		// One that does not know its rank yet cannot coordinate.
		if (hello.rank === rank) agent.heardAt.set(rank, readNow())
	} catch {
		// Silence is judged by the time of the last word.
		known?.link.socket.destroy()
		agent.earlier.delete(rank)
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
	const { agentPort, linkMbps } = settings
	const co = createCoordinator(
		port,
		log,
		random,
		report.rank,
		agentPort,
		linkMbps * BYTES_PER_MS_OF_MBPS,
	)
	const name = `${settings.service}/${report.group}`
	co.onStatus = status => tellPaces(agent.teller, { group: name, ...status })
	fitGroup(co, group)
	// The agents of earlier candidates are silent: engines are called directly.
	for (const rank of CANDIDATES.slice(0, CANDIDATES.indexOf(report.rank)))
		bypassAgent(co, rank)
	agent.coordinator = co
	log.write('coordinates', { group: report.group, rank: report.rank })
	void runCoordinator(co).catch(err => {
		log.write('internal fault', { detail: messageOf(err) })
		stepDown(agent, 'internal fault')
	})
}

function stepDown(agent: Agent, reason: string): void {
	if (!agent.coordinator) return
	stopCoordinator(agent.coordinator)
	agent.coordinator = undefined
	agent.log.write('coordinates no more', { reason })
}
