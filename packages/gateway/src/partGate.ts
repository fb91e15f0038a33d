/**
 * Decides whether a request may be sent, judged by the parts of its prompt. A suspected
 * part is tried by one request at a time: the entries take turns, so that a poison part
 * crashes one server and not one per entry.
 */

import type { ErrorKind, Suspicion } from '@juniperhook/core'
import { subjectKeyOf, topByRendezvous, triableFrom } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { CallerRequest, Job } from './job.ts'
import { evidenceLeftMs } from './quarantineGate.ts'
import { isPartInFlight } from './sentRequests.ts'
import { awaitSynchronized } from './synchronization.ts'

/**
 * Duration of an entry's turn, ms: longer than it takes a server to crash under a request
 * and the evidence to reach all entries.
 */
const TURN_MS = 1_000
/**
 * Maximum number of turns until an entry's next one. Beyond as many entries, several of
 * them share a turn, so that a sound part does not wait longer in a large fleet.
 */
const MAX_TURNS = 8
/**
 * Time from the first turn until entries no longer wait for theirs, ms: if no trial has
 * crashed a server by then, requests with the part are rare, and trials of several
 * entries at the same time unlikely.
 */
const TURNS_END_MS = 20_000
/** Key of the order in which entries take turns; the same for all parts. */
const TURN_KEY = 'part trials'

/** Whether a request may be sent. */
export type PartVerdict =
	/** No part is suspected. */
	| { readonly kind: 'free' }
	/** It may be sent, and its outcome tells whether the parts are poison. */
	| { readonly kind: 'trial'; readonly parts: readonly string[] }
	/** Evidence of other entries that clears a part may still arrive for `leftMs`. */
	| {
			readonly kind: 'pending'
			readonly part: string
			readonly leftMs: number
	  }
	/** Another request may be trying a part for another `leftMs`. */
	| {
			readonly kind: 'suspected'
			readonly part: string
			readonly leftMs: number
	  }
	/** A part is sent to no server for another `leftMs`. */
	| {
			readonly kind: 'quarantined'
			readonly part: string
			readonly leftMs: number
	  }

/** A verdict by which a request is refused. */
export type PartRefusal = Extract<
	PartVerdict,
	{ kind: 'pending' | 'suspected' | 'quarantined' }
>

/** Judges a request by the parts of its prompt. */
export function judgeParts(
	ctx: GatewayContext,
	{ sharedParts }: Pick<CallerRequest, 'sharedParts'>,
): PartVerdict {
	const { quarantine, suspectedParts } = ctx.quarantineGate
	if (suspectedParts.size === 0) return { kind: 'free' }
	const parts = sharedParts.filter(id => suspectedParts.has(id))
	const suspects: SuspectedPart[] = parts.map(part => {
		const key = subjectKeyOf({ kind: 'part', id: part })
		const suspicion = quarantine.suspects.get(key)!
		return { part, suspicion, from: triableFrom(key, suspicion) }
	})
	const [last] = suspects.sort((a, b) => b.from - a.from)
	if (!last) return { kind: 'free' }
	const now = readElapsed()
	const pending = findPending(ctx, parts, now)
	if (pending) return pending
	if (last.from > now) return refusalBefore(last, now)
	const waitMs = untilOwnTurnMs(ctx, now - last.from)
	if (waitMs > 0) return { kind: 'suspected', part: last.part, leftMs: waitMs }
	const tried = parts.find(part => isBeingTried(ctx, part, now))
	return tried === undefined
		? { kind: 'trial', parts }
		: { kind: 'suspected', part: tried, leftMs: TURN_MS }
}

/** A suspected part of a prompt. */
interface SuspectedPart {
	readonly part: string
	readonly suspicion: Suspicion
	/** When it may be tried at the earliest, ms. */
	readonly from: number
}

/** Returns the verdict on a part that must not be tried yet. */
function refusalBefore(
	{ part, suspicion, from }: SuspectedPart,
	now: number,
): PartRefusal {
	const kind = suspicion.isConclusive ? 'quarantined' : 'suspected'
	return { kind, part, leftMs: from - now }
}

/** Returns the verdict on parts about which further evidence may arrive. */
function findPending(
	ctx: GatewayContext,
	parts: readonly string[],
	now: number,
): PartRefusal | undefined {
	for (const part of parts) {
		const leftMs = evidenceLeftMs(ctx, part, now)
		if (leftMs > 0) return { kind: 'pending', part, leftMs }
	}
	return undefined
}

/** Whether a request with this verdict may be sent. */
export function isSendable(
	verdict: PartVerdict,
): verdict is Exclude<PartVerdict, PartRefusal> {
	return verdict.kind === 'free' || verdict.kind === 'trial'
}

/** Returns the error with which a request is refused, and notes the part in its job. */
export function refuseByPart(job: Job, { kind, part }: PartRefusal): ErrorKind {
	job.refusedPart = part
	return kind === 'quarantined' ? 'quarantined' : 'suspected'
}

/**
 * Judges a request once the evidence of other entries is complete: on arrival, requests
 * wait for it, as a part that others have served must not be refused.
 */
export async function judgeSettledParts(
	ctx: GatewayContext,
	{ request, signal }: Job,
): Promise<PartVerdict> {
	if (request.sharedParts.length === 0) return { kind: 'free' }
	await awaitSynchronized(ctx, signal)
	const verdict = judgeParts(ctx, request)
	if (verdict.kind !== 'pending') return verdict
	await awaitEvidence(verdict)
	return judgeParts(ctx, request)
}

/** Waits until evidence that may clear a part has arrived. */
export function awaitEvidence({
	leftMs,
}: Extract<PartVerdict, { kind: 'pending' }>): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, leftMs))
}

/** Returns how long a request is refused because of its parts, ms. */
export function refusedForMs(
	ctx: GatewayContext,
	request: CallerRequest,
): number {
	const verdict = judgeParts(ctx, request)
	return isSendable(verdict) ? 0 : verdict.leftMs
}

/** Returns the time until this entry's turn, `sinceMs` after the first turn began, ms. */
function untilOwnTurnMs(
	{ permitHomes, settings }: GatewayContext,
	sinceMs: number,
): number {
	if (sinceMs >= TURNS_END_MS) return 0
	const { reachable } = permitHomes.membership
	const turns = Math.min(reachable.length, MAX_TURNS)
	const order = topByRendezvous(TURN_KEY, reachable, reachable.length)
	const own = Math.max(0, order.indexOf(settings.control)) % turns
	const current = Math.floor(sinceMs / TURN_MS) % turns
	if (own === current) return 0
	const turnsLeft = (own - current + turns) % turns
	return turnsLeft * TURN_MS - (sinceMs % TURN_MS)
}

/**
 * Whether a request with a part is in flight from this entry, or was when a server closed
 * its connection and it is not known yet whether it has crashed.
 */
function isBeingTried(
	{ sentRequests, crashDetector }: GatewayContext,
	part: string,
	now: number,
): boolean {
	if (isPartInFlight(sentRequests, part, now)) return true
	for (const { inFlight } of crashDetector.checks.values())
		for (const { sharedParts } of inFlight.values())
			if (sharedParts.includes(part)) return true
	return false
}
