/**
 * Decides whether an entry takes new connections of callers. A load balancer may hand most
 * of them to one entry; a connection that is closed before its request is read is retried
 * at another one, while a request that is read and cannot be served is lost.
 */

/** Share of the sockets beyond which no further connections are taken. */
const MAX_SOCKET_SHARE = 0.9
/**
 * Number of successive timer ticks that must all be late before the processor counts as
 * overloaded; fewer are late after a suspension or while a processor quota is used up.
 */
export const OVERLOAD_TICKS = 10
/** Delay of a tick from which it is late, ms. */
const LATE_TICK_MS = 100
/** Interval in which at least one connection is taken, ms, to see whether it can be served. */
const SAMPLE_INTERVAL_MS = 1_000

/** Load of an entry's process. */
export interface ProcessLoad {
	/** Sockets open, those to servers included. */
	readonly sockets: number
	/** Sockets that the process may open. */
	readonly maxSockets: number
	/** Delays of the last timer ticks, ms. */
	readonly tickDelaysMs: readonly number[]
	/** Whether there is another entry that callers can connect to. */
	readonly hasPeers: boolean
}

/** Why an entry takes no new connections. */
export type ConnectionOverload = 'sockets' | 'processor'

/** Returns why an entry takes no new connections; undefined if it does. */
export function findConnectionOverload({
	sockets,
	maxSockets,
	tickDelaysMs,
	hasPeers,
}: ProcessLoad): ConnectionOverload | undefined {
	if (!hasPeers) return undefined
	if (sockets >= MAX_SOCKET_SHARE * maxSockets) return 'sockets'
	const isLate =
		tickDelaysMs.length >= OVERLOAD_TICKS &&
		tickDelaysMs.every(delayMs => delayMs >= LATE_TICK_MS)
	return isLate ? 'processor' : undefined
}

/** Whether an overloaded entry takes a connection all the same. */
export function isSampleDue(sinceTakenMs: number): boolean {
	return sinceTakenMs >= SAMPLE_INTERVAL_MS
}
