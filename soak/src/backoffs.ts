/**
 * Servers that for a while turn away what entries send them and ask each for rest. What
 * an entry sends a server meanwhile is judged.
 */

import type { IncomingMessage, ServerResponse } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import type { BackendServer } from './servers.ts'
import { isCalm } from './disturbances.ts'
import { breakPromise, count, drawBetween, drawOf, sleep } from './types.ts'
import type { World } from './world.ts'

const REST_MS = [200, 3_000] as const
/** For how long a server turns requests away, ms. */
const LASTS_MS = [300, 2_500] as const
const PAUSE_MS = [100, 1_200] as const
/** Part of the requests that are turned away meanwhile. */
const TURNED_AWAY = 0.7
/** Part of the times at which all servers of a service do so. */
const ALL_TOGETHER = 0.15
/** What was under way still comes, ms; with this machine's own delays. */
const UNDER_WAY_MS = 500 + 250
const MOST_IN_REST = 2

/** A rest that a server asked an entry for. */
interface AskedRest {
	readonly serverId: string
	readonly entry: number
	/** The entry's life. */
	readonly life: number
	readonly at: number
	readonly until: number
}

/** A request that reached a server. */
interface Arrival {
	readonly serverId: string
	readonly entry: number
	readonly life: number
	readonly at: number
}

/** What servers asked for, and what came. */
export interface RestLog {
	readonly rests: AskedRest[]
	readonly arrivals: Arrival[]
}

/** Makes an empty log. */
export function createRestLog(): RestLog {
	return { rests: [], arrivals: [] }
}

/** Lets servers ask for rest, until the soak is over; all of a service before it calms. */
export async function playRests(world: World): Promise<void> {
	const { options, servers } = world
	const random = createRandom(options.seed + 5)
	const calmAt = performance.now() + options.faultMs
	while (!world.over) {
		await sleep(drawBetween(random, ...PAUSE_MS))
		const one = drawOf(random, servers.all)
		const isAll = random() < ALL_TOGETHER && performance.now() < calmAt
		const some = isAll
			? servers.all.filter(({ service }) => service === one.service)
			: [one]
		const ids = some.map(({ id }) => id)
		for (const backend of some) backend.turnsAway = true
		await sleep(drawBetween(random, ...LASTS_MS))
		for (const backend of some) backend.turnsAway = false
		count(world.record, 'servers that asked for rest', ids.length)
	}
}

/** Notes a request that has come; true when it has been turned away. */
export function turnAway(
	world: World,
	backend: BackendServer,
	req: IncomingMessage,
	res: ServerResponse,
): boolean {
	const asked = world.record.asked.get(String(req.headers[WIRE.requestId]))
	if (!asked) return false
	const { id: serverId } = backend
	const { entry, life } = asked
	const at = performance.now()
	world.restLog.arrivals.push({ serverId, entry, life, at })
	const { random } = world.servers
	if (!backend.turnsAway || random() >= TURNED_AWAY) return false
	const forMs = drawBetween(random, ...REST_MS)
	world.restLog.rests.push({ serverId, entry, life, at, until: at + forMs })
	const head = {
		[WIRE.notRun]: '1',
		[SIGNAL_HEADERS.restMs]: (forMs / 1_000).toFixed(3),
	}
	res.writeHead(503, head).end()
	return true
}

/** Judges what came from entries within rests that they had been asked for. */
export function judgeRests(world: World): void {
	const { rests, arrivals } = world.restLog
	count(world.record, 'rests asked for', rests.length)
	for (const { serverId, entry, life, at, until } of rests) {
		const from = at + UNDER_WAY_MS
		if (!isCalm(world.troubles, `entry-${entry}`, at, until)) continue
		const within = arrivals.filter(
			one =>
				one.serverId === serverId &&
				one.entry === entry &&
				one.life === life &&
				one.at >= from &&
				one.at < until,
		)
		if (within.length <= MOST_IN_REST) continue
		breakPromise(
			world.record,
			'BUDGET',
			`${serverId} asked entry-${entry} for ${Math.round(until - at)} ms of rest and got ${within.length}`,
		)
	}
}
