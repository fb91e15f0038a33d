/**
 * Quarantines poison requests, which crash the backend servers that run them. Agents
 * report which requests were in flight at a crash; entries exchange this evidence.
 */

import type { CrashEvidence, Quarantine } from '@juniperhook/core'
import {
	createQuarantine,
	listCrashEvidence,
	listQuarantined,
	mergeCrashEvidence,
	quarantineLeftMs,
	topByRendezvous,
} from '@juniperhook/core'
import { bodyLengthOf, computeFingerprint } from '@juniperhook/gateway'
import type { CrashUpdatesNotice, Methods } from '@juniperhook/runtime'
import {
	CrashUpdatesSchema,
	call,
	createLog,
	openMemberLink,
	readElapsed,
	ServerCrashSchema,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import type { CallerRequest } from './callerRequest.ts'
import type { EntryContext } from './entryContext.ts'
import { notifyEntry } from './entryNotifications.ts'

/**
 * Time between the entries' turns to retry a quarantined request, ms: longer than it takes
 * a server to crash and the evidence to reach all entries.
 */
const RETRY_TURN_MS = 10_000
/** Maximum number of turns, which together last as long as the first quarantine. */
const MAX_TURNS = 60
/** Maximum number of entries from which evidence is pulled at the start. */
const MAX_PULLED_PEERS = 3
const log = createLog('entry:quarantine')

/** Evidence against requests under which backend servers crashed. */
export interface QuarantineGate {
	readonly quarantine: Quarantine
	/** Body lengths of suspected requests; others need not be fingerprinted. */
	bodyLengths: ReadonlySet<number>
	/** Whether evidence has been pulled since this process started. */
	hasPulled: boolean
}

/** Creates a gate without evidence. */
export function createQuarantineGate(): QuarantineGate {
	return {
		quarantine: createQuarantine(),
		bodyLengths: new Set(),
		hasPulled: false,
	}
}

/** Returns how long a request stays quarantined, ms; 0 if it is not. */
export function quarantinedForMs(
	ctx: EntryContext,
	request: CallerRequest,
): number {
	const { quarantine, bodyLengths } = ctx.quarantineGate
	if (!bodyLengths.has(request.body.length)) return 0
	const fingerprint = fingerprintOf(request)
	const order = topByRendezvous(fingerprint, ctx.liveEntries.names, MAX_TURNS)
	const turn = order.indexOf(ctx.name)
	const turnMs = (turn < 0 ? order.length : turn) * RETRY_TURN_MS
	return quarantineLeftMs(quarantine, fingerprint, readElapsed(), turnMs)
}

/** Records that a request was answered completely, which clears it of suspicion. */
export function recordAnswered(
	ctx: EntryContext,
	request: CallerRequest,
): void {
	const { quarantine, bodyLengths } = ctx.quarantineGate
	if (!bodyLengths.has(request.body.length)) return
	const fingerprint = fingerprintOf(request)
	if (!quarantine.suspects.has(fingerprint)) return
	const served = [{ subject: fingerprint, at: readElapsed() }]
	mergeEvidence(ctx, { ends: [], served }, 'here')
}

/** Creates the methods that agents and other entries may call. */
export function createQuarantineMethods(
	getContext: () => EntryContext,
): Methods {
	return {
		serverEnd(params: unknown): void {
			const crash = v.parse(ServerCrashSchema, params)
			mergeEvidence(
				getContext(),
				fromNotice({ ends: [crash], served: [] }),
				'agent',
			)
		},
		endNews(params: unknown): void {
			mergeEvidence(
				getContext(),
				fromNotice(v.parse(CrashUpdatesSchema, params)),
				'entry',
			)
		},
		listEnds: (): CrashUpdatesNotice =>
			toNotice(listCrashEvidence(getContext().quarantineGate.quarantine)),
	}
}

/** Pulls evidence from other entries, once, when the first of them is known. */
export function pullEvidence(ctx: EntryContext): void {
	const others = ctx.liveEntries.names.filter(name => name !== ctx.name)
	if (ctx.quarantineGate.hasPulled || others.length === 0) return
	ctx.quarantineGate.hasPulled = true
	for (const name of topByRendezvous(ctx.name, others, MAX_PULLED_PEERS))
		void pullEvidenceFrom(ctx, name)
}

async function pullEvidenceFrom(
	ctx: EntryContext,
	name: string,
): Promise<void> {
	try {
		const link = await openMemberLink(ctx.follower(), name)
		if (!link) return
		const reply = v.parse(CrashUpdatesSchema, await call(link, 'listEnds', {}))
		mergeEvidence(ctx, fromNotice(reply), 'entry')
	} catch {
		// Evidence is pulled from other entries as well.
	}
}

/** Merges evidence; new evidence is sent to all other entries unless it is from one. */
function mergeEvidence(
	ctx: EntryContext,
	evidence: CrashEvidence,
	from: 'here' | 'agent' | 'entry',
): void {
	const { quarantineGate } = ctx
	const { quarantine } = quarantineGate
	const before = new Set(listQuarantined(quarantine))
	const added = mergeCrashEvidence(quarantine, evidence, readElapsed())
	if (added.ends.length + added.served.length === 0) return
	quarantineGate.bodyLengths = new Set(
		[...quarantine.suspects.keys()].map(bodyLengthOf),
	)
	for (const fingerprint of listQuarantined(quarantine))
		if (!before.has(fingerprint))
			log({ msg: 'request quarantined', detail: fingerprint, kind: from })
	if (from !== 'entry') notifyAll(ctx, toNotice(added))
}

function notifyAll(ctx: EntryContext, notice: CrashUpdatesNotice): void {
	for (const name of ctx.liveEntries.names)
		if (name !== ctx.name) void notifyEntry(ctx, name, 'endNews', notice)
}

function fingerprintOf({
	method,
	path,
	teamName,
	body,
}: CallerRequest): string {
	return computeFingerprint({ method, path, team: { name: teamName }, body })
}

function toNotice({ ends, served }: CrashEvidence): CrashUpdatesNotice {
	const now = readElapsed()
	const agoMs = (at: number) => Math.max(0, Math.round(now - at))
	return {
		ends: ends.map(({ server, at, ran }) => ({
			server,
			agoMs: agoMs(at),
			ran: Object.fromEntries(ran),
		})),
		served: served.map(({ subject, at }) => ({
			fingerprint: subject,
			agoMs: agoMs(at),
		})),
	}
}

function fromNotice({ ends, served }: CrashUpdatesNotice): CrashEvidence {
	const now = readElapsed()
	return {
		ends: ends.map(({ server, agoMs, ran }) => ({
			server,
			at: now - agoMs,
			ran: new Map(Object.entries(ran)),
		})),
		served: served.map(({ fingerprint, agoMs }) => ({
			subject: fingerprint,
			at: now - agoMs,
		})),
	}
}
