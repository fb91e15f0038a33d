/**
 * Takes or closes new connections of callers, and measures the load that decides it. A
 * connection is closed before anything is read from it, so that its caller can retry at
 * another entry whatever it has sent.
 */

import type { Agent, Server } from 'node:http'
import type { Socket } from 'node:net'
import type { ConnectionOverload } from '@juniperhook/core'
import {
	findConnectionOverload,
	isSampleDue,
	OVERLOAD_TICKS,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'

/** Sockets for peers, probes, listeners and the source, and their maximum share. */
const OTHER_SOCKETS = 128
const MAX_OTHER_SHARE = 0.5

/** Connections of callers and the load of this process. */
export interface ConnectionGate {
	/** Open connections of callers. */
	callers: number
	/** Sockets to servers, as of the last tick. */
	toServers: number
	/** Delays of the last timer ticks, ms. */
	tickDelaysMs: number[]
	tickedAt: number
	/** Why no connections are taken; undefined if they are. */
	overload: ConnectionOverload | undefined
	/** When a connection was last taken, ms. */
	takenAt: number
	/** Connections closed since the overload began. */
	closed: number
}

/** Creates a gate that takes connections. */
export function createConnectionGate(): ConnectionGate {
	return {
		callers: 0,
		toServers: 0,
		tickDelaysMs: [],
		tickedAt: readNow(),
		overload: undefined,
		takenAt: readNow(),
		closed: 0,
	}
}

/** Closes the connections that a server for callers must not take. */
export function guardConnections(ctx: GatewayContext, server: Server): void {
	// Before the listener of the HTTP server, which reads from the socket.
	server.prependListener('connection', (socket: Socket) =>
		handleConnection(ctx, socket),
	)
}

function handleConnection(ctx: GatewayContext, socket: Socket): void {
	const { connectionGate, metrics } = ctx
	updateOverload(ctx)
	const now = readNow()
	const isTaken =
		connectionGate.overload === undefined ||
		isSampleDue(now - connectionGate.takenAt)
	if (!isTaken) {
		connectionGate.closed++
		metrics.closedConnections.inc({ reason: connectionGate.overload })
		socket.resetAndDestroy()
		return
	}
	connectionGate.takenAt = now
	connectionGate.callers++
	socket.once('close', () => {
		connectionGate.callers--
	})
}

/** Measures the load; called with each timer tick, `intervalMs` after the last one. */
export function measureLoad(ctx: GatewayContext, intervalMs: number): void {
	const { connectionGate, pool } = ctx
	const now = readNow()
	const delayMs = Math.max(0, now - connectionGate.tickedAt - intervalMs)
	connectionGate.tickedAt = now
	connectionGate.tickDelaysMs.push(delayMs)
	if (connectionGate.tickDelaysMs.length > OVERLOAD_TICKS)
		connectionGate.tickDelaysMs.shift()
	connectionGate.toServers =
		countSockets(pool.keepAlive) + countSockets(pool.oneShot)
	updateOverload(ctx)
}

function countSockets({ sockets, freeSockets }: Agent): number {
	let count = 0
	for (const lists of [sockets, freeSockets])
		for (const list of Object.values(lists)) count += list?.length ?? 0
	return count
}

/** Derives from the load whether connections are taken, and logs a change. */
function updateOverload(ctx: GatewayContext): void {
	const { connectionGate, log, permitHomes, settings } = ctx
	const { callers, toServers, tickDelaysMs, closed } = connectionGate
	const before = connectionGate.overload
	const others = Math.min(OTHER_SOCKETS, MAX_OTHER_SHARE * settings.maxSockets)
	const overload = findConnectionOverload({
		sockets: callers + toServers,
		maxSockets: settings.maxSockets - others,
		tickDelaysMs,
		hasPeers: permitHomes.membership.reachable.length > 1,
	})
	if (overload === before) return
	connectionGate.overload = overload
	const inputs = {
		callers,
		toServers,
		delayMs: Math.round(tickDelaysMs.at(-1) ?? 0),
	}
	if (overload === undefined) {
		connectionGate.closed = 0
		log.write('connections taken', { ...inputs, closed })
	} else log.write('connections closed', { reason: overload, ...inputs })
}
