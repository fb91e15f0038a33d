/**
 * The agent: one small process beside each backend server. It admits requests, runs them
 * on the server and reports the server's load to entries.
 */

import { randomBytes } from 'node:crypto'
import type { ActiveConfig } from '@juniperhook/core'
import {
	listServiceServers,
	recordServerSet,
	splitAddress,
} from '@juniperhook/core'
import type {
	Hello,
	Need,
	RpcLink,
	Settings,
	Vm,
	Waits,
} from '@juniperhook/runtime'
import {
	AttemptRefSchema,
	activeRevision,
	closeListener,
	createBodyLimits,
	createFollowerMethods,
	createLog,
	createMetrics,
	describeBind,
	describeFollower,
	fail,
	flushLog,
	HelloSchema,
	handlePeerConnected,
	listen,
	listenOperators,
	notify,
	serveRpc,
	sleep,
	startFollower,
	stopRpc,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import type { AgentProcess } from './agentState.ts'
import { BACKEND_CHECK_INTERVAL_MS, checkBackend } from './io/backendWatch.ts'
import {
	computeStepShare,
	createGroupMethods,
	describeGroup,
	joinGroup,
} from './io/group.ts'
import type { GroupMember } from './io/groupMember.ts'
import { createOfferApp } from './io/offers.ts'
import { isIdle, sendHeartbeats, tickRequests } from './io/openRequests.ts'
import { cancelAttempt, stepTable, voidAttempt } from './io/requests.ts'
import type { RequestTable } from './io/requestTable.ts'
import { createRequestTable } from './io/requestTable.ts'
import { describeServer } from './io/serverSignals.ts'
import {
	pushReport,
	pushReports,
	readServerState,
	reportChanges,
} from './reports.ts'

const TICK_INTERVAL_MS = 100
/** Interval of load reports for entries that receive no answers, which carry the load. */
const REPORT_INTERVAL_MS = 2_000
const HEARTBEAT_INTERVAL_MS = 1_000
const IDLE_CHECK_INTERVAL_MS = 50
/** Time for calls of entries and operators in progress at the end of a stop, ms. */
const MAX_CALL_MS = 1_000
/** Limit for the offer's header, which contains the caller's own headers. */
const MAX_OFFER_HEADER_BYTES = 65_536
/** Largest request body that an entry may send, bytes. */
const MAX_BODY_BYTES = 16_777_216
const log = createLog('agent')

/** Starts an agent; resolves once it listens, or has stopped before. */
export async function startAgent(
	settings: Settings,
	waits: Waits,
): Promise<AgentProcess> {
	const incarnation = `${Date.now()}-${randomBytes(4).toString('hex')}`
	const metrics = createMetrics(waits)
	const seed = randomBytes(4).readUInt32LE()
	const follower = startFollower(
		settings,
		metrics,
		{
			onConfigActivated: active => applyConfig(agent, active),
			onVmList: vms => leaveIfListed(agent, vms),
		},
		seed,
	)
	const agent: AgentProcess = {
		settings,
		incarnation,
		metrics,
		follower,
		links: new Set(),
		lastReportedLoad: '',
		reportPeriods: 0,
		listener: undefined,
		operators: undefined,
		isListening: false,
		requests: undefined,
		group: undefined,
	}
	process.on('SIGTERM', () => void stopAgent(agent))
	startTimers(agent)
	await bindListeners(agent, waits)
	return agent
}

/** Binds all listeners; returns once that is done, or the agent has stopped before. */
async function bindListeners(agent: AgentProcess, waits: Waits): Promise<void> {
	const { settings, metrics, follower } = agent
	const bind = (need: Need) => describeBind(need, waits, () => follower.stopped)
	const bindControl = async () => {
		const onLink = (link: RpcLink) => {
			agent.links.add(link)
			link.socket.once('close', () => agent.links.delete(link))
		}
		const { control } = settings.listen
		await serveRpc(control, createMethods(agent), onLink, bind('control'))
	}
	const bindData = async () => {
		agent.listener = await listen(
			createOfferApp(() => agent.requests),
			settings.listen.data,
			bind('data'),
			{
				maxHeaderSize: MAX_OFFER_HEADER_BYTES,
				bodies: createBodyLimits(MAX_BODY_BYTES, settings.limits.memoryMb),
			},
		)
	}
	const bindOperators = async () => {
		const handlers = {
			metrics,
			isReady: () =>
				agent.isListening && readServerState(agent.requests) === 'serving',
			status: () => describeAgent(agent),
		}
		agent.operators = await listenOperators(
			settings.listen.operators,
			handlers,
			bind('operators'),
		)
	}
	await Promise.all([bindControl(), bindData(), bindOperators()])
	if (follower.stopped) return
	agent.isListening = true
	log({ msg: 'agent listens', server: settings.process.name })
}

function applyConfig(agent: AgentProcess, active: ActiveConfig): void {
	const name = agent.settings.process.name
	const server = active.config.server[name]
	if (!server) {
		log({ msg: 'this server is not configured', server: name })
		if (agent.requests) startLeaving(agent)
		return
	}
	agent.requests ??= createRequestTable(
		name,
		agent.incarnation,
		active.config,
		server,
		agent.metrics,
		{
			onChange: () => pushReports(agent),
			onConnectionBroken: () => checkServer(agent),
		},
	)
	const table = agent.requests
	table.config = active.config
	table.server = server
	table.admission.slots = server.slots
	updateGroup(agent, active)
	if (server.service) {
		const servers = listServiceServers(active.config, server.service)
		recordServerSet(table.keyHomes, servers, Date.now())
	}
	pushReports(agent)
}

function updateGroup(agent: AgentProcess, active: ActiveConfig): void {
	const { name } = agent.settings.process
	const { port } = splitAddress(agent.settings.listen.control)
	agent.group ??= joinGroup(name, active.config, port)
	if (!agent.group) return
	agent.group.config = active.config
	const groups = Object.values(active.config.group)
	const group = groups.find(one => one.ranks.includes(name))
	if (group) agent.group.group = group
}

function createMethods(agent: AgentProcess) {
	const table = () => agent.requests ?? fail('noConfig', 'agent')
	return {
		...createFollowerMethods(() => agent.follower),
		...createGroupMethods(() => agent.group ?? fail('notFound', 'no group')),
		hello(params: unknown, link: RpcLink): Hello {
			link.remoteName = v.parse(HelloSchema, params).name
			handlePeerConnected(agent.follower, link.remoteName, link)
			queueMicrotask(() => pushReport(agent, link))
			return {
				name: agent.settings.process.name,
				kind: 'agent',
				incarnation: agent.incarnation,
				revision: activeRevision(agent.follower),
			}
		},
		voidAttempt: (params: unknown) =>
			voidAttempt(table(), v.parse(AttemptRefSchema, params)),
		cancelAttempt: (params: unknown) =>
			cancelAttempt(table(), v.parse(AttemptRefSchema, params)),
	}
}

function startTimers(agent: AgentProcess): void {
	setInterval(() => {
		if (agent.requests) tickRequests(agent.requests)
		if (agent.requests && agent.group)
			applyGroupState(agent.requests, agent.group)
	}, TICK_INTERVAL_MS)
	setInterval(() => {
		if (agent.requests) sendHeartbeats(agent.requests)
	}, HEARTBEAT_INTERVAL_MS)
	setInterval(() => reportChanges(agent), REPORT_INTERVAL_MS)
	setInterval(() => checkServer(agent), BACKEND_CHECK_INTERVAL_MS)
}

function checkServer({ requests, links }: AgentProcess): void {
	if (!requests) return
	void checkBackend(requests, notice => {
		for (const link of links)
			if (link.remoteName !== '') notify(link, 'serverEnd', notice)
	})
}

function applyGroupState(table: RequestTable, group: GroupMember): void {
	table.stepShare = computeStepShare(group)
	if (group.split) stepTable(table, { type: 'suspect' })
}

function leaveIfListed(agent: AgentProcess, vms: readonly Vm[]): void {
	const { name } = agent.settings.process
	const own = vms.find(vm => vm.name === name)
	if (own?.state === 'leaving') startLeaving(agent)
}

function startLeaving(agent: AgentProcess): void {
	if (!agent.requests || agent.requests.admission.mode === 'leaving') return
	log({ msg: 'leaving', server: agent.settings.process.name })
	stepTable(agent.requests, { type: 'leave' })
	pushReports(agent)
}

/**
 * Refuses new requests, finishes those in flight, then exits the process. Further signals
 * have no effect.
 */
async function stopAgent(agent: AgentProcess): Promise<void> {
	if (agent.follower.stopped) return
	agent.follower.stopped = true
	startLeaving(agent)
	while (agent.requests && !isIdle(agent.requests))
		await sleep(IDLE_CHECK_INTERVAL_MS)
	const { listener, operators } = agent
	if (listener) await closeListener(listener)
	const calls = [stopRpc(), operators && closeListener(operators)]
	await Promise.race([Promise.all(calls), sleep(MAX_CALL_MS)])
	log({ msg: 'stopped', server: agent.settings.process.name })
	await flushLog()
	process.exit(0)
}

function describeAgent(agent: AgentProcess): object {
	const table = agent.requests
	return {
		kind: 'agent',
		name: agent.settings.process.name,
		incarnation: agent.incarnation,
		...describeFollower(agent.follower),
		state: table?.admission.mode ?? 'waiting for configuration',
		server: table ? describeServer(table.admission) : '',
		running: table?.admission.running ?? 0,
		waiting: table?.admission.queue.waiting.length ?? 0,
		keys: table?.admission.keys.size ?? 0,
		...(agent.group && { map: describeGroup(agent.group) }),
		entries: [...agent.links].map(link => link.remoteName),
	}
}
