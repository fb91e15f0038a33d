/** State of a coordinator's measurement of pass times. */

import type { RankReport } from '@juniperhook/core'

/** Measurement of passes under constant conditions. */
export interface PassTiming {
	/** Report at which the measurement in progress began. */
	startedFrom: { readonly report: RankReport; readonly at: number } | undefined
	copying: boolean
	/** Number of clock jumps at the start; a measurement across a jump is dropped. */
	jumps: number
	/** Time of a pass relative to a balanced one, at the start. */
	factor: number
	loggedAt: number
	/** Bytes transferred over this process's links until the last log line. */
	bytesIn: number
	bytesOut: number
}

/** Creates the state before the first measurement. */
export function createPassTiming(): PassTiming {
	return {
		startedFrom: undefined,
		copying: false,
		jumps: 0,
		factor: 1,
		loggedAt: 0,
		bytesIn: 0,
		bytesOut: 0,
	}
}
