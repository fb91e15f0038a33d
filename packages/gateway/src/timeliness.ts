/** Whether an answer came in time, and if not, which part of it was late. */

import type { TrafficRoute } from '@juniperhook/core'

/** How an answer came, as its caller sees it. */
export type Timeliness =
	| 'inTime'
	/** It began after its route's target time. */
	| 'lateStart'
	/** It began in time, and paused for too long between two events. */
	| 'latePause'

/** When the parts of an answer came. */
export interface AnswerTimes {
	/** From the request's arrival to the first byte, ms. */
	startMs: number
	/** Longest pause between two events so far, ms. */
	longestPauseMs: number
}

/** Judges an answer by its route's objectives. */
export function classifyTimeliness(
	{ targetMs, maxPauseMs }: TrafficRoute,
	{ startMs, longestPauseMs }: AnswerTimes,
): Timeliness {
	if (startMs > targetMs) return 'lateStart'
	if (maxPauseMs > 0 && longestPauseMs > maxPauseMs) return 'latePause'
	return 'inTime'
}
