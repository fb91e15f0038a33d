/** State of this entry's requests to cold servers. */

import type { EntryPeak, RecentStarts } from '@juniperhook/core'
import { createEntryPeak, createRecentStarts } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'

/** Requests of this entry to servers that may be cold, and who shares their bound. */
export interface ColdGate {
	readonly starts: RecentStarts
	readonly peak: EntryPeak
}

/** Creates a state without requests. */
export function createColdGate(): ColdGate {
	return {
		starts: createRecentStarts(readElapsed()),
		peak: createEntryPeak(),
	}
}
