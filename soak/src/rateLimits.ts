/**
 * Servers that for a while name a limit in their answers: so many requests a second from
 * all entries together. What comes to them meanwhile is judged.
 */

import type { IncomingMessage } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import type { BackendServer } from './servers.ts'
import { CONTACT_MS, isCalm } from './disturbances.ts'
import { breakPromise, count, drawBetween, drawOf, sleep } from './types.ts'
import type { World } from './world.ts'

const PER_SECOND = [0.2, 6] as const
/** Longer than the contact time and one span that is judged, ms. */
const LASTS_MS = [7_500, 10_000] as const
const PAUSE_MS = [200, 1_500] as const
const SPAN_MS = 4_000
const SPAN_SECONDS = SPAN_MS / 1_000
/** What may come in a span: so many times the limit, and so many requests besides. */
const TIMES = 1.5
const BESIDES = 5

/** A limit that a server names, and the ids of the requests that came. */
export interface NamedLimit {
	readonly perSecond: number
	/** The server's incarnation. */
	readonly serverId: string
	/** When an answer first named it, ms. */
	namedAt: number | undefined
	/** When answers stopped to, ms. */
	endedAt: number | undefined
	readonly arrivals: { readonly id: string; readonly at: number }[]
}

/** Lets one server after the other name a limit, until the soak is over. */
export async function playLimits(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 3)
	while (!world.over) {
		await sleep(drawBetween(random, ...PAUSE_MS))
		const backend = drawOf(random, world.servers.all)
		const limit: NamedLimit = {
			perSecond: drawBetween(random, ...PER_SECOND),
			serverId: backend.id,
			namedAt: undefined,
			endedAt: undefined,
			arrivals: [],
		}
		backend.limit = limit
		world.limits.push(limit)
		await sleep(drawBetween(random, ...LASTS_MS))
		limit.endedAt = performance.now()
		backend.limit = undefined
	}
}

/** Notes a request that has come; gives the headers that its answer is to have. */
export function takeUnderLimit(
	{ limit, id }: BackendServer,
	req: IncomingMessage,
): Record<string, string> {
	if (limit?.serverId !== id) return {}
	const at = performance.now()
	limit.arrivals.push({ id: String(req.headers[WIRE.requestId]), at })
	limit.namedAt ??= at
	return { [SIGNAL_HEADERS.perSecond]: limit.perSecond.toFixed(3) }
}

/** Judges what came while limits were named, by way of entries that were left alone. */
export function judgeLimits(world: World): void {
	count(world.record, 'limits named', world.limits.length)
	for (const limit of world.limits) judgeLimit(world, limit)
}

function judgeLimit(world: World, limit: NamedLimit): void {
	const { namedAt, endedAt = Number.POSITIVE_INFINITY, perSecond } = limit
	if (namedAt === undefined) return
	const judged = limit.arrivals
		.filter(({ at }) => at >= namedAt + CONTACT_MS && at < endedAt)
		.filter(({ id, at }) => isByCalmEntry(world, id, at))
	const allowed = TIMES * SPAN_SECONDS * perSecond + BESIDES
	count(world.record, 'requests under a limit', judged.length)
	for (const { at: from } of judged) {
		const span = judged.filter(({ at }) => at >= from && at < from + SPAN_MS)
		if (span.length <= allowed) continue
		breakPromise(
			world.record,
			'LIMIT',
			`${limit.serverId} got ${span.length}, allowed ${allowed.toFixed(1)}`,
		)
		return
	}
}

function isByCalmEntry(world: World, id: string, at: number): boolean {
	const asked = world.record.asked.get(id)
	if (!asked) return true
	return isCalm(world.troubles, `entry-${asked.entry}`, at, at)
}
