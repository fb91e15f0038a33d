/** State of the gate that keeps requests from all servers. */

import type { Quarantine } from '@juniperhook/core'
import { createQuarantine } from '@juniperhook/core'

/** What an entry knows of requests under which servers ended. */
export interface QuarantineGate {
	readonly quarantine: Quarantine
	/** Lengths of their bodies: no other request needs a fingerprint. */
	bodyLengths: ReadonlySet<number>
	quarantined: ReadonlySet<string>
}

/** Makes a gate that lets everything pass. */
export function createQuarantineGate(
	quarantine = createQuarantine(),
): QuarantineGate {
	return {
		quarantine,
		bodyLengths: new Set(),
		quarantined: new Set(),
	}
}
