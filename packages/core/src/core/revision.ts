/**
 * Selects the active configuration: the highest valid revision seen. It is never
 * replaced by a lower revision, whatever its source.
 */

import type { Config, Fault } from '../internal.ts'
import { readConfig } from '../internal.ts'

/** The active configuration. */
export interface ActiveConfig {
	readonly revision: number
	readonly document: string
	readonly config: Config
}

/** A revision that was rejected as a whole. */
export interface RejectedConfig {
	readonly revision: number
	readonly faults: readonly Fault[]
}

/** The active and the last rejected configuration of a process. */
export interface RevisionState {
	active: ActiveConfig | undefined
	rejected: RejectedConfig | undefined
}

/** Result of offering a document. */
export type OfferResult = 'adopted' | 'known' | 'stale' | 'invalid'

/** Creates the state of a process that has no configuration yet. */
export function createRevisionState(): RevisionState {
	return { active: undefined, rejected: undefined }
}

/** Returns the highest revision seen, valid or not; 0 before the first. */
export function highestSeen(state: RevisionState): number {
	return Math.max(state.active?.revision ?? 0, state.rejected?.revision ?? 0)
}

/** Validates a published document and activates it if it is valid and newer. */
export function offerRevision(
	state: RevisionState,
	revision: number,
	document: string,
): OfferResult {
	const active = state.active?.revision ?? 0
	if (revision < active) return 'stale'
	if (revision === active || revision === state.rejected?.revision)
		return 'known'
	const result = readConfig(document)
	if (!result.valid) {
		state.rejected = { revision, faults: result.faults }
		return 'invalid'
	}
	state.active = { revision, document, config: result.config }
	return 'adopted'
}
