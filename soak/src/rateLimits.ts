/**
 * Servers that report a rate limit in their answers for a while: requests per second
 * from all entries together. The check counts the requests that reach them meanwhile.
 */

import type { IncomingMessage } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { SIGNAL_HEADERS, WIRE } from '../../platform/src/index.ts'
import { CONTACT_MS, isUndisturbed } from './disturbances.ts'
import type { BackendServer } from './servers.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

/** Range of limits, requests per second. */
const PER_SECOND = [0.2, 6] as const
/**
 * Range of durations of a limit, ms; longer than the contact time and one checked
 * window.
 */
const DURATION_MS = [7_500, 10_000] as const
/** Range of pauses between two limits, ms. */
const PAUSE_MS = [200, 1_500] as const
const WINDOW_MS = 4_000
const WINDOW_SECONDS = WINDOW_MS / 1_000
/** A window may contain this many times the limit, plus a fixed number of requests. */
const LIMIT_FACTOR = 1.5
const LIMIT_SLACK = 5

/** A limit that a server reports, and the requests that arrived meanwhile. */
export interface ReportedLimit {
	readonly perSecond: number
	/** The server's incarnation. */
	readonly serverId: string
	/** When an answer first reported it, ms. */
	reportedAt: number | undefined
	/** When answers stopped reporting it, ms. */
	endedAt: number | undefined
	readonly arrivals: { readonly id: string; readonly at: number }[]
}

/** Lets one random server at a time report a limit, until the soak ends. */
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

/** Records a request at a limited server; returns the headers for its answer. */
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

/** Checks the requests that arrived under limits by way of undisturbed entries. */
export function checkRateLimits(world: World): void {
	count(world.record, 'limits reported', world.limits.length)
	for (const limit of world.limits) checkRateLimit(world, limit)
}

function checkRateLimit(world: World, limit: ReportedLimit): void {
	const { reportedAt, endedAt = Number.POSITIVE_INFINITY, perSecond } = limit
	if (reportedAt === undefined) return
	const checked = limit.arrivals
		.filter(({ at }) => at >= reportedAt + CONTACT_MS && at < endedAt)
		.filter(({ id, at }) => isFromUndisturbedEntry(world, id, at))
	const allowed = LIMIT_FACTOR * WINDOW_SECONDS * perSecond + LIMIT_SLACK
	count(world.record, 'requests under a limit', checked.length)
	for (const { at: from } of checked) {
		const window = checked.filter(
			({ at }) => at >= from && at < from + WINDOW_MS,
		)
		if (window.length <= allowed) continue
		recordViolation(
			world.record,
			'LIMIT',
			`${limit.serverId} received ${window.length} requests in a window, allowed ${allowed.toFixed(1)}`,
		)
		return
	}
}

function isFromUndisturbedEntry(world: World, id: string, at: number): boolean {
	const request = world.record.requests.get(id)
	if (!request) return true
	return isUndisturbed(world.disturbances, `entry-${request.entry}`, at, at)
}
