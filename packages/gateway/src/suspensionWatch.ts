/** What an entry knows of suspensions of its VM. */

import { readSuspendedMs } from '@juniperhook/runtime'

/** How long the VM was suspended by the last look, and what waits for the next one. */
export interface SuspensionWatch {
	observedMs: number
	readonly resumeListeners: Set<() => void>
}

/** Makes a watch from now on. */
export function createSuspensionWatch(): SuspensionWatch {
	return { observedMs: readSuspendedMs(), resumeListeners: new Set() }
}
