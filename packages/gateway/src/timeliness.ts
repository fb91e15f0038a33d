/** Classifies whether a response met its route's latency objectives. */

import type { TrafficRoute } from '@juniperhook/core'

/** Timeliness of a response, as its caller sees it. */
export type Timeliness =
	| 'inTime'
	/** The first byte came after the route's target time. */
	| 'lateStart'
	/** It started in time, but a pause between two events was too long. */
	| 'latePause'

/** Timing of a response. */
export interface AnswerTimes {
	/** Time from the request's arrival to the first byte, ms. */
	startMs: number
	/** Longest pause between two events so far, ms. */
	longestPauseMs: number
}

/** Classifies a response by its route's objectives. */
export function classifyTimeliness(
	{ targetMs, maxPauseMs }: TrafficRoute,
	{ startMs, longestPauseMs }: AnswerTimes,
): Timeliness {
	if (startMs > targetMs) return 'lateStart'
	if (maxPauseMs > 0 && longestPauseMs > maxPauseMs) return 'latePause'
	return 'inTime'
}
