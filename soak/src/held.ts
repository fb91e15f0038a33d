/**
 * Moments at which, by what the servers themselves know, none of a service takes what an
 * entry sends freely: each is down, leaves, has a limit, or has asked the entry for rest.
 * Who is refused then is refused rightly.
 */

import { SERVICE_OF } from './config.ts'
import type { BackendServer } from './servers.ts'
import type { RequestRecord } from './types.ts'
import { sleep } from './types.ts'
import type { World } from './world.ts'

const POLL_INTERVAL_MS = 20
/** Refusals that say so. */
const UNAVAILABLE_ERRORS = new Set(['rateLimited', 'resting', 'noServer'])

/** When no server of a service was free for an entry, ms. */
export interface UnavailableMoment {
	readonly at: number
	readonly entry: number
	readonly service: string
}

/** Looks for such moments until the soak is over. */
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
	{ backoffLog, entries }: World,
	{ id, server, leaving, limit }: BackendServer,
	entry: number,
	at: number,
): boolean {
	if (!server || leaving || limit) return false
	const { incarnation } = entries[entry]!
	return !backoffLog.backoffs.some(
		rest =>
			rest.serverId === id &&
			rest.entry === entry &&
			rest.incarnation === incarnation &&
			rest.until > at,
	)
}

/** Whether a request was refused while no server of its service was free. */
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
