/**
 * Decisions on readers and senders that are slow. Answers the load of many callers that
 * read slowly or stop, also all at once behind a choked link: each response and the sum
 * of all are bounded, and a reader that keeps up is never ended for those that do not.
 */

import type { HeldBytes, Holder } from '../internal.ts'

/**
 * Bytes of a stream that are read ahead of its reader: some tens of events, also of large
 * ones, so that a reader that pauses briefly does not hold up its server.
 */
export const RESPONSE_BOUND_BYTES = 65_536
/** Bytes below which a paused source is read on: the next events then find room. */
const RESUME_BYTES = RESPONSE_BOUND_BYTES / 2
/** A reader that holds no more than this, a few events in transit, keeps up. */
export const KEEPS_UP_BYTES = 8_192
/** A reader that has taken something within this keeps up: twice a usual pause, ms. */
export const KEEPS_UP_MS = 200
/**
 * Longest pause of a server's connection, ms: servers cut off an answer left unread for
 * some seconds, and callers of a stream do not wait longer for its next event.
 */
export const MAX_PAUSE_MS = 1_000
/**
 * Time without progress after which a complete answer is given up, ms: a link that was
 * interrupted delivers again within this, and callers have stopped waiting.
 */
export const ABANDONED_MS = 10_000
/** Share of the limit from which new requests are refused: those begun need the rest. */
const REFUSE_SHARE = 0.75

/** Why a response was ended. */
export type HoldEnd =
	/** Its reader took nothing during the longest pause of the source. */
	| 'stalled'
	/** Its reader took nothing of a complete answer, and its deadline is past. */
	| 'abandoned'
	/** The sum was short, and this reader was furthest behind. */
	| 'memory'

/** What is due for a holder. */
export type HoldDecision =
	| { readonly kind: 'keep' }
	/** Reads the paused source on. */
	| { readonly kind: 'readOn' }
	| { readonly kind: 'end'; readonly reason: HoldEnd }

const KEEP: HoldDecision = { kind: 'keep' }
const READ_ON: HoldDecision = { kind: 'readOn' }

/** Whether new requests are refused, so that those begun can be completed. */
export function isMemoryShort({ totalBytes, limitBytes }: HeldBytes): boolean {
	return totalBytes >= limitBytes * REFUSE_SHARE
}

/** Whether no more bytes of any slow sender or reader may be added. */
export function isMemoryFull({ totalBytes, limitBytes }: HeldBytes): boolean {
	return totalBytes >= limitBytes
}

/** Whether the source of a stream is to be paused after bytes were added. */
export function mustPause(held: HeldBytes, holder: Holder): boolean {
	if (holder.phase !== 'relaying' || holder.bytes <= KEEPS_UP_BYTES)
		return false
	return holder.bytes > RESPONSE_BOUND_BYTES || isMemoryFull(held)
}

/** Decides what is due for a holder, after it has progressed or as time passes. */
export function judgeHolder(
	held: HeldBytes,
	holder: Holder,
	now: number,
): HoldDecision {
	switch (holder.phase) {
		case 'receiving':
		case 'relaying':
			return KEEP
		case 'paused':
			return judgePaused(held, holder, now)
		case 'delivering':
			return now >= holder.deadlineAt && now - holder.progressAt >= ABANDONED_MS
				? { kind: 'end', reason: 'abandoned' }
				: KEEP
		default:
			return holder.phase satisfies never
	}
}

function judgePaused(
	held: HeldBytes,
	{ bytes, pausedAt, hasProgressed }: Holder,
	now: number,
): HoldDecision {
	if (bytes <= KEEPS_UP_BYTES) return READ_ON
	if (bytes <= RESUME_BYTES && !isMemoryFull(held)) return READ_ON
	if (now - pausedAt < MAX_PAUSE_MS) return KEEP
	// Behind a choked link, readers progress slowly, yet their answers may come in time.
	return hasProgressed ? READ_ON : { kind: 'end', reason: 'stalled' }
}

/**
 * Returns the holder to end while the sum is over its limit: of the readers that do not
 * keep up, the one with the most bytes, then the one longest without progress.
 */
export function chooseFurthestBehind(
	held: HeldBytes,
	now: number,
): Holder | undefined {
	if (held.totalBytes <= held.limitBytes) return undefined
	let furthest: Holder | undefined
	for (const holder of held.holders) {
		if (holder.phase === 'receiving' || isKeepingUp(holder, now)) continue
		if (!furthest || isFurtherBehind(holder, furthest)) furthest = holder
	}
	return furthest
}

/** Whether a reader takes what it gets. */
export function isKeepingUp(holder: Holder, now: number): boolean {
	return holder.bytes <= KEEPS_UP_BYTES || now - holder.progressAt < KEEPS_UP_MS
}

function isFurtherBehind(first: Holder, second: Holder): boolean {
	if (first.bytes !== second.bytes) return first.bytes > second.bytes
	return first.progressAt < second.progressAt
}
