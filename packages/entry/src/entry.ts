/** An entry: takes callers' requests and decides where each runs. */

import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import type { ActiveConfig } from '@juniperhook/core'
import {
	createAffinity,
	createLimits,
	createRandom,
	createRetryBudget,
	splitAddress,
} from '@juniperhook/core'
import type {
	Follower,
	Hello,
	Metrics,
	Settings,
	Vm,
} from '@juniperhook/runtime'
import {
	createFollowerMethods,
	createLog,
	createMetrics,
	describeFollower,
	handleNode,
	listen,
	listenOperators,
	handlePeerRevision,
	activeRevision,
	serveRpc,
	startFollower,
} from '@juniperhook/runtime'
import { H3 } from 'h3'
import { createCallerAnswer, failAnswer } from './io/caller.ts'
import type { EntryContext } from './io/entryContext.ts'
import { EXCHANGE_TICK_MS, tickExchanges } from './io/exchangeTimeouts.ts'
import {
	indexTeams,
	readModelRequest,
	readServiceRequest,
} from './io/callerRequest.ts'
import {
	askForEnds,
	createQuarantineBook,
	createQuarantineMethods,
} from './io/quarantine.ts'
import { serveRequest } from './io/serveRequest.ts'
import {
	applyConfig,
	applyEntries,
	applyVmList,
	createServerView,
} from './io/servers.ts'
import {
	applyKeepers,
	createTeamKeepers,
	createTeamMethods,
	TELL_HELD_MS,
	tellAllHeld,
} from './io/teamLimits.ts'

const STOP_CHECK_MS = 50
/** Between the end of readiness and the close of the listener, ms. */
const READINESS_MS = 1_000
const log = createLog('entry')

/** A running entry. */
export interface EntryProcess {
	readonly settings: Settings
	readonly metrics: Metrics
	readonly follower: Follower
	readonly ctx: EntryContext
	listener: Server | undefined
}

/** Starts an entry and resolves when it listens. */
export async function startEntry(settings: Settings): Promise<EntryProcess> {
	const metrics = createMetrics()
	const incarnation = `${Date.now()}-${randomBytes(4).toString('hex')}`
	const introduce = (): Hello => ({
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
			introduce,
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
		keepers: createTeamKeepers(),
		quarantined: createQuarantineBook(),
		follower: () => follower,
		nextRequest: 1,
		leaving: false,
	}
	const seed = randomBytes(4).readUInt32LE()
	const follower = startFollower(
		settings,
		metrics,
		{
			onConfigActivated: held => adopt(entry, held),
			onVmList: vms => noteVms(ctx, vms),
		},
		seed,
		ownMethods,
	)
	await serveRpc(settings.listen.control, {
		...createFollowerMethods(() => follower),
		...ownMethods,
	})
	const entry: EntryProcess = {
		settings,
		metrics,
		follower,
		ctx,
		listener: undefined,
	}
	await listenOperators(settings.listen.operators, {
		metrics,
		isReady: () => ctx.config !== undefined && !ctx.leaving,
		status: () => describeEntry(entry),
	})
	entry.listener = await listen(createApp(ctx), settings.listen.data, {
		onBadRequest: kind => metrics.refusals.inc({ kind }),
	})
	setInterval(() => tickExchanges(ctx), EXCHANGE_TICK_MS)
	setInterval(() => tellAllHeld(ctx), TELL_HELD_MS)
	process.once('SIGTERM', () => void stopEntry(entry))
	log({ msg: 'entry listens', server: settings.process.name })
	return entry
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

function adopt(entry: EntryProcess, held: ActiveConfig): void {
	entry.ctx.config = held.config
	entry.ctx.teams = indexTeams(held.config)
	applyConfig(entry.ctx.servers, held.config)
	log({ msg: 'configuration in force', revision: held.revision })
}

function noteVms(ctx: EntryContext, vms: readonly Vm[]): void {
	const entries = vms.filter(vm => vm.kind === 'entry')
	const leaving = vms.filter(vm => vm.state === 'leaving')
	const live = entries.filter(vm => vm.state === 'live')
	applyKeepers(
		ctx,
		live.map(vm => vm.name),
	)
	askForEnds(ctx)
	applyEntries(ctx.servers, entries, ctx.config)
	applyVmList(ctx.servers, new Set(leaving.map(vm => vm.name)))
}

/** Readiness goes first, then the listener; no request in flight is cut. */
async function stopEntry(entry: EntryProcess): Promise<void> {
	const { ctx, listener } = entry
	ctx.leaving = true
	entry.follower.stopped = true
	await new Promise(resolve => setTimeout(resolve, READINESS_MS))
	listener?.close()
	listener?.closeIdleConnections()
	while (ctx.exchanges.size > 0)
		await new Promise(resolve => setTimeout(resolve, STOP_CHECK_MS))
	listener?.closeIdleConnections()
	setTimeout(() => process.exit(0), STOP_CHECK_MS)
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
		entries: ctx.keepers.part.count,
		running: ctx.exchanges.size,
		servers: table.names.map((name, row) => ({
			name,
			open: table.open[row] === 1,
			linked: ctx.servers.peers.get(name)?.awake ?? false,
			load: table.reportedLoad[row]! + table.sentSinceReport[row]!,
			revision: ctx.servers.peers.get(name)?.revision ?? 0,
		})),
	}
}
