/** Server signals and headers that were not recognized. */

/** Unreadable signals and unknown headers seen so far, up to a limit. */
export interface OddSignals {
	/** Server, signal and text of each unreadable signal that was logged. */
	readonly unreadable: Set<string>
	/** Names of unknown headers that are counted by name. */
	readonly unknown: Set<string>
}

/** Creates an empty record. */
export function createOddSignals(): OddSignals {
	return { unreadable: new Set(), unknown: new Set() }
}
