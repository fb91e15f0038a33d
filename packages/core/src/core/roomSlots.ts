/**
 * Divides forecast room among entries without coordination. Room is numbered; each number
 * belongs to one entry, by that entry's share of the demand, so that all entries together
 * never have more than the room, even where each entry's share is less than one.
 */

/** Part of the room that belongs to an entry: from `from` to `to`, within 0 to 1. */
export interface RoomShare {
	readonly from: number
	readonly to: number
}

/** Demand of an entry, requests a second. */
export interface ShareDemand {
	readonly name: string
	readonly perSecond: number
}

/** The part of the room that belongs to an entry on its own. */
export const WHOLE_ROOM: RoomShare = { from: 0, to: 1 }
/** Added to the demand of every entry, as one without recent requests may refuse some. */
const MIN_PER_SECOND = 0.5
/** Numbers that are evenly spread over the shares: multiples of the golden ratio. */
const SPREAD = (Math.sqrt(5) - 1) / 2
/** Room beyond which rounding down a share loses less than the numbering costs. */
const MAX_NUMBERED = 512

/**
 * Returns the share of an entry by its demand. The demand of the `others` that report is
 * multiplied by `scale`, to account for those that do not.
 */
export function shareOfRoom(
	own: ShareDemand,
	others: readonly ShareDemand[],
	scale: number,
): RoomShare {
	const weightOf = ({ perSecond }: ShareDemand) => perSecond + MIN_PER_SECOND
	const sum = (entries: readonly ShareDemand[]) =>
		entries.reduce((total, entry) => total + weightOf(entry), 0)
	const preceding = sum(others.filter(({ name }) => name < own.name))
	const total = weightOf(own) + scale * sum(others)
	return { from: preceding / total, to: (preceding + weightOf(own)) / total }
}

/** Returns how many places up to `room` beyond `position` belong to an entry. */
export function countOwnSlots(
	{ from, to }: RoomShare,
	position: number,
	room: number,
): number {
	if (room > MAX_NUMBERED) return Math.floor((to - from) * room)
	let count = 0
	for (let slot = Math.floor(position) + 1; slot <= position + room; slot++) {
		const spot = (slot * SPREAD) % 1
		if (spot >= from && spot < to) count++
	}
	return count
}

/** Returns how many whole places there are up to `room` beyond `position`. */
export function countSlots(position: number, room: number): number {
	return Math.floor(position + room) - Math.floor(position)
}
