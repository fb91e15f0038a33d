/** An entry that serves callers directly from backend servers. */

import { randomBytes } from 'node:crypto'
import type { Server } from 'node:http'
import { createServer, STATUS_CODES } from 'node:http'
import type { Duplex } from 'node:stream'
import {
	createRandom,
	createServerList,
	createSharedState,
	ERRORS,
	splitAddress,
} from '@juniperhook/core'
import type { EventLog } from '@juniperhook/runtime'
import {
	kindOfClientError,
	messageOf,
	readElapsed,
	readNow,
} from '@juniperhook/runtime'
import { followCatalog, tickCatalog } from './catalog.ts'
import { expireColdServers } from './coldServers.ts'
import { createColdGate } from './coldState.ts'
import {
	createConnectionGate,
	guardConnections,
	measureLoad,
} from './connectionGate.ts'
import type { GatewayContext, GatewaySettings } from './context.ts'
import { expireCrashChecks } from './crashDetector.ts'
import { createCrashDetector } from './crashDetectorState.ts'
import { createFleet } from './fleet.ts'
import { serveCaller } from './forward.ts'
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
import { checkSuspension } from './suspension.ts'
import { createSuspensionWatch } from './suspensionWatch.ts'
import { isSynchronized } from './synchronization.ts'
import { createUnrecognizedSignals } from './unrecognizedSignals.ts'
import { reportWork } from './workReport.ts'
import { createWorkState } from './workState.ts'

/** Limit of the HTTP parser; the configuration's limit is lower. */
const MAX_HEADER_BYTES = 65_536
/** Timeouts until a configuration is known, ms. */
const INITIAL_HEADER_TIMEOUT_MS = 10_000
const INITIAL_IDLE_TIMEOUT_MS = 15_000
/** Kept-alive connections outlive the published idle timeout by this, ms. */
const IDLE_MARGIN_MS = 2_000
/** Interval of the periodic work on queues, removals and limits, ms. */
const TICK_MS = 50
/**
 * Delay between failing readiness and closing connections, ms: the load balancer needs
 * two failed health checks, 1 s apart, to stop sending.
 */
const BALANCER_DELAY_MS = 2_500
/** Time before SIGKILL at which the requests still open are ended, ms. */
const END_BEFORE_KILL_MS = 300
const STOP_CHECK_MS = 50
/** Time for the last responses to be flushed, ms; part of END_BEFORE_KILL_MS. */
const FLUSH_MS = 150

/** Starts a gateway; resolves once it listens. */
export async function startGateway(
	settings: GatewaySettings,
	{ names, readStatement, readRequestSize, readSharedParts }: ServerWire,
	source: CatalogSource,
	log: EventLog,
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
		metrics: createGatewayMetrics(),
		random: createRandom(randomBytes(4).readUInt32LE()),
		fleet: createFleet(),
		pool: createServerPool(),
		list,
		startedAt: readElapsed(),
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
		openRequests: 0,
		quarantineGate: createQuarantineGate(sharedState.quarantine),
		cancelByRequest: new Map(),
		stopping: false,
	}
	const callers = listenForCallers(ctx)
	await listenOn(callers, settings.callers)
	await listenOn(createReadinessServer(ctx), settings.readiness)
	if (settings.metrics)
		await listenOn(createMetricsServer(ctx), settings.metrics)
	await startPeers(ctx, source)
	void followCatalog(ctx, source).catch(err => {
		// An entry that no longer follows the source serves stale state; it is restarted.
		log.write('internal fault', { detail: messageOf(err) })
		log.flush()
		process.exit(1)
	})
	setInterval(() => tick(ctx, callers), TICK_MS)
	process.once('SIGTERM', () => void stopGateway(ctx, callers))
	log.write('entry started', { name: settings.name, address: settings.callers })
	return ctx
}

function tick(ctx: GatewayContext, callers: Server): void {
	checkSuspension(ctx)
	measureLoad(ctx, TICK_MS)
	expireColdServers(ctx)
	tickCatalog(ctx)
	expireCrashChecks(ctx)
	expireAbandoned(ctx.sentRequests)
	expireRateLimits(ctx)
	dropUnlimitedPermits(ctx)
	expireBackoffs(ctx)
	checkHeldResponses(ctx)
	serveQueues(ctx)
	reportWork(ctx)
	const config = ctx.routes?.config
	if (!config) return
	resizeIdle(ctx.pool, config.services, ctx.entryCount)
	const { limits } = config
	callers.headersTimeout = limits.headerTimeoutMs
	callers.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS
}

function listenForCallers(ctx: GatewayContext): Server {
	const server = createServer(
		{
			maxHeaderSize: MAX_HEADER_BYTES,
			headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
			requestTimeout: 0,
			keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS + IDLE_MARGIN_MS,
			connectionsCheckingInterval: 500,
			noDelay: true,
		},
		(req, res) => {
			serveCaller(ctx, req, res).catch(err => {
				ctx.log.write('internal fault', { detail: String(err?.stack ?? err) })
				res.destroy()
			})
		},
	)
	guardConnections(ctx, server)
	server.on('clientError', (err: NodeJS.ErrnoException, socket: Duplex) =>
		answerClientError(ctx, err, socket),
	)
	return server
}

function answerClientError(
	ctx: GatewayContext,
	err: NodeJS.ErrnoException,
	socket: Duplex,
): void {
	const kind = kindOfClientError(err.code)
	if (!kind || !socket.writable) {
		socket.destroy()
		return
	}
	ctx.metrics.refusals.inc({ kind })
	const { status, text } = ERRORS[kind]
	const body = JSON.stringify({ error: kind, message: text, ran: 'no' })
	const head = [
		`HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
		'Content-Type: application/json',
		`Content-Length: ${Buffer.byteLength(body)}`,
		'Connection: close',
	]
	socket.end(`${head.join('\r\n')}\r\n\r\n${body}`)
}

function createReadinessServer(ctx: GatewayContext): Server {
	return createServer((_req, res) => {
		const ready =
			ctx.routes !== undefined &&
			!ctx.stopping &&
			ctx.connectionGate.overload === undefined &&
			isSynchronized(ctx)
		res.writeHead(ready ? 200 : 503, { 'Content-Length': 0 })
		res.end()
	})
}

function createMetricsServer(ctx: GatewayContext): Server {
	return createServer(async (_req, res) => {
		const { registry } = ctx.metrics
		const text = await registry.metrics()
		res.writeHead(200, { 'Content-Type': registry.contentType })
		res.end(text)
	})
}

function listenOn(server: Server, address: string): Promise<void> {
	const { ip, port } = splitAddress(address)
	return new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, ip, resolve)
	})
}

/**
 * Stops gracefully. Readiness fails first; once the load balancer has noticed, idle
 * connections are closed, and the process exits after the last request.
 */
async function stopGateway(
	ctx: GatewayContext,
	callers: Server,
): Promise<void> {
	const startedAt = readNow()
	const { stopMs } = ctx.settings
	ctx.stopping = true
	ctx.log.write('stop begun', { open: ctx.openRequests })
	const endAt = startedAt + stopMs - END_BEFORE_KILL_MS
	await sleep(Math.min(BALANCER_DELAY_MS, stopMs / 2))
	callers.close()
	do {
		callers.closeIdleConnections()
		await sleep(STOP_CHECK_MS)
	} while (hasOpenResponses(ctx) && readNow() < endAt)
	if (ctx.openRequests > 0) await endOpenRequests(ctx)
	ctx.log.write('stopped', {
		open: ctx.openRequests,
		tookMs: Math.round(readNow() - startedAt),
	})
	ctx.log.flush()
	process.exit(0)
}

/** Returns whether requests are served or answers of ended ones still delivered. */
function hasOpenResponses({
	openRequests,
	heldResponses,
}: GatewayContext): boolean {
	return openRequests > 0 || heldResponses.queues.size > 0
}

/** Ends all open requests with a response, while there is time to send it. */
export async function endOpenRequests(ctx: GatewayContext): Promise<void> {
	ctx.log.write('open requests ended', { open: ctx.openRequests })
	for (const cancel of [...ctx.cancelByRequest.values()]) cancel('timeout')
	await sleep(FLUSH_MS)
}

/** Waits with a referenced timer, which keeps the process alive. */
function sleep(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
