/**
 * The order in which an agent starts waiting requests: by priority, then fairly
 * by team weight (start-time fair queueing), then by arrival.
 */

/** What the order needs to know of a waiting request. */
export interface QueueItem {
	readonly team: string
	/** 0 is the most urgent. */
	readonly priority: number
	/** Team weight; a team with 2 is started twice as often as one with 1. */
	readonly weight: number
	/** Virtual start, given by {@link enqueue}. */
	virtualStart: number
	/** Arrival number, given by {@link enqueue}. */
	order: number
}

/** A queue of one agent. */
export interface FairQueue<T extends QueueItem> {
	readonly waiting: T[]
	/** Virtual finish of each team's latest request; teams idle are dropped. */
	readonly finishByTeam: Map<string, number>
	virtualNow: number
	arrivals: number
}

/** Makes an empty queue. */
export function createFairQueue<T extends QueueItem>(): FairQueue<T> {
	return { waiting: [], finishByTeam: new Map(), virtualNow: 0, arrivals: 0 }
}

/** Adds `item` and keeps the queue in order. */
export function enqueue<T extends QueueItem>(
	queue: FairQueue<T>,
	item: T,
): void {
	const finish = queue.finishByTeam.get(item.team) ?? 0
	item.virtualStart = Math.max(queue.virtualNow, finish)
	item.order = queue.arrivals++
	queue.finishByTeam.set(item.team, item.virtualStart + 1 / item.weight)
	queue.waiting.splice(findPlace(queue.waiting, item), 0, item)
}

/** Takes the next request to start. */
export function dequeue<T extends QueueItem>(
	queue: FairQueue<T>,
): T | undefined {
	const next = queue.waiting.shift()
	if (!next) return undefined
	queue.virtualNow = Math.max(queue.virtualNow, next.virtualStart)
	if (queue.waiting.length === 0) queue.finishByTeam.clear()
	return next
}

/** Takes `item` out wherever it stands. */
export function removeQueued<T extends QueueItem>(
	queue: FairQueue<T>,
	item: T,
): void {
	const at = queue.waiting.indexOf(item)
	if (at >= 0) queue.waiting.splice(at, 1)
}

function findPlace<T extends QueueItem>(
	waiting: readonly T[],
	item: T,
): number {
	let low = 0
	let high = waiting.length
	while (low < high) {
		const middle = (low + high) >>> 1
		if (compareWaiting(waiting[middle]!, item) <= 0) low = middle + 1
		else high = middle
	}
	return low
}

function compareWaiting(a: QueueItem, b: QueueItem): number {
	return (
		a.priority - b.priority ||
		a.virtualStart - b.virtualStart ||
		a.order - b.order
	)
}
