/**
 * The order in which waiting requests get slots that become free. Answers a queue in
 * which some targets can still be met and some cannot: a slot goes where a caller still
 * gains from it, and a request that has time gives way to one that has none.
 */

import type { Urgency } from '../internal.ts'

/** The properties of a waiting request that determine its position. */
export interface WaitingRequest {
	readonly urgency: Urgency
	/** Until when it has to start to meet its target, ms. */
	readonly startBy: number
	/** Arrival number. */
	readonly order: number
}

/**
 * Returns the waiting requests in the order in which to start them, if a slot becomes
 * free every `slotIntervalMs` from `now` on: those that can still meet their targets by
 * urgency, then by the time left; those that are late last, oldest first. A less urgent
 * request that would become late goes forward if no other becomes late by it.
 */
export function orderWaiting<T extends WaitingRequest>(
	waiting: readonly T[],
	now: number,
	slotIntervalMs: number,
): T[] {
	const timely = waiting.filter(({ startBy }) => startBy >= now)
	const late = waiting.filter(({ startBy }) => startBy < now)
	late.sort((a, b) => a.order - b.order)
	const ordered: T[] = []
	for (const request of timely.sort(compareTimely)) {
		const at = findPosition(ordered, request, now, slotIntervalMs)
		ordered.splice(at, 0, request)
	}
	return [...ordered, ...late]
}

function compareTimely(a: WaitingRequest, b: WaitingRequest): number {
	return a.urgency - b.urgency || a.startBy - b.startBy || a.order - b.order
}

/**
 * Returns the position of a request behind more urgent ones: the last at which it is
 * expected to meet its target, if those that it passes still meet theirs.
 */
function findPosition(
	ordered: readonly WaitingRequest[],
	request: WaitingRequest,
	now: number,
	slotIntervalMs: number,
): number {
	const isMet = ({ startBy }: WaitingRequest, position: number) =>
		now + position * slotIntervalMs <= startBy
	const last = ordered.length
	for (let at = last; at >= 0; at--) {
		if (isMet(request, at)) return at
		const passed = ordered[at - 1]
		if (!passed || !isMet(passed, at)) return last
	}
	return last
}
