/** An entry that serves callers straight from backend servers. */

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
import type { GatewayContext, GatewaySettings } from './context.ts'
import { expireCrashChecks } from './crashDetector.ts'
import { createCrashDetector } from './crashDetectorState.ts'
import { createFleet } from './fleet.ts'
import { serveCaller } from './forward.ts'
import { createGatewayMetrics } from './metrics.ts'
import { startPeers } from './peers.ts'
import { dropUnlimitedPermits } from './permitGate.ts'
import { createPermitHomes, createPermitStore } from './permitState.ts'
import type { CatalogSource, ServerWire } from './ports.ts'
import { createQuarantineGate } from './quarantineState.ts'
import { expireRateLimits } from './rateLimits.ts'
import { createSentRequests, expireAbandoned } from './sentRequests.ts'
import { expireBackoffs } from './serverBackoffs.ts'
import { createServerPool, resizeIdle } from './serverPool.ts'
import { serveQueues } from './serverQueue.ts'
import { checkSuspension } from './suspension.ts'
import { createSuspensionWatch } from './suspensionWatch.ts'
import { createUnrecognizedSignals } from './unrecognizedSignals.ts'

/** Largest headers that Node reads; the configuration's bound is lower. */
const MAX_HEADER_BYTES = 65_536
/** Until a configuration is known, ms. */
const FIRST_HEADER_MS = 10_000
const FIRST_IDLE_MS = 15_000
/** Kept connections outlive the published idle time by this, ms. */
const IDLE_SLACK_MS = 2_000
/** An entry that starts waits so long at most for what its peers know, ms. */
const INFORM_MS = 1_000
/** Between looks at queues, removals and limits, ms. */
const TICK_MS = 50
/** After SIGTERM, the balancer needs two looks, a second apart, to notice. */
const BALANCER_MS = 2_500
/** Before SIGKILL, connections that are still open are cut, ms. */
const CUT_BEFORE_KILL_MS = 300
const STOP_CHECK_MS = 50
/** For the last answers to leave this process, ms; part of the time above. */
const LAST_ANSWERS_MS = 150

/** Starts a gateway; resolves when it listens. */
export async function startGateway(
	settings: GatewaySettings,
	{ names, readStatement }: ServerWire,
	source: CatalogSource,
	log: EventLog,
): Promise<GatewayContext> {
	const list = createServerList()
	const book = createSharedState(list.departed)
	const ctx: GatewayContext = {
		settings,
		wire: names,
		readStatement,
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
		routes: undefined,
		published: undefined,
		newestPeerVersion: -1,
		configAppliedAt: 0,
		closures: new Map(),
		expectedOpenAt: new Map(),
		blockages: new Map(),
		pressures: new Map(),
		retries: new Map(),
		entryCount: Math.max(1, settings.seeds.length),
		sentRequests: createSentRequests(),
		crashDetector: createCrashDetector(),
		suspension: createSuspensionWatch(),
		sharedState: book,
		outbox: new Map(),
		rateLimits: book.rateLimits,
		backoffs: new Map(),
		permits: createPermitStore(),
		permitHomes: createPermitHomes(settings.control),
		openRequests: 0,
		quarantineGate: createQuarantineGate(book.quarantine),
		cancelByRequest: new Map(),
		stopping: false,
	}
	const callers = listenForCallers(ctx)
	await listenOn(callers, settings.callers)
	await listenOn(createReadiness(ctx), settings.readiness)
	if (settings.metrics) await listenOn(createMetrics(ctx), settings.metrics)
	await startPeers(ctx, source)
	void followCatalog(ctx, source).catch(err => {
		// Without news of the source an entry is better started anew.
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
	tickCatalog(ctx)
	expireCrashChecks(ctx)
	expireAbandoned(ctx.sentRequests)
	expireRateLimits(ctx)
	dropUnlimitedPermits(ctx)
	expireBackoffs(ctx)
	serveQueues(ctx)
	const config = ctx.routes?.config
	if (!config) return
	resizeIdle(ctx.pool, config.services, ctx.entryCount)
	const { limits } = config
	callers.headersTimeout = limits.headerTimeoutMs
	callers.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS
}

function listenForCallers(ctx: GatewayContext): Server {
	const server = createServer(
		{
			maxHeaderSize: MAX_HEADER_BYTES,
			headersTimeout: FIRST_HEADER_MS,
			requestTimeout: 0,
			keepAliveTimeout: FIRST_IDLE_MS + IDLE_SLACK_MS,
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

function createReadiness(ctx: GatewayContext): Server {
	return createServer((_req, res) => {
		const ready = ctx.routes !== undefined && !ctx.stopping && isInformed(ctx)
		res.writeHead(ready ? 200 : 503, { 'Content-Length': 0 })
		res.end()
	})
}

/** Whether peers have told what they know of servers, as far as there are any. */
function isInformed({
	settings,
	hasPeerState: isTold,
	startedAt,
}: GatewayContext): boolean {
	const hasPeers = settings.seeds.some(seed => seed !== settings.control)
	return isTold || !hasPeers || readElapsed() - startedAt >= INFORM_MS
}

function createMetrics(ctx: GatewayContext): Server {
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
 * Readiness goes first. Once the balancer has noticed, idle connections are
 * closed as they fall idle, and the process ends with the last request.
 */
async function stopGateway(
	ctx: GatewayContext,
	callers: Server,
): Promise<void> {
	const startedAt = readNow()
	const { stopMs } = ctx.settings
	ctx.stopping = true
	ctx.log.write('stop begun', { open: ctx.openRequests })
	const endAt = startedAt + stopMs - CUT_BEFORE_KILL_MS
	await sleepHeld(Math.min(BALANCER_MS, stopMs / 2))
	callers.close()
	do {
		callers.closeIdleConnections()
		await sleepHeld(STOP_CHECK_MS)
	} while (ctx.openRequests > 0 && readNow() < endAt)
	if (ctx.openRequests > 0) await endOpenRequests(ctx)
	ctx.log.write('stopped', {
		open: ctx.openRequests,
		tookMs: Math.round(readNow() - startedAt),
	})
	ctx.log.flush()
	process.exit(0)
}

/** Gives a final answer to all that are open, while there is time to send it. */
export async function endOpenRequests(ctx: GatewayContext): Promise<void> {
	ctx.log.write('open requests ended', { open: ctx.openRequests })
	for (const giveUp of [...ctx.cancelByRequest.values()]) giveUp('timeOver')
	await sleepHeld(LAST_ANSWERS_MS)
}

/** Waits and keeps the process alive meanwhile. */
function sleepHeld(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}
