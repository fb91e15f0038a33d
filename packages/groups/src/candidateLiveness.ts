/**
 * Liveness of an earlier candidate, by the time of its agent's last answer. A takeover is
 * safe at any time, but two coordinators at work abort each other's rounds.
 */

/** An earlier candidate that has not answered for this long counts as down, ms. */
const DOWN_AFTER_MS = 1_500
/**
 * The same time while the group is held. If a coordinator stops while it holds the group,
 * all streams wait, and callers abandon a stream after 2 s.
 */
const DOWN_AFTER_HELD_MS = 350
/**
 * Time after this process's start in which a candidate that has never answered counts as
 * alive, ms. After a power failure all agents start together; without this time, three of
 * the four candidates of a group of 192 ranks coordinated it at once for 1.9 s.
 */
const STARTUP_GRACE_MS = 600

/** Liveness of an earlier candidate. */
export type CandidateLiveness =
	| 'alive'
	/** Counts as down if the group is held. */
	| 'unresponsive'
	| 'down'

/**
 * Returns the liveness of an earlier candidate; `answeredAt` is undefined before its
 * first answer.
 */
export function assessCandidate(
	answeredAt: number | undefined,
	startedAt: number,
	now: number,
): CandidateLiveness {
	if (answeredAt === undefined)
		return now - startedAt < STARTUP_GRACE_MS ? 'alive' : 'down'
	const silentMs = now - answeredAt
	if (silentMs < DOWN_AFTER_HELD_MS) return 'alive'
	return silentMs < DOWN_AFTER_MS ? 'unresponsive' : 'down'
}
