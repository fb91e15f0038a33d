/** Checks that need the whole record of a soak. */

import { RETRIES, SERVICE_OF } from './config.ts'
import { isUndisturbed } from './disturbances.ts'
import type { RequestRecord, Run } from './types.ts'
import { count, recordViolation } from './types.ts'
import { isRefusalJustified } from './unavailability.ts'
import type { World } from './world.ts'

/** Time within which a server is freed of a request that its caller abandoned, ms. */
const ABANDON_MS = 500
/** How much later than the caller's deadline the one given to a server may be, ms. */
const DEADLINE_SLACK_MS = 500
/** Allowance for delays of this machine in times measured from outside, ms. */
const SLACK_MS = 250
/** Time after which a leaving server must not receive new requests, ms. */
const DRAIN_MS = 2_000
/** Ratio of requests that must be served after recovery from all faults. */
const MIN_SERVED_RATIO = 0.95
/** Minimum number of requests for a statement on recovery. */
const MIN_REQUESTS = 30
/** Number of outcomes listed in a violation of RECOVER. */
const MAX_OUTCOMES = 6

/**
 * Checks the whole record. `recoveryDueAt` is when recovery was due; `stalledMs` is the
 * longest stall of this process since then.
 */
export function checkRecord(
	world: World,
	recoveryDueAt: number,
	stalledMs: number,
): void {
	const { record, servers } = world
	for (const mixed of servers.group.mixedPasses) recordViolation(record, 'MAP', mixed)
	if (servers.group.held !== undefined)
		recordViolation(
			record,
			'MAP',
			`gates still held at the end: ${servers.group.held}`,
		)
	for (const [id, runs] of record.runs) {
		const request = record.requests.get(id)
		if (request) for (const run of runs) checkTimes(world, request, run)
	}
	checkRefusals(world)
	checkRetries(world)
	checkRecovery(world, recoveryDueAt, stalledMs)
}

/** Checks that what an entry refused ran neither before nor after the refusal. */
function checkRefusals({ record }: World): void {
	for (const request of record.requests.values()) {
		const runs = record.runs.get(request.id) ?? []
		const isPromisedNotRun =
			request.promisedNotRunAt !== undefined && request.kind === 'once'
		if (isPromisedNotRun && runs.length > 0)
			recordViolation(
				record,
				'REFUSED',
				`${request.id} ran although its caller was told that it has not`,
			)
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
			`${request.id} was given more time than its caller's deadline leaves`,
		)
	const ended = run.endedAt ?? Number.POSITIVE_INFINITY
	if (
		request.abandonedAt !== undefined &&
		ended > request.abandonedAt + ABANDON_MS + SLACK_MS
	) {
		const until = Math.min(ended, request.abandonedAt + ABANDON_MS + SLACK_MS)
		if (isUndisturbed(disturbances, entry, request.abandonedAt, until))
			recordViolation(
				record,
				'GONE',
				`${run.serverId} still works on ${request.id}, which its caller abandoned`,
			)
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

/** Checks that retries at each service stay within their budget in every window. */
function checkRetries(world: World): void {
	for (const service of new Set(Object.values(SERVICE_OF)))
		checkRetriesOfService(world, service)
}

function checkRetriesOfService(world: World, service: string): void {
	const { record } = world
	const requests = [...record.requests.values()].filter(
		one => SERVICE_OF[one.kind] === service,
	)
	const sent = requests.map(one => one.sentAt)
	const retries = requests.flatMap(one =>
		(record.runs.get(one.id) ?? []).slice(1).map(run => run.startedAt),
	)
	count(record, `retries at ${service}`, retries.length)
	for (const end of retries) {
		const within = (times: readonly number[]) =>
			times.filter(at => at <= end && at > end - RETRIES.windowMs).length
		const budget = RETRIES.ratio * within(sent) + RETRIES.slack
		if (within(retries) <= budget) continue
		recordViolation(
			record,
			'BUDGET',
			`${within(retries)} retries at ${service}`,
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
	const counted = ended.filter(one => !isRefusalJustified(world, one))
	count(
		record,
		'justified refusals after recovery',
		ended.length - counted.length,
	)
	const served = counted.filter(one => one.status === 200).length
	count(record, 'requests after recovery', counted.length)
	count(record, 'served after recovery', served)
	if (counted.length < MIN_REQUESTS)
		recordViolation(
			record,
			'RECOVER',
			`only ${counted.length} requests ended, ${countOpen(world)} open, stalled ${stalledMs} ms`,
		)
	else if (served < MIN_SERVED_RATIO * counted.length)
		recordViolation(
			record,
			'RECOVER',
			`${served} of ${counted.length} served, ${summarizeOutcomes(counted)}, stalled ${stalledMs} ms`,
		)
}

/** Summarizes outcomes other than success with their counts, the most frequent first. */
function summarizeOutcomes(requests: readonly RequestRecord[]): string {
	const outcomes = new Map<string, number>()
	for (const { kind, entry, status, error } of requests) {
		if (status === 200) continue
		const outcome = `${kind} at entry-${entry}: ${status} ${error}`.trimEnd()
		outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
	}
	return [...outcomes]
		.sort(([, a], [, b]) => b - a)
		.slice(0, MAX_OUTCOMES)
		.map(([outcome, times]) => `${outcome} (${times})`)
		.join(', ')
}

/** Counts requests without an outcome whose callers still wait. */
function countOpen({ record }: World): number {
	return [...record.requests.values()].filter(
		one => one.answeredAt === undefined && one.abandonedAt === undefined,
	).length
}
