/** State of the quarantine of poison requests and prompt parts. */

import type { Quarantine } from '@juniperhook/core'
import { createQuarantine } from '@juniperhook/core'
import type { ServedParts } from './servedParts.ts'

/** Evidence against requests and prompt parts, and the quarantined ones. */
export interface QuarantineGate {
	readonly quarantine: Quarantine
	/** Body lengths of suspected requests; others need not be fingerprinted. */
	bodyLengths: ReadonlySet<number>
	/** Keys of quarantined requests and parts. */
	quarantined: ReadonlySet<string>
	/** Suspected parts by id, quarantined ones included. */
	suspectedParts: ReadonlyMap<string, KnownSuspicion>
	/** Parts that this entry has got answers with. */
	readonly servedParts: ServedParts
}

/** What this entry has learned of a suspected part. */
export interface KnownSuspicion {
	/** Crashes that count against the part. */
	readonly crashes: number
	/** When this entry learned of the last of them, ms. */
	readonly learnedAt: number
}

/** Creates a gate without quarantined requests. */
export function createQuarantineGate(
	quarantine = createQuarantine(),
): QuarantineGate {
	return {
		quarantine,
		bodyLengths: new Set(),
		quarantined: new Set(),
		suspectedParts: new Map(),
		servedParts: new Map(),
	}
}
