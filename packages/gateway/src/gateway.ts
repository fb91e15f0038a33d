/** An entry that serves callers directly from backend servers. */

import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import {
	createByteBudget,
	createRandom,
	createServerList,
	createSharedState,
	receivedLimitBytes,
} from '@juniperhook/core'
import type {
	BindOptions,
	EventLog,
	Need,
	Step,
	Steps,
	Waits,
} from '@juniperhook/runtime'
import {
	bindServer,
	createLoggedWaits,
	createServerInTurn,
	createSteps,
	describeFault,
	failingMs,
	faults,
	readElapsed,
	runSteps,
} from '@juniperhook/runtime'
import { applyTimeouts, createCallerListener } from './callerListener.ts'
import { refuseOverdue } from './callerRequest.ts'
import { followCatalog, tickCatalog } from './catalog.ts'
import { expireColdServers } from './coldServers.ts'
import { createColdGate } from './coldState.ts'
import { createConnectionGate, measureLoad } from './connectionGate.ts'
import type { GatewayContext, GatewaySettings } from './context.ts'
import { expireCrashChecks } from './crashDetector.ts'
import { createCrashDetector } from './crashDetectorState.ts'
import { createFleet } from './fleet.ts'
import { checkHeldResponses } from './heldResponses.ts'
import { createHeldResponses } from './heldResponsesState.ts'
import { createGatewayMetrics } from './metrics.ts'
import { startPeers } from './peers.ts'
import { dropUnlimitedPermits } from './permitGate.ts'
import { createPermitHomes, createPermitStore } from './permitState.ts'
import type { CatalogSource, ServerWire } from './ports.ts'
import { createQuarantineGate } from './quarantineState.ts'
import { expireRateLimits } from './rateLimits.ts'
import { createReturnState } from './returnState.ts'
import { createSentRequests, expireAbandoned } from './sentRequests.ts'
import { expireBackoffs } from './serverBackoffs.ts'
import { createServerPool, resizeIdle } from './serverPool.ts'
import { serveQueues } from './serverQueue.ts'
import { stopOnSignal } from './shutdown.ts'
import { checkSuspension } from './suspension.ts'
import { createSuspensionWatch } from './suspensionWatch.ts'
import { isSynchronized } from './synchronization.ts'
import { createUnrecognizedSignals } from './unrecognizedSignals.ts'
import { reportWork } from './workReport.ts'
import { createWorkState } from './workState.ts'

/** Interval of the periodic work on queues, removals and limits, ms. */
const TICK_MS = 50

/** Delay before the source is followed again after an internal fault, ms. */
const FOLLOW_RESTART_MS = 1_000

/**
 * Starts a gateway; resolves once it listens, or has stopped before. `waits` records what
 * it waits for.
 */
export async function startGateway(
	settings: GatewaySettings,
	{ names, readStatement, readRequestSize, readSharedParts }: ServerWire,
	source: CatalogSource,
	log: EventLog,
	waits: Waits = createLoggedWaits(log),
): Promise<GatewayContext> {
	const list = createServerList()
	const sharedState = createSharedState(list.departed)
	const ctx: GatewayContext = {
		settings,
		wire: names,
		readStatement,
		readRequestSize,
		readSharedParts,
		unrecognizedSignals: createUnrecognizedSignals(),
		log,
		metrics: createGatewayMetrics(waits),
		random: createRandom(randomBytes(4).readUInt32LE()),
		fleet: createFleet(),
		pool: createServerPool(),
		list,
		startedAt: readElapsed(),
		isListening: false,
		hasPeerState: false,
		settledRemovals: [],
		sourceAway: false,
		features: new Map(),
		routes: undefined,
		published: undefined,
		newestPeerVersion: -1,
		configAppliedAt: 0,
		closures: new Map(),
		expectedOpenAt: new Map(),
		blockages: new Map(),
		pressures: new Map(),
		work: createWorkState(),
		returns: createReturnState(),
		retries: new Map(),
		entryCount: Math.max(1, settings.seeds.length),
		sentRequests: createSentRequests(),
		crashDetector: createCrashDetector(),
		suspension: createSuspensionWatch(),
		connectionGate: createConnectionGate(),
		sharedState,
		outbox: new Map(),
		rateLimits: sharedState.rateLimits,
		backoffs: new Map(),
		permits: createPermitStore(),
		permitHomes: createPermitHomes(settings.control),
		coldGate: createColdGate(),
		heldResponses: createHeldResponses(settings.memoryMb),
		received: createByteBudget(receivedLimitBytes(settings.memoryMb)),
		openRequests: 0,
		requestsBeingRead: new Set(),
		quarantineGate: createQuarantineGate(sharedState.quarantine),
		cancelByRequest: new Map(),
		connections: new Map(),
		operatorConnections: new Map(),
		durations: new Map(),
		shutdown: undefined,
	}
	const callers = createCallerListener(ctx)
	stopOnSignal(ctx, callers)
	void keepFollowing(ctx, source)
	const steps = createGatewaySteps(ctx, callers)
	setInterval(() => runSteps(steps), TICK_MS)
	const bind = (need: Need) => describeBind(ctx, waits, need)
	// Requests are served without metrics.
	if (settings.metrics)
		void bindServer(createMetricsServer(ctx), settings.metrics, bind('metrics'))
	const readiness = createReadinessServer(ctx, steps)
	const bound = await Promise.all([
		bindServer(callers, settings.callers, bind('callers')),
		bindServer(readiness, settings.readiness, bind('readiness')),
		startPeers(ctx, source, bind('control')),
	])
	if (bound.includes(false)) return ctx
	ctx.isListening = true
	log.write('entry started', { name: settings.name, address: settings.callers })
	return ctx
}

function describeBind(
	ctx: GatewayContext,
	waits: Waits,
	need: Need,
): BindOptions {
	return {
		need,
		waits,
		isStopping: () => ctx.shutdown !== undefined,
		onError: err =>
			ctx.log.write('connection not accepted', { need, reason: err.message }),
	}
}

/** Follows the source; after an internal fault, everything is read again. */
async function keepFollowing(
	ctx: GatewayContext,
	source: CatalogSource,
): Promise<void> {
	for (;;) {
		try {
			await followCatalog(ctx, source)
		} catch (err) {
			faults.count++
			ctx.log.write('internal fault', { detail: describeFault(err) })
		}
		await new Promise(resolve => setTimeout(resolve, FOLLOW_RESTART_MS))
	}
}

/** Name of the step without which requests that wait are not served. */
const QUEUE_STEP = 'queues'
/** Time for which that step fails until the entry is no longer ready, ms. */
const MAX_QUEUE_FAILURE_MS = 1_000

/** The periodic work of an entry, in its order. */
function createGatewaySteps(ctx: GatewayContext, callers: Server): Steps {
	const list: Step[] = [
		{ name: 'suspension', run: () => checkSuspension(ctx) },
		{ name: 'load', run: () => measureLoad(ctx, TICK_MS) },
		{ name: 'cold servers', run: () => expireColdServers(ctx) },
		{ name: 'catalog', run: () => tickCatalog(ctx) },
		{ name: 'crash checks', run: () => expireCrashChecks(ctx) },
		{ name: 'abandoned', run: () => expireAbandoned(ctx.sentRequests) },
		{ name: 'rate limits', run: () => expireRateLimits(ctx) },
		{ name: 'permits', run: () => dropUnlimitedPermits(ctx) },
		{ name: 'backoffs', run: () => expireBackoffs(ctx) },
		{ name: 'held responses', run: () => checkHeldResponses(ctx) },
		{ name: 'overdue requests', run: () => refuseOverdue(ctx) },
		{ name: QUEUE_STEP, run: () => serveQueues(ctx) },
		{ name: 'work', run: () => reportWork(ctx) },
		{ name: 'connections', run: () => applyConnectionSettings(ctx, callers) },
	]
	return createSteps(list, fault => ctx.log.write('step failed', { ...fault }))
}

function applyConnectionSettings(ctx: GatewayContext, callers: Server): void {
	const config = ctx.routes?.config
	if (!config) return
	resizeIdle(ctx.pool, config.services, ctx.entryCount)
	applyTimeouts(ctx, callers)
}

function createReadinessServer(ctx: GatewayContext, steps: Steps): Server {
	return createServerInTurn(ctx.operatorConnections, {}, (_req, res) => {
		const ready =
			ctx.isListening &&
			ctx.routes !== undefined &&
			!ctx.shutdown &&
			ctx.connectionGate.overload === undefined &&
			failingMs(steps, QUEUE_STEP) < MAX_QUEUE_FAILURE_MS &&
			isSynchronized(ctx)
		res.writeHead(ready ? 200 : 503, { 'Content-Length': 0 })
		res.end()
	})
}

function createMetricsServer(ctx: GatewayContext): Server {
	return createServerInTurn(ctx.operatorConnections, {}, async (_req, res) => {
		const { registry } = ctx.metrics
		const text = await registry.metrics()
		res.writeHead(200, { 'Content-Type': registry.contentType })
		res.end(text)
	})
}
