/**
 * An operator who empties one data centre at a time and takes it back, after which its
 * servers are cold for a while. The checks count the requests that reach them.
 */

import type { IncomingMessage } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { WIRE } from '../../platform/src/index.ts'
import { COLD } from './config.ts'
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
import { dataCentreOf, listServer, writeValue } from './world.ts'

/** Range of times for which a data centre stays emptied, ms; longer than the bound. */
const EMPTIED_MS = [6_000, 9_000] as const
/** Range of pauses between two evacuations, ms. */
const PAUSE_MS = [500, 2_000] as const
/** Time within which entries in touch send nothing new there, ms. */
const EVACUATE_MS = 5_000
/** Time for which servers are cold after a data centre is taken back, ms. */
const COLD_MS = 2_500
/** Share of the evacuations after which the servers are cold. */
const COLD_RATIO = 0.7
/** Time in which every entry knows that a data centre is emptied, or taken back, ms. */
const KNOWN_AFTER_MS = 500
const WINDOW_MS = 1_000

/** A request that reached a server of an emptied data centre, or a cold server. */
interface Arrival {
	readonly id: string
	readonly serverId: string
	readonly at: number
}

/** A time for which a data centre was emptied. */
interface Evacuation {
	readonly dataCentre: string
	readonly from: number
	until: number
	readonly arrivals: Arrival[]
}

/** Evacuations, and the requests that reached cold servers. */
export interface EvacuationLog {
	readonly evacuations: Evacuation[]
	readonly coldArrivals: Arrival[]
	/** Times until which servers are cold, ms, by id. */
	readonly coldUntil: Map<string, number>
}

/** Creates an empty log. */
export function createEvacuationLog(): EvacuationLog {
	return { evacuations: [], coldArrivals: [], coldUntil: new Map() }
}

/** Empties one random data centre at a time until the soak ends. */
export async function injectEvacuations(world: World): Promise<void> {
	const { evacuationLog: log, servers } = world
	const random = createRandom(world.options.seed + 5)
	const dataCentres = [...new Set(servers.all.map(dataCentreOf))]
	while (!world.finished) {
		await sleep(randomBetween(random, ...PAUSE_MS))
		const dataCentre = randomItem(random, dataCentres)
		const evacuation: Evacuation = {
			dataCentre,
			from: performance.now(),
			until: Number.POSITIVE_INFINITY,
			arrivals: [],
		}
		const key = `op/evacuate/${dataCentre}`
		writeValue(world, key, '{}')
		log.evacuations.push(evacuation)
		await sleep(randomBetween(random, ...EMPTIED_MS))
		evacuation.until = performance.now()
		if (random() < COLD_RATIO) markCold(world, dataCentre)
		writeValue(world, key, undefined)
	}
}

function markCold(world: World, dataCentre: string): void {
	const { evacuationLog: log, servers } = world
	const until = performance.now() + COLD_MS
	for (const backend of servers.all) {
		if (!backend.server || dataCentreOf(backend) !== dataCentre) continue
		log.coldUntil.set(backend.id, until)
		listServer(world, backend)
		setTimeout(() => listWarm(world, backend, backend.id), COLD_MS)
	}
}

/** Writes the record of a server that is warm, as its next write on the platform does. */
function listWarm(world: World, backend: BackendServer, id: string): void {
	const isSame = backend.server !== undefined && backend.id === id
	if (isSame && !world.finished) listServer(world, backend)
}

/** Returns the time for which a server remains cold, ms. */
export function coldRemainingMs(
	{ coldUntil }: EvacuationLog,
	{ id }: Pick<BackendServer, 'id'>,
): number {
	const leftMs = (coldUntil.get(id) ?? 0) - performance.now()
	return Math.max(0, Math.round(leftMs))
}

/** Whether a server stands in the data centre that is emptied now. */
function isEmptied(
	{ evacuations }: EvacuationLog,
	backend: Pick<BackendServer, 'index'>,
): boolean {
	const current = evacuations.at(-1)
	const isInForce = current?.until === Number.POSITIVE_INFINITY
	return isInForce && current.dataCentre === dataCentreOf(backend)
}

/**
 * Whether entries may regard a server as emptied or cold: it is, or was until a moment
 * ago.
 */
export function isBeliefJustified(
	{ evacuations, coldUntil }: EvacuationLog,
	backend: Pick<BackendServer, 'id' | 'index'>,
): boolean {
	const recently = performance.now() - KNOWN_AFTER_MS
	const isOrWasEmptied = evacuations.some(
		one => one.dataCentre === dataCentreOf(backend) && one.until > recently,
	)
	return isOrWasEmptied || (coldUntil.get(backend.id) ?? 0) > recently
}

/** Records a request that arrives at a server and is not declined by it. */
export function recordEvacuatedArrival(
	{ evacuationLog: log }: World,
	backend: BackendServer,
	req: IncomingMessage,
): void {
	const arrival = {
		id: String(req.headers[WIRE.requestId]),
		serverId: backend.id,
		at: performance.now(),
	}
	if (isEmptied(log, backend)) log.evacuations.at(-1)!.arrivals.push(arrival)
	if (coldRemainingMs(log, backend) > 0) log.coldArrivals.push(arrival)
}

/** Checks that entries in touch sent nothing to emptied data centres. */
export function checkEvacuations(world: World): void {
	const { record, evacuationLog: log } = world
	count(record, 'data centres emptied', log.evacuations.length)
	for (const { dataCentre, from, arrivals } of log.evacuations) {
		const dueAt = from + EVACUATE_MS
		const late = arrivals.filter(({ id, at }) => {
			const request = record.requests.get(id)
			if (at <= dueAt || !request) return false
			const vm = `entry-${request.entry}`
			return isUndisturbed(world.disturbances, vm, dueAt, at)
		})
		if (late.length === 0) continue
		recordViolation(
			record,
			'EVAC',
			`${late[0]!.serverId} received ${late.length} requests in emptied ${dataCentre}`,
		)
	}
}

/** Checks the rate at each cold server, over all entries, also disturbed ones. */
export function checkColdServers(world: World): void {
	const { record, evacuationLog: log } = world
	const allowed = COLD.perSecond * COLD.factor + COLD.extra
	count(record, 'requests at cold servers', log.coldArrivals.length)
	for (const { serverId, at: from } of log.coldArrivals) {
		const window = log.coldArrivals.filter(
			one =>
				one.serverId === serverId &&
				one.at >= from &&
				one.at < from + WINDOW_MS,
		)
		if (window.length <= allowed) continue
		recordViolation(
			record,
			'FAILBACK',
			`${serverId} received ${window.length} requests in a second while cold, allowed ${allowed}`,
		)
		return
	}
}
