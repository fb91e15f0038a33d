/** What can only be judged when a soak is over. */

import { RETRIES, SERVICE_OF } from './config.ts'
import { isRefusalJustified } from './held.ts'
import { isUndisturbed } from './trouble.ts'
import type { RequestRecord, Run } from './types.ts'
import { count, recordViolation } from './types.ts'
import type { World } from './world.ts'

/** A caller that left frees the server within this time, ms. */
const ABANDON_MS = 500
/** A deadline handed on may end this much after the caller's own, ms. */
const DEADLINE_SLACK_MS = 500
/** Added to times judged from outside, for this machine's own delays, ms. */
const SLACK_MS = 250
/** A server that leaves gets nothing new after this time, ms. */
const DRAIN_MS = 2_000
/** Part of the requests that must be served once all faults are over. */
const MIN_SERVED_RATIO = 0.95
/** Fewer requests than this say nothing about recovery. */
const MIN_REQUESTS = 30
/** Ways of ending that a verdict tells. */
const MAX_OUTCOMES = 6

/**
 * Judges the whole record; `calmSince` is when recovery was due, `stalledMs` how long
 * this process stood still at most since then.
 */
export function checkRecord(
	world: World,
	recoveryDueAt: number,
	stalledMs: number,
): void {
	const { record, servers } = world
	for (const mixed of servers.group.mixed) recordViolation(record, 'MAP', mixed)
	if (servers.group.held !== undefined)
		recordViolation(record, 'MAP', `held at the end: ${servers.group.held}`)
	for (const [id, runs] of record.runs) {
		const request = record.requests.get(id)
		if (request) for (const run of runs) checkTimes(world, request, run)
	}
	checkRefusals(world)
	checkRetries(world)
	checkRecovery(world, recoveryDueAt, stalledMs)
}

/** A refusal counts for whatever ran before or after it. */
function checkRefusals({ record }: World): void {
	for (const request of record.requests.values()) {
		const runs = record.runs.get(request.id) ?? []
		const isBroken =
			request.promisedNotRunAt !== undefined && request.kind === 'once'
		if (isBroken && runs.length > 0)
			recordViolation(record, 'REFUSED', `${request.id} ran all the same`)
	}
}

function checkTimes(world: World, request: RequestRecord, run: Run): void {
	const { record, disturbances, leavingAt, options } = world
	if (!options.checksTiming) return
	const entry = `entry-${request.entry}`
	const until = run.startedAt + run.deadlineMs - DEADLINE_SLACK_MS - SLACK_MS
	if (
		until > request.deadlineAt &&
		isUndisturbed(disturbances, entry, request.sentAt, run.startedAt)
	)
		recordViolation(
			record,
			'BUDGET',
			`${request.id} has more time than is left`,
		)
	const ended = run.endedAt ?? Number.POSITIVE_INFINITY
	if (
		request.abandonedAt !== undefined &&
		ended > request.abandonedAt + ABANDON_MS + SLACK_MS
	) {
		const until = Math.min(ended, request.abandonedAt + ABANDON_MS + SLACK_MS)
		if (isUndisturbed(disturbances, entry, request.abandonedAt, until))
			recordViolation(record, 'GONE', `${run.serverId} works on ${request.id}`)
	}
	const leavingSince = leavingAt.get(run.serverId)
	if (leavingSince === undefined) return
	const lateBy = run.startedAt - leavingSince - DRAIN_MS - SLACK_MS
	if (
		lateBy > 0 &&
		isUndisturbed(disturbances, entry, leavingSince, run.startedAt)
	)
		recordViolation(
			record,
			'DRAIN',
			`${run.serverId} runs ${request.id} ${Math.round(lateBy)} ms too late`,
		)
}

/** Second runs at a service stay below its budget in every window. */
function checkRetries(world: World): void {
	for (const service of new Set(Object.values(SERVICE_OF)))
		checkRetriesOfService(world, service)
}

function checkRetriesOfService(world: World, service: string): void {
	const { record } = world
	const request = [...record.requests.values()].filter(
		one => SERVICE_OF[one.kind] === service,
	)
	const sent = request.map(one => one.sentAt)
	const again = request.flatMap(one =>
		(record.runs.get(one.id) ?? []).slice(1).map(run => run.startedAt),
	)
	count(record, `second runs at ${service}`, again.length)
	for (const end of again) {
		const within = (times: readonly number[]) =>
			times.filter(at => at <= end && at > end - RETRIES.windowMs).length
		const most = RETRIES.ratio * within(sent) + RETRIES.slack
		if (within(again) <= most) continue
		recordViolation(
			record,
			'BUDGET',
			`${within(again)} second runs at ${service}`,
		)
		return
	}
}

function checkRecovery(
	world: World,
	recoveryDueAt: number,
	stalledMs: number,
): void {
	const { record } = world
	const ended = [...record.requests.values()].filter(
		one =>
			one.sentAt > recoveryDueAt &&
			one.answeredAt !== undefined &&
			one.abandonedAt === undefined,
	)
	const late = ended.filter(one => !isRefusalJustified(world, one))
	count(record, 'refused rightly after recovery', ended.length - late.length)
	const served = late.filter(one => one.status === 200).length
	count(record, 'requests after recovery', late.length)
	count(record, 'served after recovery', served)
	if (late.length < MIN_REQUESTS)
		recordViolation(
			record,
			'RECOVER',
			`only ${late.length} requests ended, ${countOpen(world)} open, stalled ${stalledMs} ms`,
		)
	else if (served < MIN_SERVED_RATIO * late.length)
		recordViolation(
			record,
			'RECOVER',
			`${served} of ${late.length} served, ${summarizeOutcomes(late)}, stalled ${stalledMs} ms`,
		)
}

/** How often requests ended in each way but a whole success, the most frequent first. */
function summarizeOutcomes(request: readonly RequestRecord[]): string {
	const ends = new Map<string, number>()
	for (const { kind, entry, status, error } of request) {
		if (status === 200) continue
		const end = `${kind} at entry-${entry}: ${status} ${error}`.trimEnd()
		ends.set(end, (ends.get(end) ?? 0) + 1)
	}
	return [...ends]
		.sort(([, a], [, b]) => b - a)
		.slice(0, MAX_OUTCOMES)
		.map(([end, times]) => `${end} (${times})`)
		.join(', ')
}

/** Requests without an end, whose callers still wait. */
function countOpen({ record }: World): number {
	return [...record.requests.values()].filter(
		one => one.answeredAt === undefined && one.abandonedAt === undefined,
	).length
}
