/** State of the detection of VM suspensions. */

import { readSuspendedMs } from '@juniperhook/runtime'

/** Total suspended time as last observed, and listeners for the next suspension. */
export interface SuspensionWatch {
	/** Total time for which the VM was suspended, as of the last check, ms. */
	observedMs: number
	/** Called when a suspension is detected. */
	readonly resumeListeners: Set<() => void>
}

/** Creates a watch that ignores earlier suspensions. */
export function createSuspensionWatch(): SuspensionWatch {
	return { observedMs: readSuspendedMs(), resumeListeners: new Set() }
}
