/**
 * The queue that determines the order in which an agent starts waiting requests: by
 * priority, then by start-time fair queueing over team weights, then by arrival.
 */

/** The properties of a queued request that determine its position. */
export interface QueueItem {
	readonly team: string
	/** 0 is the most urgent. */
	readonly priority: number
	/** Team weight; a team with weight 2 gets twice as many starts as one with 1. */
	readonly weight: number
	/** Virtual start time, assigned by {@link enqueue}. */
	virtualStart: number
	/** Arrival number, assigned by {@link enqueue}. */
	order: number
}

/** The queue of an agent. */
export interface FairQueue<T extends QueueItem> {
	readonly waiting: T[]
	/** Virtual finish time of each team's latest request; cleared when the queue is empty. */
	readonly finishByTeam: Map<string, number>
	virtualNow: number
	arrivals: number
}

/** Creates an empty queue. */
export function createFairQueue<T extends QueueItem>(): FairQueue<T> {
	return { waiting: [], finishByTeam: new Map(), virtualNow: 0, arrivals: 0 }
}

/** Inserts `item` at its position in the queue. */
export function enqueue<T extends QueueItem>(
	queue: FairQueue<T>,
	item: T,
): void {
	const finish = queue.finishByTeam.get(item.team) ?? 0
	item.virtualStart = Math.max(queue.virtualNow, finish)
	item.order = queue.arrivals++
	queue.finishByTeam.set(item.team, item.virtualStart + 1 / item.weight)
	queue.waiting.splice(findInsertIndex(queue.waiting, item), 0, item)
}

/** Removes and returns the next request to start. */
export function dequeue<T extends QueueItem>(
	queue: FairQueue<T>,
): T | undefined {
	const next = queue.waiting[0]
	if (next) startQueued(queue, next)
	return next
}

/** Removes a request that starts, from any position in the queue. */
export function startQueued<T extends QueueItem>(
	queue: FairQueue<T>,
	item: T,
): void {
	removeQueued(queue, item)
	queue.virtualNow = Math.max(queue.virtualNow, item.virtualStart)
	if (queue.waiting.length === 0) queue.finishByTeam.clear()
}

/** Removes `item` from any position in the queue. */
export function removeQueued<T extends QueueItem>(
	queue: FairQueue<T>,
	item: T,
): void {
	const at = queue.waiting.indexOf(item)
	if (at >= 0) queue.waiting.splice(at, 1)
}

function findInsertIndex<T extends QueueItem>(
	waiting: readonly T[],
	item: T,
): number {
	let low = 0
	let high = waiting.length
	while (low < high) {
		const middle = (low + high) >>> 1
		if (compareItems(waiting[middle]!, item) <= 0) low = middle + 1
		else high = middle
	}
	return low
}

function compareItems(a: QueueItem, b: QueueItem): number {
	return (
		a.priority - b.priority ||
		a.virtualStart - b.virtualStart ||
		a.order - b.order
	)
}
