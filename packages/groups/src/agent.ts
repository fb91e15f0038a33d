/**
 * Agent beside an engine that may be a rank of a lock-step group. It serves the group's
 * coordinator. The agents of a few ranks are candidates for coordinator, in a fixed
 * order of precedence: the first one that is alive coordinates the group.
 */

import { randomBytes } from 'node:crypto'
import type { RankReport } from '@juniperhook/core'
import { ANCHOR_RANK, createRandom, splitAddress } from '@juniperhook/core'
import type { EventLog, RpcLink, Waits } from '@juniperhook/runtime'
import {
	call,
	connectRpc,
	createLoggedWaits,
	describeFault,
	faults,
	readElapsed,
	readNow,
	serveRpc,
	sleep,
	stopRpc,
} from '@juniperhook/runtime'
import { assessCandidate } from './candidateLiveness.ts'
import { runCoordinator, stopCoordinator } from './coordinator.ts'
import type { Coordinator } from './coordinatorState.ts'
import {
	applyGroup,
	bypassAgent,
	createCoordinator,
} from './coordinatorState.ts'
import type { GroupReporter } from './groupReporter.ts'
import { createGroupReporter, reportGroup } from './groupReporter.ts'
import type { EnginePort, GroupSource, PublishedGroup } from './ports.ts'
import type { AgentHello } from './rankMessages.ts'
import { createRankMethods } from './rankService.ts'

/**
 * Ranks whose agents may coordinate the group, in order of precedence. The anchor's is
 * last: if its VM stopped while the group is held, no agent could release the group.
 */
const CANDIDATES = [1, 2, 3, 0]
/** Interval at which a candidate polls its engine and the earlier candidates, ms. */
const CANDIDATE_POLL_INTERVAL_MS = 80
/** Polling interval of agents that are no candidates, ms. */
const POLL_INTERVAL_MS = 500
/** Interval between reads of the published group, ms. */
const GROUP_READ_INTERVAL_MS = 2_000
const HELLO_TIMEOUT_MS = 150
/** Time for orders in progress when the agent stops, ms; copies of experts take longest. */
const MAX_STOP_MS = 3_000
/** Bytes per ms of a link of 1 Mbit/s. */
const BYTES_PER_MS_PER_MBPS = 125

/** Settings of an agent. */
export interface AgentSettings {
	readonly name: string
	readonly ip: string
	/** Port on which all agents listen. */
	readonly agentPort: number
	/** Address of the local engine, `IP:port`. */
	readonly engine: string
	readonly service: string
	/** Bandwidth of this VM's link, Mbit/s. */
	readonly linkMbps: number
	/** Control addresses of some entries; may be out of date. */
	readonly entries: readonly string[]
}

/** State of a running agent. */
interface Agent {
	readonly settings: AgentSettings
	readonly port: EnginePort
	readonly source: GroupSource
	readonly log: EventLog
	readonly startedAt: number
	readonly reporter: GroupReporter
	report: RankReport | undefined
	group: PublishedGroup | undefined
	groupReadAt: number
	coordinator: Coordinator | undefined
	/** Links to the agents of earlier candidates, by rank. */
	readonly candidateLinks: Map<number, { link: RpcLink; engine: string }>
	/** Time of the last answer of each earlier candidate, ms. */
	readonly answeredAt: Map<number, number>
	stopping: boolean
}

/** Starts an agent. Runs until the process is terminated; `waits` records its waits. */
export async function startAgent(
	settings: AgentSettings,
	port: EnginePort,
	source: GroupSource,
	log: EventLog,
	waits: Waits = createLoggedWaits(log),
): Promise<void> {
	const agent: Agent = {
		settings,
		port,
		source,
		log,
		startedAt: readNow(),
		reporter: createGroupReporter(settings.entries, (entry, reason) =>
			log.write('entry not reached', { entry, reason }),
		),
		report: undefined,
		group: undefined,
		groupReadAt: Number.NEGATIVE_INFINITY,
		coordinator: undefined,
		candidateLinks: new Map(),
		answeredAt: new Map(),
		stopping: false,
	}
	const hello = (): AgentHello => ({
		rank: agent.report?.rank ?? -1,
		active: agent.coordinator !== undefined,
	})
	process.on('SIGTERM', () => void stopAgent(agent))
	const { listening } = await serveRpc(
		`${settings.ip}:${settings.agentPort}`,
		createRankMethods(port, settings.engine, hello, () => agent.report),
		() => {},
		{
			need: 'control',
			waits,
			isStopping: () => agent.stopping,
			onError: err =>
				log.write('connection not accepted', { reason: err.message }),
		},
	)
	if (!listening) return
	log.write('agent started', { name: settings.name, engine: settings.engine })
	while (!agent.stopping) {
		await pollSafely(agent)
		const intervalMs = isCandidate(agent.report)
			? CANDIDATE_POLL_INTERVAL_MS
			: POLL_INTERVAL_MS
		await new Promise(resolve => setTimeout(resolve, intervalMs))
	}
}

/** Stops after the orders in progress; further ones are refused as not executed. */
async function stopAgent(agent: Agent): Promise<void> {
	if (agent.stopping) return
	agent.stopping = true
	agent.log.write('stop begun')
	if (agent.coordinator) stopCoordinator(agent.coordinator)
	await Promise.race([stopRpc(), sleep(MAX_STOP_MS)])
	agent.log.write('stopped')
	await agent.log.flush()
	process.exit(0)
}

/** Polls; after an internal fault, the next poll starts over. */
async function pollSafely(agent: Agent): Promise<void> {
	try {
		await poll(agent)
	} catch (err) {
		faults.count++
		agent.log.write('internal fault', { detail: describeFault(err) })
	}
}

async function poll(agent: Agent): Promise<void> {
	const report = await agent.port.report(agent.settings.engine)
	if (report) applyReport(agent, report)
	if (!agent.report || !isCandidate(agent.report)) {
		stopCoordinating(agent, 'not a candidate')
		return
	}
	await readGroup(agent, agent.report)
	const rank = await findEarlierCandidate(agent, agent.report.rank)
	if (rank !== undefined) stopCoordinating(agent, `rank ${rank} is alive`)
	else startCoordinating(agent, agent.report)
}

function applyReport(agent: Agent, report: RankReport): void {
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
	if (now - agent.groupReadAt < GROUP_READ_INTERVAL_MS) return
	agent.groupReadAt = now
	const { service } = agent.settings
	const group = await agent.source.read(service, report.group)
	if (!group) return
	agent.group = group
	if (agent.coordinator) applyGroup(agent.coordinator, group)
}

/**
 * Returns the rank of the first candidate before `rank` that is alive. An unresponsive
 * one counts as alive unless the group is held.
 */
async function findEarlierCandidate(
	agent: Agent,
	rank: number,
): Promise<number | undefined> {
	for (const earlier of CANDIDATES.slice(0, CANDIDATES.indexOf(rank))) {
		await sendHello(agent, earlier)
		const answeredAt = agent.answeredAt.get(earlier)
		const liveness = assessCandidate(answeredAt, agent.startedAt, readNow())
		if (liveness === 'down') continue
		if (liveness === 'alive' || !(await isGroupHeld(agent))) return earlier
	}
	return undefined
}

/** Whether the group's anchor reports that the group is held. */
async function isGroupHeld(agent: Agent): Promise<boolean> {
	const anchor = agent.group?.members.find(item => item.rank === ANCHOR_RANK)
	if (!anchor) return false
	const report = await agent.port.report(anchor.engine)
	return report?.held !== undefined
}

async function sendHello(agent: Agent, rank: number): Promise<void> {
	const member = agent.group?.members.find(item => item.rank === rank)
	if (!member) return
	const { engine } = member
	const known = agent.candidateLinks.get(rank)
	try {
		if (known && known.engine !== engine) throw new Error('moved')
		const link = known?.link ?? (await openLink(agent, engine))
		agent.candidateLinks.set(rank, { link, engine })
		const hello = await call<AgentHello>(link, 'hello', {}, HELLO_TIMEOUT_MS)
		// An agent that does not know its rank yet cannot coordinate.
		if (hello.rank === rank) agent.answeredAt.set(rank, readNow())
	} catch {
		// The liveness of the candidate depends on the time of its last answer.
		known?.link.socket.destroy()
		agent.candidateLinks.delete(rank)
	}
}

function openLink(agent: Agent, engine: string): Promise<RpcLink> {
	const { ip } = splitAddress(engine)
	return connectRpc(`${ip}:${agent.settings.agentPort}`, {}, HELLO_TIMEOUT_MS)
}

function startCoordinating(agent: Agent, report: RankReport): void {
	if (agent.coordinator || !agent.group || agent.stopping) return
	const { port, log, settings, group } = agent
	const random = createRandom(randomBytes(4).readUInt32LE())
	const { agentPort, linkMbps } = settings
	const co = createCoordinator(
		port,
		log,
		random,
		report.rank,
		agentPort,
		linkMbps * BYTES_PER_MS_PER_MBPS,
	)
	const name = `${settings.service}/${report.group}`
	co.onStatus = status =>
		reportGroup(agent.reporter, { group: name, ...status })
	applyGroup(co, group)
	// The agents of earlier candidates do not answer, so their engines are called directly.
	for (const rank of CANDIDATES.slice(0, CANDIDATES.indexOf(report.rank)))
		bypassAgent(co, rank)
	agent.coordinator = co
	log.write('coordinates', { group: report.group, rank: report.rank })
	void runCoordinator(co).catch(err => {
		faults.count++
		log.write('internal fault', { detail: describeFault(err) })
		stopCoordinating(agent, 'internal fault')
	})
}

function stopCoordinating(agent: Agent, reason: string): void {
	if (!agent.coordinator) return
	stopCoordinator(agent.coordinator)
	agent.coordinator = undefined
	agent.log.write('coordinates no more', { reason })
}
