/**
 * Lock-step groups that refuse at every rank at once, as they do while they form
 * anew: instead of a storm of tries, one request at a time finds out whether the
 * group is open again.
 */

/** Between tries while a group refuses, ms; a forming takes some 600. */
export const GROUP_PROBE_INTERVAL_MS = 100

/**
 * The same while a coordinator says that the group is broken and will say when it
 * runs again: the tries of all entries count toward what may be sent again.
 */
export const BROKEN_GROUP_PROBE_INTERVAL_MS = 500

/** What is known of a group that refuses. */
export interface GroupClosure {
	/** When it began to refuse, ms. */
	readonly since: number
	/** Nothing is sent before this time, ms. */
	until: number
	/** Between two tries, ms. */
	tryMs: number
}

/** Groups that refuse, by name. */
export type GroupClosures = Map<string, GroupClosure>

/** Notes that a rank refused for its whole group. */
export function recordGroupRefused(
	closures: GroupClosures,
	group: string,
	now: number,
): void {
	const known = closures.get(group)
	const since = known?.since ?? now
	const tryMs = known?.tryMs ?? GROUP_PROBE_INTERVAL_MS
	closures.set(group, { since, until: now + tryMs, tryMs })
}

/** Notes that a group's coordinator calls it broken. */
export function recordGroupReportedBroken(
	closures: GroupClosures,
	group: string,
	now: number,
): void {
	const since = closures.get(group)?.since ?? now
	closures.set(group, {
		since,
		until: now + BROKEN_GROUP_PROBE_INTERVAL_MS,
		tryMs: BROKEN_GROUP_PROBE_INTERVAL_MS,
	})
}

/** Notes that a rank of the group took a request; true if it was closed. */
export function clearGroupClosure(
	closures: GroupClosures,
	group: string,
): boolean {
	return closures.delete(group)
}

/** Whether a group is closed and no try of it is due. */
export function isGroupClosed(
	closures: GroupClosures,
	group: string,
	now: number,
): boolean {
	const closure = closures.get(group)
	return closure !== undefined && now < closure.until
}

/**
 * Whether a request may be sent now. While the group is closed, a yes is a try:
 * the next one waits until its answer, or a while.
 */
export function tryEnterGroup(
	closures: GroupClosures,
	group: string,
	now: number,
): boolean {
	const closure = closures.get(group)
	if (!closure) return true
	if (now < closure.until) return false
	closure.until = now + closure.tryMs
	return true
}
