/**
 * Servers that for a while name a limit in their answers: so many requests a second from
 * all entries together. What comes to them meanwhile is judged.
 */

import type { IncomingMessage } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import type { BackendServer } from './servers.ts'
import { CONTACT_MS, isUndisturbed } from './trouble.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

const PER_SECOND = [0.2, 6] as const
/** Longer than the contact time and one span that is judged, ms. */
const DURATION_MS = [7_500, 10_000] as const
const PAUSE_MS = [200, 1_500] as const
const WINDOW_MS = 4_000
const WINDOW_SECONDS = WINDOW_MS / 1_000
/** What may come in a span: so many times the limit, and so many requests besides. */
const LIMIT_FACTOR = 1.5
const LIMIT_SLACK = 5

/** A limit that a server names, and the ids of the requests that came. */
export interface ReportedLimit {
	readonly perSecond: number
	/** The server's incarnation. */
	readonly serverId: string
	/** When an answer first named it, ms. */
	reportedAt: number | undefined
	/** When answers stopped to, ms. */
	endedAt: number | undefined
	readonly arrivals: { readonly id: string; readonly at: number }[]
}

/** Lets one server after the other name a limit, until the soak is over. */
export async function injectRateLimits(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 3)
	while (!world.finished) {
		await sleep(randomBetween(random, ...PAUSE_MS))
		const backend = randomItem(random, world.servers.all)
		const limit: ReportedLimit = {
			perSecond: randomBetween(random, ...PER_SECOND),
			serverId: backend.id,
			reportedAt: undefined,
			endedAt: undefined,
			arrivals: [],
		}
		backend.limit = limit
		world.limits.push(limit)
		await sleep(randomBetween(random, ...DURATION_MS))
		limit.endedAt = performance.now()
		backend.limit = undefined
	}
}

/** Notes a request that has come; gives the headers that its answer is to have. */
export function recordArrival(
	{ limit, id }: BackendServer,
	req: IncomingMessage,
): Record<string, string> {
	if (limit?.serverId !== id) return {}
	const at = performance.now()
	limit.arrivals.push({ id: String(req.headers[WIRE.requestId]), at })
	limit.reportedAt ??= at
	return { [SIGNAL_HEADERS.perSecond]: limit.perSecond.toFixed(3) }
}

/** Judges what came while limits were named, by way of entries that were left alone. */
export function checkRateLimits(world: World): void {
	count(world.record, 'limits named', world.limits.length)
	for (const limit of world.limits) checkRateLimit(world, limit)
}

function checkRateLimit(world: World, limit: ReportedLimit): void {
	const {
		reportedAt: namedAt,
		endedAt = Number.POSITIVE_INFINITY,
		perSecond,
	} = limit
	if (namedAt === undefined) return
	const judged = limit.arrivals
		.filter(({ at }) => at >= namedAt + CONTACT_MS && at < endedAt)
		.filter(({ id, at }) => isFromUndisturbedEntry(world, id, at))
	const allowed = LIMIT_FACTOR * WINDOW_SECONDS * perSecond + LIMIT_SLACK
	count(world.record, 'requests under a limit', judged.length)
	for (const { at: from } of judged) {
		const span = judged.filter(({ at }) => at >= from && at < from + WINDOW_MS)
		if (span.length <= allowed) continue
		recordViolation(
			world.record,
			'LIMIT',
			`${limit.serverId} got ${span.length}, allowed ${allowed.toFixed(1)}`,
		)
		return
	}
}

function isFromUndisturbedEntry(world: World, id: string, at: number): boolean {
	const request = world.record.requests.get(id)
	if (!request) return true
	return isUndisturbed(world.disturbances, `entry-${request.entry}`, at, at)
}
