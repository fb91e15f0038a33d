/**
 * Backoff for lock-step groups that refuse requests. While a group re-forms, all
 * of its ranks refuse at once. To avoid a storm of retries, single probe requests
 * find out whether the group accepts requests again.
 */

/** Interval between probes of a refusing group, ms; re-forming takes some 600 ms. */
export const GROUP_PROBE_INTERVAL_MS = 100

/**
 * Interval between probes after a coordinator has reported the group broken, ms. The
 * coordinator also reports when the group runs again, and the probes of all entries
 * use up the retry budget.
 */
export const BROKEN_GROUP_PROBE_INTERVAL_MS = 500

/** Backoff state of a group that refuses requests. */
export interface GroupClosure {
	/** Time of the first refusal, ms. */
	readonly since: number
	/** Time before which no request is sent to the group, ms. */
	until: number
	/** Interval between two probes, ms. */
	tryMs: number
}

/** Backoff of each refusing group, by group name. */
export type GroupClosures = Map<string, GroupClosure>

/** Records that a rank refused a request on behalf of its whole group. */
export function recordGroupRefused(
	backoffs: GroupClosures,
	group: string,
	now: number,
): void {
	const current = backoffs.get(group)
	const since = current?.since ?? now
	const tryMs = current?.tryMs ?? GROUP_PROBE_INTERVAL_MS
	backoffs.set(group, { since, until: now + tryMs, tryMs })
}

/** Records that a group's coordinator reported it broken. */
export function recordGroupReportedBroken(
	backoffs: GroupClosures,
	group: string,
	now: number,
): void {
	const since = backoffs.get(group)?.since ?? now
	backoffs.set(group, {
		since,
		until: now + BROKEN_GROUP_PROBE_INTERVAL_MS,
		tryMs: BROKEN_GROUP_PROBE_INTERVAL_MS,
	})
}

/**
 * Ends the backoff after a rank of the group has accepted a request. Returns whether
 * the group was backing off.
 */
export function clearGroupClosure(
	backoffs: GroupClosures,
	group: string,
): boolean {
	return backoffs.delete(group)
}

/** Whether a group is backing off and no probe of it is due. */
export function isGroupClosed(
	backoffs: GroupClosures,
	group: string,
	now: number,
): boolean {
	const backoff = backoffs.get(group)
	return backoff !== undefined && now < backoff.until
}

/**
 * Whether a request may be sent now. During backoff, `true` makes the request a probe:
 * the next one is allowed after the probe's answer or the probe interval.
 */
export function tryEnterGroup(
	backoffs: GroupClosures,
	group: string,
	now: number,
): boolean {
	const backoff = backoffs.get(group)
	if (!backoff) return true
	if (now < backoff.until) return false
	backoff.until = now + backoff.tryMs
	return true
}
