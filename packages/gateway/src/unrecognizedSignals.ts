/** What servers said that nobody could read. */

/** Signals that could not be read and headers that nobody knows, as far as they are kept. */
export interface UnrecognizedSignals {
	readonly unreadable: Set<string>
	readonly unknownHeaders: Set<string>
}

/** Makes a record of nothing odd. */
export function createUnrecognizedSignals(): UnrecognizedSignals {
	return { unreadable: new Set(), unknownHeaders: new Set() }
}
