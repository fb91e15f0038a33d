/** An agent: one small process beside each backend server. */

import { randomBytes } from 'node:crypto'
import type { ActiveConfig } from '@juniperhook/core'
import {
	listServiceServers,
	recordServerSet,
	splitAddress,
} from '@juniperhook/core'
import type { Hello, RpcLink, Settings, Vm } from '@juniperhook/runtime'
import {
	AttemptRefSchema,
	createFollowerMethods,
	createLog,
	createMetrics,
	describeFollower,
	fail,
	HelloSchema,
	listen,
	listenOperators,
	handlePeerConnected,
	notify,
	activeRevision,
	serveRpc,
	startFollower,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import type { AgentProcess } from './agentState.ts'
import {
	createGroupMethods,
	describeGroup,
	joinGroup,
	stepShareOf,
} from './io/group.ts'
import type { GroupMember } from './io/groupMember.ts'
import { createOfferApp } from './io/offers.ts'
import { beatRequests, isIdle, tickRequests } from './io/openRequests.ts'
import { cancelAttempt, stepTable, voidAttempt } from './io/requests.ts'
import type { RequestTable } from './io/requestTable.ts'
import { createRequestTable } from './io/requestTable.ts'
import { LIFE_LOOK_MS, lookForNextLife } from './io/backendWatch.ts'
import { describeServer } from './io/serverSignals.ts'
import { pushReport, pushReports, reportChanges, stateOf } from './reports.ts'

const TICK_MS = 100
/** Answers carry load reports too; these are for entries that get none. */
const REPORT_MS = 2_000
const BEAT_MS = 1_000
const IDLE_CHECK_MS = 50
/** The offer's header holds the caller's own headers. */
const MAX_OFFER_HEADER_BYTES = 65_536
const log = createLog('agent')

/** Starts an agent and resolves when it listens. */
export async function startAgent(settings: Settings): Promise<AgentProcess> {
	const incarnation = `${Date.now()}-${randomBytes(4).toString('hex')}`
	const metrics = createMetrics()
	const seed = randomBytes(4).readUInt32LE()
	const follower = startFollower(
		settings,
		metrics,
		{
			onConfigActivated: held => adopt(agent, held),
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
		lastSaid: '',
		periods: 0,
		requests: undefined,
		group: undefined,
	}
	await serveRpc(settings.listen.control, createMethods(agent), link => {
		agent.links.add(link)
		link.socket.once('close', () => agent.links.delete(link))
	})
	await listen(
		createOfferApp(() => agent.requests),
		settings.listen.data,
		{
			maxHeaderSize: MAX_OFFER_HEADER_BYTES,
		},
	)
	await listenOperators(settings.listen.operators, {
		metrics,
		isReady: () => stateOf(agent.requests) === 'serving',
		status: () => describeAgent(agent),
	})
	startTimers(agent)
	process.once('SIGTERM', () => void stopAgent(agent))
	log({ msg: 'agent listens', server: settings.process.name })
	return agent
}

function adopt(agent: AgentProcess, held: ActiveConfig): void {
	const name = agent.settings.process.name
	const server = held.config.server[name]
	if (!server) {
		log({ msg: 'this server is not configured', server: name })
		if (agent.requests) leave(agent)
		return
	}
	agent.requests ??= createRequestTable(
		name,
		agent.incarnation,
		held.config,
		server,
		agent.metrics,
		{
			onChange: () => pushReports(agent),
			onBroken: () => lookAtServer(agent),
		},
	)
	const table = agent.requests
	table.config = held.config
	table.server = server
	table.admission.slots = server.slots
	joinOrFollow(agent, held)
	if (server.service) {
		const servers = listServiceServers(held.config, server.service)
		recordServerSet(table.homes, servers, Date.now())
	}
	pushReports(agent)
}

function joinOrFollow(agent: AgentProcess, held: ActiveConfig): void {
	const { name } = agent.settings.process
	const { port } = splitAddress(agent.settings.listen.control)
	agent.group ??= joinGroup(name, held.config, port)
	if (!agent.group) return
	agent.group.config = held.config
	const groups = Object.values(held.config.group)
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
		if (agent.requests && agent.group) followGroup(agent.requests, agent.group)
	}, TICK_MS)
	setInterval(() => {
		if (agent.requests) beatRequests(agent.requests)
	}, BEAT_MS)
	setInterval(() => reportChanges(agent), REPORT_MS)
	setInterval(() => lookAtServer(agent), LIFE_LOOK_MS)
}

function lookAtServer({ requests, links }: AgentProcess): void {
	if (!requests) return
	void lookForNextLife(requests, notice => {
		for (const link of links)
			if (link.remoteName !== '') notify(link, 'serverEnd', notice)
	})
}

function followGroup(table: RequestTable, group: GroupMember): void {
	table.stepShare = stepShareOf(group)
	if (group.split) stepTable(table, { type: 'suspect' })
}

function leaveIfListed(agent: AgentProcess, vms: readonly Vm[]): void {
	const { name } = agent.settings.process
	const own = vms.find(vm => vm.name === name)
	if (own?.state === 'leaving') leave(agent)
}

function leave(agent: AgentProcess): void {
	if (!agent.requests || agent.requests.admission.mode === 'leaving') return
	log({ msg: 'leaving', server: agent.settings.process.name })
	stepTable(agent.requests, { type: 'leave' })
	pushReports(agent)
}

/** Takes no more work, finishes what is in flight, then ends the process. */
async function stopAgent(agent: AgentProcess): Promise<void> {
	leave(agent)
	agent.follower.stopped = true
	while (agent.requests && !isIdle(agent.requests))
		await new Promise(resolve => setTimeout(resolve, IDLE_CHECK_MS))
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
