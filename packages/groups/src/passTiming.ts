/** The passes that a coordinator times, between two looks. */

import type { RankReport } from '@juniperhook/core'

/** Passes that are being timed under the same conditions. */
export interface PassWatch {
	since: { readonly report: RankReport; readonly at: number } | undefined
	copying: boolean
	/** How often the clocks had parted; what is timed across that is dropped. */
	jumps: number
	factor: number
	loggedAt: number
	/** What had gone over this process's links then. */
	bytesIn: number
	bytesOut: number
}

/** Makes a watch that has seen nothing. */
export function createPassWatch(): PassWatch {
	return {
		since: undefined,
		copying: false,
		jumps: 0,
		factor: 1,
		loggedAt: 0,
		bytesIn: 0,
		bytesOut: 0,
	}
}
