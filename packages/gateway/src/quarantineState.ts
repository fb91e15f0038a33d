/** State of the quarantine of poison requests. */

import type { Quarantine } from '@juniperhook/core'
import { createQuarantine } from '@juniperhook/core'

/** Evidence against requests under which servers crashed, and the quarantined ones. */
export interface QuarantineGate {
	readonly quarantine: Quarantine
	/** Body lengths of suspected requests; others need not be fingerprinted. */
	lengths: ReadonlySet<number>
	/** Fingerprints of quarantined requests. */
	barred: ReadonlySet<string>
}

/** Creates a gate that quarantines no request. */
export function createQuarantineGate(
	quarantine = createQuarantine(),
): QuarantineGate {
	return {
		quarantine,
		lengths: new Set(),
		barred: new Set(),
	}
}
