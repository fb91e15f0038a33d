/**
 * Moments at which no server of a service was available to an entry, by the state of
 * the servers themselves: each was down, leaving, rate-limited, cold, in an emptied data
 * centre, or had requested a backoff from that entry. A request that the entry refuses then is refused with good
 * reason.
 */

import { SERVICE_OF } from './config.ts'
import { isBeliefJustified } from './evacuations.ts'
import type { BackendServer } from './servers.ts'
import type { RequestRecord } from './types.ts'
import { sleep } from './types.ts'
import type { World } from './world.ts'

const POLL_INTERVAL_MS = 20
/** Error kinds of refusals for these reasons. */
const UNAVAILABLE_ERRORS = new Set([
	'rateLimited',
	'resting',
	'noServer',
	'evacuated',
])

/** A moment at which no server of a service was available to an entry; `at` in ms. */
export interface UnavailableMoment {
	readonly at: number
	readonly entry: number
	readonly service: string
}

/** Polls the servers' state until the soak ends. */
export async function watchUnavailability(world: World): Promise<void> {
	while (!world.finished) {
		for (const { index } of world.entries)
			for (const service of new Set(Object.values(SERVICE_OF)))
				recordIfUnavailable(world, index, service)
		await sleep(POLL_INTERVAL_MS)
	}
}

function recordIfUnavailable(
	world: World,
	entry: number,
	service: string,
): void {
	const at = performance.now()
	const servers = world.servers.all.filter(one => one.service === service)
	const isUnavailable = servers.every(
		server => !isAvailable(world, server, entry, at),
	)
	if (isUnavailable) world.unavailableMoments.push({ at, entry, service })
}

function isAvailable(
	{ backoffLog, entries, evacuationLog }: World,
	backend: BackendServer,
	entry: number,
	at: number,
): boolean {
	const { id, server, leaving, limit } = backend
	if (!server || leaving || limit) return false
	// Like one with a limit, a cold server takes no more than its bound from all entries.
	if (isBeliefJustified(evacuationLog, backend)) return false
	const { incarnation } = entries[entry]!
	return !backoffLog.backoffs.some(
		backoff =>
			backoff.serverId === id &&
			backoff.entry === entry &&
			backoff.incarnation === incarnation &&
			backoff.until > at,
	)
}

/** Whether a request was refused while no server of its service was available. */
export function isRefusalJustified(
	{ unavailableMoments }: Pick<World, 'unavailableMoments'>,
	{ kind, entry, status, error, sentAt, answeredAt }: RequestRecord,
): boolean {
	if (status !== 503 || !UNAVAILABLE_ERRORS.has(error)) return false
	const until = answeredAt ?? sentAt
	return unavailableMoments.some(
		one =>
			one.entry === entry &&
			one.service === SERVICE_OF[kind] &&
			one.at >= sentAt - POLL_INTERVAL_MS &&
			one.at <= until + POLL_INTERVAL_MS,
	)
}
