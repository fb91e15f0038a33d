/** Server signals, headers and updates of other entries that were not recognized. */

/** Unreadable signals and unknown headers seen so far, up to a limit. */
export interface UnrecognizedSignals {
	/** Server, signal and text of each unreadable signal that was logged. */
	readonly unreadable: Set<string>
	/** Names of unknown headers that are counted by name. */
	readonly unknownHeaders: Set<string>
	/** Kinds of updates of other entries that were skipped. */
	readonly updateKinds: Set<string>
}

/** Creates an empty record. */
export function createUnrecognizedSignals(): UnrecognizedSignals {
	return {
		unreadable: new Set(),
		unknownHeaders: new Set(),
		updateKinds: new Set(),
	}
}
