/**
 * Account of the bytes that an entry holds because others read or send slowly: events and
 * answers that callers have not taken, and bodies of requests. Answers the load of many
 * callers that read slowly or stop; see `slowReaders.ts` for the decisions.
 */

/** Memory of a process that holds nothing, MB. */
const IDLE_PROCESS_MB = 60
/** Share of the remaining memory for held bytes; the rest is heap and garbage. */
const HELD_SHARE = 0.25
/** Share of it for bodies that are being received, whose memory is freed late. */
const RECEIVED_SHARE = 0.125
/** Minimum limit of the sum, so that a small process serves at all, bytes. */
const MIN_LIMIT_BYTES = 4 * 1_048_576
const BYTES_PER_MB = 1_048_576

/** What a holder waits for. */
export type HolderPhase =
	/** Its sender: the body of a request, or a complete answer that is still read. */
	| 'receiving'
	/** Its reader, while the source of the stream is read. */
	| 'relaying'
	/** Its reader, while the source of the stream is paused. */
	| 'paused'
	/** Its reader only: the answer has been received completely. */
	| 'delivering'

/** One response or body and the bytes held for it. */
export interface Holder {
	phase: HolderPhase
	bytes: number
	/** When its reader last took something or began to have something to take, ms. */
	progressAt: number
	/** When the source was paused or last read on, ms; valid while paused. */
	pausedAt: number
	/** Whether its reader has taken something since `pausedAt`. */
	hasProgressed: boolean
	/** When its caller stops waiting, ms. */
	readonly deadlineAt: number
}

/** All holders and their sum. */
export interface HeldBytes {
	readonly holders: Set<Holder>
	totalBytes: number
	/** Limit of the sum, bytes. */
	limitBytes: number
}

/** Returns the limit of the sum for a process with this memory, bytes. */
export function heldLimitBytes(memoryMb: number): number {
	return shareOfFree(memoryMb, HELD_SHARE)
}

/** Returns the limit for bodies that a process with this memory receives, bytes. */
export function receivedLimitBytes(memoryMb: number): number {
	return shareOfFree(memoryMb, RECEIVED_SHARE)
}

function shareOfFree(memoryMb: number, share: number): number {
	const freeMb = Math.max(0, memoryMb - IDLE_PROCESS_MB)
	return Math.max(MIN_LIMIT_BYTES, freeMb * share * BYTES_PER_MB)
}

/** Creates an account without holders. */
export function createHeldBytes(limitBytes: number): HeldBytes {
	return { holders: new Set(), totalBytes: 0, limitBytes }
}

/** Adds a holder without bytes. */
export function addHolder(
	held: HeldBytes,
	phase: HolderPhase,
	deadlineAt: number,
	now: number,
): Holder {
	const holder: Holder = {
		phase,
		bytes: 0,
		progressAt: now,
		pausedAt: now,
		hasProgressed: false,
		deadlineAt,
	}
	held.holders.add(holder)
	return holder
}

/** Counts bytes that are now held; without effect on a removed holder. */
export function growHolder(
	held: HeldBytes,
	holder: Holder,
	bytes: number,
	now: number,
): void {
	if (!held.holders.has(holder)) return
	if (holder.bytes === 0) holder.progressAt = now
	holder.bytes += bytes
	held.totalBytes += bytes
}

/** Counts bytes that a reader has taken; without effect on a removed holder. */
export function shrinkHolder(
	held: HeldBytes,
	holder: Holder,
	bytes: number,
	now: number,
): void {
	if (!held.holders.has(holder)) return
	holder.bytes -= bytes
	held.totalBytes -= bytes
	holder.progressAt = now
	holder.hasProgressed = true
}

/** Removes a holder and all its bytes; without effect on a removed holder. */
export function removeHolder(held: HeldBytes, holder: Holder): void {
	if (!held.holders.delete(holder)) return
	held.totalBytes -= holder.bytes
	holder.bytes = 0
}

/** Records that the source of a stream is paused. */
export function pauseHolder(holder: Holder, now: number): void {
	holder.phase = 'paused'
	holder.pausedAt = now
	holder.hasProgressed = false
}
