/**
 * Whether the agent of an earlier candidate still coordinates its group, by its last
 * word. Taking over is safe at any time; doing it while the other one is at work makes
 * each end the other's rounds.
 */

/** An earlier candidate that is silent for this long is taken for dead, ms. */
const SILENT_MS = 1_500
/**
 * The same while the group is held. A coordinator that stops while it holds the group
 * makes every stream wait, and callers give a stream up after 2 s.
 */
const SILENT_HELD_MS = 350
/**
 * One that was never heard of is waited for after this process's start, ms: after a
 * loss of power all begin together, and three of four candidates of a group of 192
 * ranks coordinated at once for 1.9 s.
 */
const FIRST_WORD_MS = 600

/** What is thought of an earlier candidate. */
export type EarlierState =
	| 'lives'
	/** Gone if the group is held. */
	| 'doubtful'
	| 'gone'

/** Judges an earlier candidate; `heardAt` is undefined before its first word. */
export function judgeEarlier(
	heardAt: number | undefined,
	startedAt: number,
	now: number,
): EarlierState {
	if (heardAt === undefined)
		return now - startedAt < FIRST_WORD_MS ? 'lives' : 'gone'
	const silentMs = now - heardAt
	if (silentMs < SILENT_HELD_MS) return 'lives'
	return silentMs < SILENT_MS ? 'doubtful' : 'gone'
}
