/** Tells watches that were cut from those that waited. */

/**
 * A watch that ends sooner than this without a change has been cut, ms. Repeated at once,
 * it would take all calls that a source allows, and most of the processor.
 */
const MIN_WATCH_MS = 25

/** Whether a watch that ended without an error was cut, and needs a pause after it. */
export function isWatchCut(tookMs: number, hasChanges: boolean): boolean {
	return !hasChanges && tookMs < MIN_WATCH_MS
}
