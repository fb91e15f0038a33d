/** State of the quarantine of poison requests. */

import type { Quarantine } from '@juniperhook/core'
import { createQuarantine } from '@juniperhook/core'

/** Evidence against requests under which servers crashed, and the quarantined ones. */
export interface QuarantineGate {
	readonly quarantine: Quarantine
	/** Body lengths of suspected requests; others need not be fingerprinted. */
	bodyLengths: ReadonlySet<number>
	/** Fingerprints of quarantined requests. */
	quarantined: ReadonlySet<string>
}

/** Creates a gate without quarantined requests. */
export function createQuarantineGate(
	quarantine = createQuarantine(),
): QuarantineGate {
	return {
		quarantine,
		bodyLengths: new Set(),
		quarantined: new Set(),
	}
}
