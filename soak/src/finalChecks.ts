/** What can only be judged when a soak is over. */

import { RETRIES, SERVICE_OF } from './config.ts'
import { isHeldRightly } from './unavailability.ts'
import { isCalm } from './disturbances.ts'
import type { Asked, Run } from './types.ts'
import { breakPromise, count } from './types.ts'
import type { World } from './world.ts'

/** A caller that left frees the server within this time, ms. */
const LEFT_MS = 500
/** A deadline handed on may end this much after the caller's own, ms. */
const DEADLINE_SLACK_MS = 500
/** Added to times judged from outside, for this machine's own delays, ms. */
const SLACK_MS = 250
/** A server that leaves gets nothing new after this time, ms. */
const DRAIN_MS = 2_000
/** Part of the requests that must be served once all faults are over. */
const RECOVERED_PART = 0.95
/** Fewer requests than this say nothing about recovery. */
const FEW = 30
/** Ways of ending that a verdict tells. */
const MOST_ENDS = 6

/**
 * Judges the whole record; `calmSince` is when recovery was due, `stalledMs` how long
 * this process stood still at most since then.
 */
export function judgeWhole(
	world: World,
	calmSince: number,
	stalledMs: number,
): void {
	const { record, servers } = world
	for (const mixed of servers.group.mixed) breakPromise(record, 'MAP', mixed)
	if (servers.group.held !== undefined)
		breakPromise(record, 'MAP', `held at the end: ${servers.group.held}`)
	for (const [id, runs] of record.runs) {
		const asked = record.asked.get(id)
		if (asked) for (const run of runs) judgeTimes(world, asked, run)
	}
	judgeRefusals(world)
	judgeRetries(world)
	judgeRecovery(world, calmSince, stalledMs)
}

/** A refusal counts for whatever ran before or after it. */
function judgeRefusals({ record }: World): void {
	for (const asked of record.asked.values()) {
		const runs = record.runs.get(asked.id) ?? []
		const isBroken = asked.promisedAt !== undefined && asked.kind === 'once'
		if (isBroken && runs.length > 0)
			breakPromise(record, 'REFUSED', `${asked.id} ran all the same`)
	}
}

function judgeTimes(world: World, asked: Asked, run: Run): void {
	const { record, troubles, leftAt, options } = world
	if (!options.timed) return
	const entry = `entry-${asked.entry}`
	const until = run.startedAt + run.givenMs - DEADLINE_SLACK_MS - SLACK_MS
	if (
		until > asked.deadlineAt &&
		isCalm(troubles, entry, asked.sentAt, run.startedAt)
	)
		breakPromise(record, 'BUDGET', `${asked.id} has more time than is left`)
	const ended = run.endedAt ?? Number.POSITIVE_INFINITY
	if (asked.leftAt !== undefined && ended > asked.leftAt + LEFT_MS + SLACK_MS) {
		const until = Math.min(ended, asked.leftAt + LEFT_MS + SLACK_MS)
		if (isCalm(troubles, entry, asked.leftAt, until))
			breakPromise(record, 'GONE', `${run.serverId} works on ${asked.id}`)
	}
	const serverLeftAt = leftAt.get(run.serverId)
	if (serverLeftAt === undefined) return
	const lateBy = run.startedAt - serverLeftAt - DRAIN_MS - SLACK_MS
	if (lateBy > 0 && isCalm(troubles, entry, serverLeftAt, run.startedAt))
		breakPromise(
			record,
			'DRAIN',
			`${run.serverId} runs ${asked.id} ${Math.round(lateBy)} ms too late`,
		)
}

/** Second runs at a service stay below its budget in every window. */
function judgeRetries(world: World): void {
	for (const service of new Set(Object.values(SERVICE_OF)))
		judgeService(world, service)
}

function judgeService(world: World, service: string): void {
	const { record } = world
	const asked = [...record.asked.values()].filter(
		one => SERVICE_OF[one.kind] === service,
	)
	const sent = asked.map(one => one.sentAt)
	const again = asked.flatMap(one =>
		(record.runs.get(one.id) ?? []).slice(1).map(run => run.startedAt),
	)
	count(record, `second runs at ${service}`, again.length)
	for (const end of again) {
		const within = (times: readonly number[]) =>
			times.filter(at => at <= end && at > end - RETRIES.windowMs).length
		const most = RETRIES.ratio * within(sent) + RETRIES.slack
		if (within(again) <= most) continue
		breakPromise(record, 'BUDGET', `${within(again)} second runs at ${service}`)
		return
	}
}

function judgeRecovery(
	world: World,
	calmSince: number,
	stalledMs: number,
): void {
	const { record } = world
	const ended = [...record.asked.values()].filter(
		one =>
			one.sentAt > calmSince &&
			one.answeredAt !== undefined &&
			one.leftAt === undefined,
	)
	const late = ended.filter(one => !isHeldRightly(world, one))
	count(record, 'refused rightly after recovery', ended.length - late.length)
	const served = late.filter(one => one.status === 200).length
	count(record, 'requests after recovery', late.length)
	count(record, 'served after recovery', served)
	if (late.length < FEW)
		breakPromise(
			record,
			'RECOVER',
			`only ${late.length} requests ended, ${countOpen(world)} open, stalled ${stalledMs} ms`,
		)
	else if (served < RECOVERED_PART * late.length)
		breakPromise(
			record,
			'RECOVER',
			`${served} of ${late.length} served, ${listEnds(late)}, stalled ${stalledMs} ms`,
		)
}

/** How often requests ended in each way but a whole success, the most frequent first. */
function listEnds(asked: readonly Asked[]): string {
	const ends = new Map<string, number>()
	for (const { kind, entry, status, error } of asked) {
		if (status === 200) continue
		const end = `${kind} at entry-${entry}: ${status} ${error}`.trimEnd()
		ends.set(end, (ends.get(end) ?? 0) + 1)
	}
	return [...ends]
		.sort(([, a], [, b]) => b - a)
		.slice(0, MOST_ENDS)
		.map(([end, times]) => `${end} (${times})`)
		.join(', ')
}

/** Requests without an end, whose callers still wait. */
function countOpen({ record }: World): number {
	return [...record.asked.values()].filter(
		one => one.answeredAt === undefined && one.leftAt === undefined,
	).length
}
