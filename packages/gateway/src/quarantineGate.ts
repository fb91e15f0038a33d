/**
 * Quarantines poison requests and prompt parts, which crash the servers that run them:
 * collects evidence from this entry and its peers, and refuses quarantined requests.
 */

import type { UpdateOf } from '@juniperhook/core'
import {
	listQuarantined,
	mergeServerUpdates,
	quarantineLeftMs,
	subjectKeyOf,
	subjectKindOf,
	subjectOf,
	topByRendezvous,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { handleRankCrash } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { bodyLengthOf, fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'
import { enqueueUpdates } from './outbox.ts'
import type { KnownSuspicion } from './quarantineState.ts'
import type { InFlightSummary } from './sentRequests.ts'
import {
	isServedSince,
	listServedRecords,
	recordServedParts,
} from './servedParts.ts'

/**
 * Time between the entries' turns to retry a quarantined request, ms: longer than the
 * server takes to crash and the evidence to reach all entries.
 */
const RETRY_TURN_MS = 10_000
/**
 * Age beyond which a crash that a peer reports no longer closes the group, ms: the group
 * may be running again.
 */
const MAX_CRASH_AGE_MS = 500

/**
 * Time from the news of a crash until other entries have told what else was in flight
 * there and which parts they have got answers with, ms: two intervals of the exchange of
 * updates and their latency.
 */
const EVIDENCE_MS = 150

/** Returns for how long further evidence about a suspected part may still arrive, ms. */
export function evidenceLeftMs(
	{ quarantineGate }: GatewayContext,
	part: string,
	now: number,
): number {
	const known = quarantineGate.suspectedParts.get(part)
	return known ? Math.max(0, known.learnedAt + EVIDENCE_MS - now) : 0
}

/** Whether a request must not be sent to any server, whatever the parts of its prompt. */
export function isQuarantined(
	ctx: GatewayContext,
	request: CallerRequest,
): boolean {
	const { quarantineGate } = ctx
	if (
		quarantineGate.quarantined.size === 0 ||
		!quarantineGate.bodyLengths.has(request.body.length)
	)
		return false
	return quarantinedForMs(ctx, request) > 0
}

/** Returns how long a request stays quarantined, ms; 0 if it is not. */
export function quarantinedForMs(
	ctx: GatewayContext,
	request: CallerRequest,
): number {
	const { quarantine } = ctx.quarantineGate
	const fingerprint = fingerprintOf(request)
	const turnMs = retryTurnOf(ctx, fingerprint) * RETRY_TURN_MS
	return quarantineLeftMs(quarantine, fingerprint, readElapsed(), turnMs)
}

/** Returns how many other entries retry a request before this one. */
function retryTurnOf({ permitHomes, settings }: GatewayContext, key: string) {
	const { reachable } = permitHomes.membership
	const order = topByRendezvous(key, reachable, reachable.length)
	return Math.max(0, order.indexOf(settings.control))
}

/** Whether a server crashed under a request that no server has answered since. */
export function isSuspected(
	{ quarantineGate }: GatewayContext,
	request: CallerRequest,
): boolean {
	if (!quarantineGate.bodyLengths.has(request.body.length)) return false
	return quarantineGate.quarantine.suspects.has(fingerprintOf(request))
}

/** Whether a request or a part of its prompt is suspected. */
export function isAnySuspected(
	ctx: GatewayContext,
	request: CallerRequest,
): boolean {
	const { suspectedParts } = ctx.quarantineGate
	return (
		request.sharedParts.some(id => suspectedParts.has(id)) ||
		isSuspected(ctx, request)
	)
}

/** Records that a server answered a request completely. */
export function recordServed(
	ctx: GatewayContext,
	request: CallerRequest,
): void {
	if (!isSuspected(ctx, request)) return
	const subject = fingerprintOf(request)
	const update = { kind: 'served', subject, at: readElapsed() } as const
	receiveCrashUpdates(ctx, [update], 'here')
}

/** Records that a server answered a request, so that no part of its prompt is poison. */
export function recordPartsServed(
	ctx: GatewayContext,
	{ sharedParts }: CallerRequest,
): void {
	const { servedParts, suspectedParts } = ctx.quarantineGate
	const at = readElapsed()
	recordServedParts(servedParts, sharedParts, at)
	const cleared = sharedParts.filter(id => suspectedParts.has(id))
	if (cleared.length === 0) return
	const updates = cleared.map(id => {
		const subject = subjectKeyOf({ kind: 'part', id })
		return { kind: 'served', subject, at } as const
	})
	receiveCrashUpdates(ctx, updates, 'here')
}

/** Records a server's crash with the requests that it was running for this entry. */
export function recordServerCrash(
	ctx: GatewayContext,
	server: string,
	at: number,
	running: readonly InFlightSummary[],
): void {
	const ran = new Map<string, number>()
	for (const one of running) {
		const ranMs = Math.max(0, at - one.since)
		for (const key of listSubjectKeys(one))
			ran.set(key, Math.min(ranMs, ran.get(key) ?? ranMs))
	}
	receiveCrashUpdates(ctx, [{ kind: 'end', server, at, ran }], 'here')
}

/** Lists the keys of a request and of the parts of its prompt. */
function listSubjectKeys({
	fingerprint,
	sharedParts,
}: InFlightSummary): string[] {
	return [
		subjectKeyOf({ kind: 'request', fingerprint }),
		...sharedParts.map(id => subjectKeyOf({ kind: 'part', id })),
	]
}

function closeGroupOf(ctx: GatewayContext, id: string): void {
	const row = ctx.fleet.table.rowOf.get(id)
	if (row !== undefined) handleRankCrash(ctx, ctx.fleet.servers[row]!)
}

/** Merges updates of crashes and of requests that were answered. */
export function receiveCrashUpdates(
	ctx: GatewayContext,
	updates: readonly UpdateOf<'end' | 'served'>[],
	from: string,
): void {
	const now = readElapsed()
	const changes = mergeServerUpdates(ctx.sharedState, updates, now)
	if (changes.length === 0) return
	const ends = changes.filter(one => one.kind === 'end')
	const cleared = mergeServerUpdates(
		ctx.sharedState,
		listServedUpdates(ctx, ends),
		now,
	)
	enqueueUpdates(ctx.outbox, [...changes, ...cleared])
	updateQuarantine(ctx, from)
	if (from === 'here') return
	for (const one of ends)
		if (now - one.at < MAX_CRASH_AGE_MS) closeGroupOf(ctx, one.server)
}

/** Adds the parts that a peer has got answers with, and what they say about crashes. */
export function receiveServedParts(
	ctx: GatewayContext,
	agesMs: Readonly<Record<string, number>>,
): void {
	const { servedParts, quarantine } = ctx.quarantineGate
	const now = readElapsed()
	const oldestFirst = Object.entries(agesMs).sort(([, a], [, b]) => b - a)
	for (const [id, agoMs] of oldestFirst)
		if (!isServedSince(servedParts, id, now - agoMs))
			recordServedParts(servedParts, [id], now - agoMs)
	const records = listServedRecords(servedParts, [
		...quarantine.crashes.values(),
	])
	const updates = records.map(one => ({ kind: 'served', ...one }) as const)
	receiveCrashUpdates(ctx, updates, 'peer')
}

/** Lists what this entry knows of answers with the parts in flight at crashes. */
function listServedUpdates(
	{ quarantineGate }: GatewayContext,
	ends: readonly UpdateOf<'end'>[],
): UpdateOf<'served'>[] {
	return listServedRecords(quarantineGate.servedParts, ends).map(one => ({
		kind: 'served',
		...one,
	}))
}

/** Derives the quarantined and suspected subjects again, and logs what has changed. */
function updateQuarantine(ctx: GatewayContext, from: string): void {
	const { quarantineGate } = ctx
	const before = quarantineGate.quarantined
	const partsBefore = quarantineGate.suspectedParts
	const fingerprints: string[] = []
	const parts = new Map<string, KnownSuspicion>()
	const now = readElapsed()
	for (const [key, { servers }] of quarantineGate.quarantine.suspects) {
		const subject = subjectOf(key)
		if (subject.kind === 'request') {
			fingerprints.push(subject.fingerprint)
			continue
		}
		const known = partsBefore.get(subject.id)
		const crashes = servers.length
		const isMore = crashes > (known?.crashes ?? 0)
		const learnedAt = isMore ? now : known!.learnedAt
		parts.set(subject.id, { crashes, learnedAt })
	}
	quarantineGate.bodyLengths = new Set(fingerprints.map(bodyLengthOf))
	quarantineGate.suspectedParts = parts
	const quarantined = new Set(listQuarantined(quarantineGate.quarantine))
	quarantineGate.quarantined = quarantined
	const isPart = (key: string) => subjectKindOf(key) === 'part'
	const quarantinedParts = [...quarantined].filter(isPart).length
	ctx.metrics.quarantined.set(quarantined.size - quarantinedParts)
	ctx.metrics.quarantinedParts.set(quarantinedParts)
	ctx.metrics.suspectedParts.set(parts.size - quarantinedParts)
	logSuspectedParts(ctx, partsBefore, from)
	for (const key of quarantined)
		if (!before.has(key)) cancelQuarantined(ctx, key, from)
	for (const key of before)
		if (!quarantined.has(key)) logReleased(ctx, key, from)
}

function logSuspectedParts(
	{ quarantineGate, log }: GatewayContext,
	before: ReadonlyMap<string, KnownSuspicion>,
	from: string,
): void {
	const { suspectedParts } = quarantineGate
	const added = [...suspectedParts.keys()].filter(id => !before.has(id))
	const cleared = [...before.keys()].filter(id => !suspectedParts.has(id))
	if (added.length > 0) log.write('parts suspected', { parts: added, from })
	if (cleared.length > 0) log.write('parts cleared', { parts: cleared, from })
}

function logReleased({ log }: GatewayContext, key: string, from: string): void {
	const subject = subjectOf(key)
	switch (subject.kind) {
		case 'request':
			log.write('request released', { fingerprint: subject.fingerprint, from })
			break
		case 'part':
			log.write('part released', { part: subject.id, from })
			break
		default:
			subject satisfies never
	}
}

/**
 * Logs a newly quarantined subject and cancels the requests in flight that it applies to,
 * which may still prevent the crash of their servers.
 */
function cancelQuarantined(
	ctx: GatewayContext,
	key: string,
	from: string,
): void {
	const subject = subjectOf(key)
	const suspicion = ctx.quarantineGate.quarantine.suspects.get(key)
	const evidence = {
		servers: suspicion?.servers ?? [],
		points: suspicion?.points,
		from,
	}
	switch (subject.kind) {
		case 'request': {
			const { fingerprint } = subject
			ctx.log.write('request quarantined', { fingerprint, ...evidence })
			const length = bodyLengthOf(fingerprint)
			cancelRequests(
				ctx,
				request =>
					request.body.length === length &&
					fingerprintOf(request) === fingerprint,
			)
			break
		}
		case 'part':
			ctx.log.write('part quarantined', { part: subject.id, ...evidence })
			setTimeout(
				() => cancelWithPart(ctx, key, subject.id),
				EVIDENCE_MS,
			).unref()
			break
		default:
			subject satisfies never
	}
}

/** Cancels the requests with a part, unless evidence has cleared it meanwhile. */
function cancelWithPart(ctx: GatewayContext, key: string, part: string): void {
	if (ctx.quarantineGate.quarantined.has(key))
		cancelRequests(ctx, request => request.sharedParts.includes(part))
}

function cancelRequests(
	{ cancelByRequest }: GatewayContext,
	isConcerned: (request: CallerRequest) => boolean,
): void {
	for (const [request, cancel] of [...cancelByRequest])
		if (isConcerned(request)) cancel('quarantined')
}
