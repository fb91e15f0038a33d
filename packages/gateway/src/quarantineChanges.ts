/**
 * Applies new evidence of crashes: derives which requests and prompt parts are suspected
 * and quarantined, logs what has changed, and cancels requests that became quarantined.
 */

import { listQuarantined, subjectKindOf, subjectOf } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { bodyLengthOf, fingerprintOf } from './fingerprint.ts'
import type { CallerRequest } from './job.ts'
import { EVIDENCE_MS } from './quarantineGate.ts'
import type { KnownSuspicion } from './quarantineState.ts'

/** Derives the quarantined and suspected subjects again, and logs what has changed. */
export function updateQuarantine(ctx: GatewayContext, from: string): void {
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
