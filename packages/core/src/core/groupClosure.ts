/**
 * Closed lock-step groups, which refuse requests at all ranks, as they do while they
 * re-form. To avoid a storm of retries, single probe requests find out whether a group
 * accepts requests again.
 */

/** Interval between probes of a closed group, ms; re-forming takes some 600 ms. */
export const GROUP_PROBE_INTERVAL_MS = 100

/**
 * Interval between probes after a coordinator has reported the group broken, ms. The
 * coordinator also reports when the group runs again, and the probes of all entries
 * use up the retry budget.
 */
export const BROKEN_GROUP_PROBE_INTERVAL_MS = 500

/** State of a closed group. */
export interface GroupClosure {
	/** Time of the first refusal, ms. */
	readonly since: number
	/** Time before which no request is sent to the group, ms. */
	until: number
	/** Interval between two probes, ms. */
	probeIntervalMs: number
}

/** Closed groups, by name. */
export type GroupClosures = Map<string, GroupClosure>

/** Records that a rank refused a request on behalf of its whole group. */
export function recordGroupRefused(
	closures: GroupClosures,
	group: string,
	now: number,
): void {
	const current = closures.get(group)
	const since = current?.since ?? now
	const probeIntervalMs = current?.probeIntervalMs ?? GROUP_PROBE_INTERVAL_MS
	closures.set(group, { since, until: now + probeIntervalMs, probeIntervalMs })
}

/** Records that a group's coordinator reported it broken. */
export function recordGroupReportedBroken(
	closures: GroupClosures,
	group: string,
	now: number,
): void {
	const since = closures.get(group)?.since ?? now
	closures.set(group, {
		since,
		until: now + BROKEN_GROUP_PROBE_INTERVAL_MS,
		probeIntervalMs: BROKEN_GROUP_PROBE_INTERVAL_MS,
	})
}

/**
 * Records that a rank of the group accepted a request. Returns whether the group was
 * closed.
 */
export function clearGroupClosure(
	closures: GroupClosures,
	group: string,
): boolean {
	return closures.delete(group)
}

/** Whether a group is closed and no probe of it is due. */
export function isGroupClosed(
	closures: GroupClosures,
	group: string,
	now: number,
): boolean {
	const closure = closures.get(group)
	return closure !== undefined && now < closure.until
}

/**
 * Whether a request may be sent now. If the group is closed, `true` makes the request a
 * probe: the next one is allowed after the probe's answer or the probe interval.
 */
export function tryEnterGroup(
	closures: GroupClosures,
	group: string,
	now: number,
): boolean {
	const closure = closures.get(group)
	if (!closure) return true
	if (now < closure.until) return false
	closure.until = now + closure.probeIntervalMs
	return true
}
