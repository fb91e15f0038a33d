/**
 * Moments at which, by what the servers themselves know, none of a service takes what an
 * entry sends freely: each is down, leaves, has a limit, or has asked the entry for rest.
 * Who is refused then is refused rightly.
 */

import { SERVICE_OF } from './config.ts'
import type { BackendServer } from './servers.ts'
import type { Asked } from './types.ts'
import { sleep } from './types.ts'
import type { World } from './world.ts'

const LOOK_MS = 20
/** Refusals that say so. */
const HELD_ERRORS = new Set(['rateLimited', 'resting', 'noServer'])

/** When no server of a service was free for an entry, ms. */
export interface HeldMoment {
	readonly at: number
	readonly entry: number
	readonly service: string
}

/** Looks for such moments until the soak is over. */
export async function watchHeld(world: World): Promise<void> {
	while (!world.over) {
		for (const { index } of world.entries)
			for (const service of new Set(Object.values(SERVICE_OF)))
				noteMoment(world, index, service)
		await sleep(LOOK_MS)
	}
}

function noteMoment(world: World, entry: number, service: string): void {
	const at = performance.now()
	const servers = world.servers.all.filter(one => one.service === service)
	const isHeld = servers.every(server => !isFree(world, server, entry, at))
	if (isHeld) world.heldMoments.push({ at, entry, service })
}

function isFree(
	{ restLog, entries }: World,
	{ id, server, leaving, limit }: BackendServer,
	entry: number,
	at: number,
): boolean {
	if (!server || leaving || limit) return false
	const { life } = entries[entry]!
	return !restLog.rests.some(
		rest =>
			rest.serverId === id &&
			rest.entry === entry &&
			rest.life === life &&
			rest.until > at,
	)
}

/** Whether a request was refused while no server of its service was free. */
export function isHeldRightly(
	{ heldMoments }: Pick<World, 'heldMoments'>,
	{ kind, entry, status, error, sentAt, answeredAt }: Asked,
): boolean {
	if (status !== 503 || !HELD_ERRORS.has(error)) return false
	const until = answeredAt ?? sentAt
	return heldMoments.some(
		one =>
			one.entry === entry &&
			one.service === SERVICE_OF[kind] &&
			one.at >= sentAt - LOOK_MS &&
			one.at <= until + LOOK_MS,
	)
}
