/**
 * Collects the evidence of crashes: what this entry had in flight at a crashed server,
 * what it got answers with, and what its peers report of both.
 */

import type { UpdateOf } from '@juniperhook/core'
import { mergeServerUpdates, subjectKeyOf } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { handleRankCrash } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import { fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'
import { enqueueUpdates } from './outbox.ts'
import { updateQuarantine } from './quarantineChanges.ts'
import { isSuspected } from './quarantineGate.ts'
import type { InFlightSummary } from './sentRequests.ts'
import {
	isServedSince,
	listServedRecords,
	recordServedParts,
} from './servedParts.ts'

/**
 * Age beyond which a crash that a peer reports no longer closes the group, ms: the group
 * may be running again.
 */
const MAX_CRASH_AGE_MS = 500

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
