/**
 * Servers that for a while turn away what entries send them and ask each for rest. What
 * an entry sends a server meanwhile is judged.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import type { BackendServer } from './servers.ts'
import { isUndisturbed } from './trouble.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

const BACKOFF_MS = [200, 3_000] as const
/** For how long a server turns requests away, ms. */
const DURATION_MS = [300, 2_500] as const
const PAUSE_MS = [100, 1_200] as const
/** Part of the requests that are turned away meanwhile. */
const REFUSED_RATIO = 0.7
/** Part of the times at which all servers of a service do so. */
const WHOLE_SERVICE_RATIO = 0.15
/** What was under way still comes, ms; with this machine's own delays. */
const IN_FLIGHT_MS = 500 + 250
const MAX_DURING_BACKOFF = 2

/** A rest that a server asked an entry for. */
interface RequestedBackoff {
	readonly serverId: string
	readonly entry: number
	/** The entry's life. */
	readonly incarnation: number
	readonly at: number
	readonly until: number
}

/** A request that reached a server. */
interface Arrival {
	readonly serverId: string
	readonly entry: number
	readonly incarnation: number
	readonly at: number
}

/** What servers asked for, and what came. */
export interface BackoffLog {
	readonly backoffs: RequestedBackoff[]
	readonly arrivals: Arrival[]
}

/** Makes an empty log. */
export function createBackoffLog(): BackoffLog {
	return { backoffs: [], arrivals: [] }
}

/** Lets servers ask for rest, until the soak is over; all of a service before it calms. */
export async function injectBackoffs(world: World): Promise<void> {
	const { options, servers } = world
	const random = createRandom(options.seed + 5)
	const calmAt = performance.now() + options.faultPhaseMs
	while (!world.finished) {
		await sleep(randomBetween(random, ...PAUSE_MS))
		const one = randomItem(random, servers.all)
		const isAll = random() < WHOLE_SERVICE_RATIO && performance.now() < calmAt
		const some = isAll
			? servers.all.filter(({ service }) => service === one.service)
			: [one]
		const ids = some.map(({ id }) => id)
		for (const backend of some) backend.requestsBackoff = true
		await sleep(randomBetween(random, ...DURATION_MS))
		for (const backend of some) backend.requestsBackoff = false
		count(world.record, 'servers that asked for rest', ids.length)
	}
}

/** Notes a request that has come; true when it has been turned away. */
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
	const forMs = randomBetween(random, ...BACKOFF_MS)
	world.backoffLog.backoffs.push({
		serverId,
		entry,
		incarnation,
		at,
		until: at + forMs,
	})
	const head = {
		[WIRE.notRun]: '1',
		[SIGNAL_HEADERS.restMs]: (forMs / 1_000).toFixed(3),
	}
	res.writeHead(503, head).end()
	return true
}

/** Judges what came from entries within rests that they had been asked for. */
export function checkBackoffs(world: World): void {
	const { backoffs: rests, arrivals } = world.backoffLog
	count(world.record, 'rests asked for', rests.length)
	for (const { serverId, entry, incarnation, at, until } of rests) {
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
			`${serverId} asked entry-${entry} for ${Math.round(until - at)} ms of rest and got ${within.length}`,
		)
	}
}
