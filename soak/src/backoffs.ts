/**
 * Servers that for a while refuse requests and ask the sending entry to back off. The
 * check counts what an entry sends to a server during a backoff that the server
 * requested.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import { isUndisturbed } from './disturbances.ts'
import type { BackendServer } from './servers.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

/** Range of requested backoffs, ms. */
const BACKOFF_MS = [200, 3_000] as const
/** Range of durations of a refusal period, in which a server refuses requests, ms. */
const DURATION_MS = [300, 2_500] as const
/** Range of pauses between two refusal periods, ms. */
const PAUSE_MS = [100, 1_200] as const
/** Ratio of requests that are refused in a refusal period. */
const REFUSED_RATIO = 0.7
/** Ratio of refusal periods in which all servers of the service refuse together. */
const WHOLE_SERVICE_RATIO = 0.15
/**
 * Time after the request for a backoff in which requests already in flight may still
 * arrive, plus an allowance for delays of this machine, ms.
 */
const IN_FLIGHT_MS = 500 + 250
/** Limit on requests that an entry sends to a server during a backoff. */
const MAX_DURING_BACKOFF = 2

/** A backoff that a server requested from an entry; times in ms. */
interface RequestedBackoff {
	readonly serverId: string
	readonly entry: number
	/** The entry's incarnation. */
	readonly incarnation: number
	readonly at: number
	readonly until: number
}

/** A request that reached a server; `at` in ms. */
interface Arrival {
	readonly serverId: string
	readonly entry: number
	readonly incarnation: number
	readonly at: number
}

/** Requested backoffs, and all requests that reached servers. */
export interface BackoffLog {
	readonly backoffs: RequestedBackoff[]
	readonly arrivals: Arrival[]
}

/** Creates an empty log. */
export function createBackoffLog(): BackoffLog {
	return { backoffs: [], arrivals: [] }
}

/**
 * Lets servers request backoffs until the soak ends. All servers of a service do so
 * together only in the fault phase, as recovery is measured afterwards.
 */
export async function injectBackoffs(world: World): Promise<void> {
	const { options, servers } = world
	const random = createRandom(options.seed + 5)
	const faultsEndAt = performance.now() + options.faultPhaseMs
	while (!world.finished) {
		await sleep(randomBetween(random, ...PAUSE_MS))
		const chosen = randomItem(random, servers.all)
		const isWholeService =
			random() < WHOLE_SERVICE_RATIO && performance.now() < faultsEndAt
		const refusing = isWholeService
			? servers.all.filter(({ service }) => service === chosen.service)
			: [chosen]
		const ids = refusing.map(({ id }) => id)
		for (const backend of refusing) backend.requestsBackoff = true
		await sleep(randomBetween(random, ...DURATION_MS))
		for (const backend of refusing) backend.requestsBackoff = false
		count(world.record, 'servers that requested backoffs', ids.length)
	}
}

/** Records a request at a server; returns true if it was refused with a backoff. */
export function refuseWithBackoff(
	world: World,
	backend: BackendServer,
	req: IncomingMessage,
	res: ServerResponse,
): boolean {
	const request = world.record.requests.get(String(req.headers[WIRE.requestId]))
	if (!request) return false
	const { id: serverId } = backend
	const { entry, incarnation } = request
	const at = performance.now()
	world.backoffLog.arrivals.push({ serverId, entry, incarnation, at })
	const { random } = world.servers
	if (!backend.requestsBackoff || random() >= REFUSED_RATIO) return false
	const backoffMs = randomBetween(random, ...BACKOFF_MS)
	world.backoffLog.backoffs.push({
		serverId,
		entry,
		incarnation,
		at,
		until: at + backoffMs,
	})
	const head = {
		[WIRE.notRun]: '1',
		[SIGNAL_HEADERS.restMs]: (backoffMs / 1_000).toFixed(3),
	}
	res.writeHead(503, head).end()
	return true
}

/** Checks what undisturbed entries sent during backoffs requested from them. */
export function checkBackoffs(world: World): void {
	const { backoffs, arrivals } = world.backoffLog
	count(world.record, 'backoffs requested', backoffs.length)
	for (const { serverId, entry, incarnation, at, until } of backoffs) {
		const from = at + IN_FLIGHT_MS
		if (!isUndisturbed(world.disturbances, `entry-${entry}`, at, until))
			continue
		const within = arrivals.filter(
			one =>
				one.serverId === serverId &&
				one.entry === entry &&
				one.incarnation === incarnation &&
				one.at >= from &&
				one.at < until,
		)
		if (within.length <= MAX_DURING_BACKOFF) continue
		recordViolation(
			world.record,
			'BUDGET',
			`${serverId} asked entry-${entry} for ${Math.round(until - at)} ms of backoff and received ${within.length} requests`,
		)
	}
}
