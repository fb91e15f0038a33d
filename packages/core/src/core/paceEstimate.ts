/**
 * Estimates the time between the events of a lock-step group's streams. A rank that turns
 * many times slower stretches every pass of its group, for all streams alike; the streams
 * that an entry relays show it before any report does.
 */

import type { RecentSamples } from '../internal.ts'
import { addSample, createRecentSamples, quantileOf } from '../internal.ts'

/** Events of one stream in progress. */
export interface StreamPace {
	/** When its request was sent, ms. */
	readonly sentAt: number
	/** When its last event arrived, ms; undefined before the first one. */
	lastAt: number | undefined
	/** Last two times between events, ms; undefined until observed. */
	latestMs: number | undefined
	previousMs: number | undefined
}

/** Streams of a group that this entry relays, and what they showed last. */
export interface GroupPace {
	readonly streams: Set<StreamPace>
	/** Latest times from a send to its first event, ms. */
	firstEventMs: RecentSamples
	/** Last estimate and when it was made, ms. */
	paceMs: number | undefined
	estimatedAt: number
	/** When a request was last let through to refresh the estimate, ms. */
	trialAt: number
}

/** Estimated pace of a group. */
export interface PaceEstimate {
	/** Time between the events of a stream, ms. */
	readonly paceMs: number
	/** Time from a send to its first event, ms. */
	readonly firstEventMs: number
	/** Whether it comes from streams in progress. */
	readonly isLive: boolean
}

/**
 * Time without events after which a pace is no longer known, ms: less than half of what
 * callers wait, so that a group that has recovered is used again in their time.
 */
const STALE_MS = 3_000
/** Interval of requests let through while no stream shows the pace, ms. */
const TRIAL_INTERVAL_MS = 1_000
const MEDIAN = 0.5
/** Low, since a prompt that waited long says little about the next one. */
const FIRST_EVENT_SHARE = 0.25

/** Creates the state of a group without streams. */
export function createGroupPace(): GroupPace {
	return {
		streams: new Set(),
		firstEventMs: createRecentSamples(),
		paceMs: undefined,
		estimatedAt: Number.NEGATIVE_INFINITY,
		trialAt: Number.NEGATIVE_INFINITY,
	}
}

/** Starts to observe a stream whose request is sent now. */
export function beginStreamPace(group: GroupPace, now: number): StreamPace {
	const stream: StreamPace = {
		sentAt: now,
		lastAt: undefined,
		latestMs: undefined,
		previousMs: undefined,
	}
	group.streams.add(stream)
	return stream
}

/** Records an event of a stream. */
export function recordStreamEvent(
	group: GroupPace,
	stream: StreamPace,
	now: number,
): void {
	if (stream.lastAt === undefined)
		addSample(group.firstEventMs, now - stream.sentAt)
	else {
		stream.previousMs = stream.latestMs
		stream.latestMs = now - stream.lastAt
	}
	stream.lastAt = now
}

/** Ends the observation of a stream; what it showed is kept for a while. */
export function endStreamPace(
	group: GroupPace,
	stream: StreamPace,
	now: number,
): void {
	estimatePace(group, now)
	group.streams.delete(stream)
}

/** Forgets what was observed: after an outage, a group's passes start anew. */
export function resetPace(group: GroupPace): void {
	group.streams.clear()
	group.firstEventMs = createRecentSamples()
	group.paceMs = undefined
}

/** Estimates the pace of a group; undefined if it is not known. */
export function estimatePace(
	group: GroupPace,
	now: number,
): PaceEstimate | undefined {
	const live = medianPace(group, now)
	if (live !== undefined) {
		group.paceMs = live
		group.estimatedAt = now
	}
	if (group.paceMs === undefined || now - group.estimatedAt > STALE_MS)
		return undefined
	return {
		paceMs: group.paceMs,
		firstEventMs: quantileOf(group.firstEventMs, FIRST_EVENT_SHARE) ?? 0,
		isLive: live !== undefined,
	}
}

/**
 * Whether a request that could not finish is let through all the same, so that a group
 * that no stream of this entry observes any more is found to have recovered.
 */
export function takeTrial(group: GroupPace, now: number): boolean {
	if (group.streams.size > 0) return false
	if (now - group.trialAt < TRIAL_INTERVAL_MS) return false
	group.trialAt = now
	return true
}

function medianPace(group: GroupPace, now: number): number | undefined {
	const paces: number[] = []
	for (const stream of group.streams) {
		const paceMs = streamPaceMs(stream, now)
		if (paceMs !== undefined) paces.push(paceMs)
	}
	paces.sort((a, b) => a - b)
	return paces[Math.floor(MEDIAN * (paces.length - 1))]
}

/**
 * Returns the shorter one of a stream's two latest times between events: one long pause
 * is no pace, a second one is. The time since its last event counts as soon as it is
 * longer than the time before it, so a rise shows while the second pause still lasts.
 */
function streamPaceMs(
	{ lastAt, latestMs, previousMs }: StreamPace,
	now: number,
): number | undefined {
	if (lastAt === undefined || latestMs === undefined) return undefined
	const sinceMs = now - lastAt
	if (previousMs === undefined || sinceMs > STALE_MS) return undefined
	return Math.max(Math.min(previousMs, latestMs), Math.min(latestMs, sinceMs))
}
