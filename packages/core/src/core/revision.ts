/**
 * Which configuration is in force: the highest valid revision seen, never an
 * older one, whoever offers it.
 */

import type { Config, Fault } from '../internal.ts'
import { readConfig } from '../internal.ts'

/** The configuration in force. */
export interface ActiveConfig {
	readonly revision: number
	readonly document: string
	readonly config: Config
}

/** A revision that was refused whole. */
export interface RejectedConfig {
	readonly revision: number
	readonly faults: readonly Fault[]
}

/** What a process holds of the configuration. */
export interface RevisionState {
	held: ActiveConfig | undefined
	refused: RejectedConfig | undefined
}

/** What became of an offered document. */
export type OfferResult = 'adopted' | 'known' | 'stale' | 'invalid'

/** Makes the state of a process that knows nothing yet. */
export function createRevisionState(): RevisionState {
	return { held: undefined, refused: undefined }
}

/** The highest revision seen, valid or not; 0 before the first. */
export function highestSeen(state: RevisionState): number {
	return Math.max(state.held?.revision ?? 0, state.refused?.revision ?? 0)
}

/** Offers a published document to the process. */
export function offerRevision(
	state: RevisionState,
	revision: number,
	document: string,
): OfferResult {
	const inForce = state.held?.revision ?? 0
	if (revision < inForce) return 'stale'
	if (revision === inForce || revision === state.refused?.revision)
		return 'known'
	const verdict = readConfig(document)
	if (!verdict.valid) {
		state.refused = { revision, faults: verdict.faults }
		return 'invalid'
	}
	state.held = { revision, document, config: verdict.config }
	return 'adopted'
}
