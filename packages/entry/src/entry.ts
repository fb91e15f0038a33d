/** The entry process: accepts callers' requests and routes each to a backend server. */

import { randomBytes } from 'node:crypto'
import type { ActiveConfig } from '@juniperhook/core'
import {
	createAffinity,
	createLimits,
	createRandom,
	createRetryBudget,
	receivedLimitBytes,
	splitAddress,
} from '@juniperhook/core'
import type {
	Follower,
	Hello,
	Listener,
	Methods,
	Metrics,
	Need,
	Settings,
	Vm,
	Waits,
} from '@juniperhook/runtime'
import {
	activeRevision,
	closeListener,
	createBodyLimits,
	createFollowerMethods,
	createLog,
	createMetrics,
	describeBind,
	describeFollower,
	flushLog,
	handleNode,
	handlePeerRevision,
	listen,
	listenOperators,
	serveRpc,
	sleep,
	startFollower,
	stopRpc,
} from '@juniperhook/runtime'
import { H3 } from 'h3'
import { createCallerAnswer, failAnswer } from './io/caller.ts'
import {
	indexTeams,
	MAX_BODY_BYTES,
	readModelRequest,
	readServiceRequest,
} from './io/callerRequest.ts'
import type { EntryContext } from './io/entryContext.ts'
import {
	EXCHANGE_TICK_INTERVAL_MS,
	tickExchanges,
} from './io/exchangeTimeouts.ts'
import {
	createQuarantineGate,
	createQuarantineMethods,
	pullEvidence,
} from './io/quarantine.ts'
import { serveRequest } from './io/serveRequest.ts'
import {
	applyConfig,
	applyEntries,
	createServerView,
	markLeavingServers,
} from './io/servers.ts'
import {
	applyLiveEntries,
	createLiveEntries,
	createTeamMethods,
	reportToAllTeamHomes,
	TEAM_REPORT_INTERVAL_MS,
} from './io/teamLimits.ts'

/** Time for calls of processes and operators in progress at the end of a stop, ms. */
const MAX_CALL_MS = 1_000
/** Time between reporting not ready and closing the listener, ms. */
const READINESS_GRACE_MS = 1_000
const log = createLog('entry')

/** A running entry. */
export interface EntryProcess {
	readonly settings: Settings
	readonly metrics: Metrics
	readonly follower: Follower
	readonly ctx: EntryContext
	listener: Listener | undefined
	/** Listener for operators. */
	operators: Listener | undefined
	/** Whether all its listeners are bound. */
	isListening: boolean
}

/** Starts an entry; resolves once it listens, or has stopped before. */
export async function startEntry(
	settings: Settings,
	waits: Waits,
): Promise<EntryProcess> {
	const metrics = createMetrics(waits)
	const incarnation = `${Date.now()}-${randomBytes(4).toString('hex')}`
	const createHello = (): Hello => ({
		name: settings.process.name,
		kind: 'entry',
		incarnation,
		revision: activeRevision(follower),
	})
	const { port } = splitAddress(settings.listen.control)
	const ownMethods = {
		...createTeamMethods(() => ctx),
		...createQuarantineMethods(() => ctx),
	}
	const ctx: EntryContext = {
		name: settings.process.name,
		incarnation,
		metrics,
		servers: createServerView(
			createHello,
			port,
			(server, revision) => handlePeerRevision(follower, server, revision),
			{ ...createFollowerMethods(() => follower), ...ownMethods },
		),
		limits: createLimits(),
		retries: createRetryBudget(),
		affinity: createAffinity(),
		random: createRandom(randomBytes(4).readUInt32LE()),
		exchanges: new Set(),
		config: undefined,
		teams: new Map(),
		liveEntries: createLiveEntries(),
		quarantineGate: createQuarantineGate(),
		follower: () => follower,
		nextRequestNumber: 1,
		maxParsedBytes: receivedLimitBytes(settings.limits.memoryMb),
		leaving: false,
	}
	const seed = randomBytes(4).readUInt32LE()
	const follower = startFollower(
		settings,
		metrics,
		{
			onConfigActivated: active => applyActiveConfig(entry, active),
			onVmList: vms => applyVms(ctx, vms),
		},
		seed,
		ownMethods,
	)
	const entry: EntryProcess = {
		settings,
		metrics,
		follower,
		ctx,
		listener: undefined,
		operators: undefined,
		isListening: false,
	}
	process.on('SIGTERM', () => void stopEntry(entry))
	setInterval(() => tickExchanges(ctx), EXCHANGE_TICK_INTERVAL_MS)
	setInterval(() => reportToAllTeamHomes(ctx), TEAM_REPORT_INTERVAL_MS)
	const methods = { ...createFollowerMethods(() => follower), ...ownMethods }
	await bindListeners(entry, methods, waits)
	return entry
}

/** Binds all listeners; returns once that is done, or the entry has stopped before. */
async function bindListeners(
	entry: EntryProcess,
	methods: Methods,
	waits: Waits,
): Promise<void> {
	const { settings, metrics, ctx } = entry
	const bind = (need: Need) => describeBind(need, waits, () => ctx.leaving)
	const bindOperators = async () => {
		const handlers = {
			metrics,
			isReady: () =>
				entry.isListening && ctx.config !== undefined && !ctx.leaving,
			status: () => describeEntry(entry),
		}
		const { operators } = settings.listen
		entry.operators = await listenOperators(
			operators,
			handlers,
			bind('operators'),
		)
	}
	const bindData = async () => {
		entry.listener = await listen(
			createApp(ctx),
			settings.listen.data,
			bind('data'),
			{
				bodies: createBodyLimits(MAX_BODY_BYTES, settings.limits.memoryMb),
				onBadRequest: kind => metrics.refusals.inc({ kind }),
			},
		)
	}
	const { control } = settings.listen
	await Promise.all([
		bindOperators(),
		bindData(),
		serveRpc(control, methods, () => {}, bind('control')),
	])
	if (ctx.leaving) return
	entry.isListening = true
	log({ msg: 'entry listens', server: settings.process.name })
}

function createApp(ctx: EntryContext): H3 {
	const app = new H3()
	const models = handleNode((req, res) =>
		serveRequest(ctx, readModelRequest, req, res),
	)
	const services = handleNode((req, res) =>
		serveRequest(ctx, readServiceRequest, req, res),
	)
	app.all('/v1/chat/completions', models)
	app.all('/v1/completions', models)
	app.all('/services/:service/**', services)
	app.all('/services/:service', services)
	app.all(
		'/**',
		handleNode(async (_req, res) => {
			ctx.metrics.refusals.inc({ kind: 'notFound' })
			const outcome = { outcome: 'notRun', kind: 'notFound' } as const
			failAnswer(createCallerAnswer(res), { ...outcome, retryAfterMs: 0 })
		}),
	)
	return app
}

function applyActiveConfig(entry: EntryProcess, active: ActiveConfig): void {
	entry.ctx.config = active.config
	entry.ctx.teams = indexTeams(active.config)
	applyConfig(entry.ctx.servers, active.config)
	log({ msg: 'configuration in force', revision: active.revision })
}

function applyVms(ctx: EntryContext, vms: readonly Vm[]): void {
	const entries = vms.filter(vm => vm.kind === 'entry')
	const leaving = vms.filter(vm => vm.state === 'leaving')
	const live = entries.filter(vm => vm.state === 'live')
	applyLiveEntries(
		ctx,
		live.map(vm => vm.name),
	)
	pullEvidence(ctx)
	applyEntries(ctx.servers, entries, ctx.config)
	markLeavingServers(ctx.servers, new Set(leaving.map(vm => vm.name)))
}

/**
 * Stops the entry: reports not ready, then closes the listener, and exits once all requests
 * that it has read are answered. Further signals have no effect.
 */
async function stopEntry(entry: EntryProcess): Promise<void> {
	const { ctx, listener, operators } = entry
	if (ctx.leaving) return
	ctx.leaving = true
	entry.follower.stopped = true
	log({ msg: 'stop begun', detail: `${ctx.exchanges.size} requests in flight` })
	await sleep(READINESS_GRACE_MS)
	if (listener) await closeListener(listener)
	const calls = [stopRpc(), operators && closeListener(operators)]
	await Promise.race([Promise.all(calls), sleep(MAX_CALL_MS)])
	log({ msg: 'stopped' })
	await flushLog()
	process.exit(0)
}

function describeEntry(entry: EntryProcess): object {
	const { ctx } = entry
	const { table } = ctx.servers
	return {
		kind: 'entry',
		name: entry.settings.process.name,
		incarnation: ctx.incarnation,
		...describeFollower(entry.follower),
		state: ctx.leaving ? 'leaving' : 'serving',
		entries: ctx.liveEntries.share.count,
		running: ctx.exchanges.size,
		servers: table.names.map((name, row) => ({
			name,
			open: table.open[row] === 1,
			linked: ctx.servers.peers.get(name)?.keepsLink ?? false,
			load: table.reportedLoad[row]! + table.sentSinceReport[row]!,
			revision: ctx.servers.peers.get(name)?.revision ?? 0,
		})),
	}
}
