/**
 * Keeps requests that end backend servers from all of them: agents tell which requests a
 * server ran when it ended, entries tell each other.
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
	call,
	createLog,
	CrashUpdatesSchema,
	openMemberLink,
	readElapsed,
	ServerCrashSchema,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import type { EntryContext } from './entryContext.ts'
import type { Intake } from './callerRequest.ts'
import { tellEntry } from './entryNotifications.ts'

/**
 * For which each entry has the turn to try a request again, ms: longer than a server takes
 * to end under it, and than the news of that take.
 */
const TURN_MS = 10_000
/** All turns together last as long as a request is first kept from servers. */
const MAX_TURNS = 60
/** Others that an entry asks when it starts. */
const ASKED = 3
const log = createLog('entry:quarantine')

/** What an entry knows of requests under which backend servers ended. */
export interface QuarantineBook {
	readonly quarantine: Quarantine
	/** Lengths of their bodies: no other request needs a fingerprint. */
	lengths: ReadonlySet<number>
	/** Whether others have been asked since this process started. */
	hasAsked: boolean
}

/** Makes a book that knows of no end. */
export function createQuarantineBook(): QuarantineBook {
	return {
		quarantine: createQuarantine(),
		lengths: new Set(),
		hasAsked: false,
	}
}

/** For how long a request is sent to no server, ms; 0 if it is sent. */
export function quarantinedForMs(ctx: EntryContext, intake: Intake): number {
	const { quarantine, lengths } = ctx.quarantined
	if (!lengths.has(intake.body.length)) return 0
	const fingerprint = fingerprintOf(intake)
	const order = topByRendezvous(fingerprint, ctx.keepers.names, MAX_TURNS)
	const turn = order.indexOf(ctx.name)
	const turnMs = (turn < 0 ? order.length : turn) * TURN_MS
	return quarantineLeftMs(quarantine, fingerprint, readElapsed(), turnMs)
}

/** Notes that a request was answered whole: it is not what ended servers. */
export function noteAnswered(ctx: EntryContext, intake: Intake): void {
	const { quarantine, lengths } = ctx.quarantined
	if (!lengths.has(intake.body.length)) return
	const fingerprint = fingerprintOf(intake)
	if (!quarantine.suspects.has(fingerprint)) return
	const served = [{ fingerprint, at: readElapsed() }]
	takeNews(ctx, { ends: [], served }, 'here')
}

/** What agents and other entries may call. */
export function createQuarantineMethods(find: () => EntryContext): Methods {
	return {
		serverEnd(params: unknown): void {
			const end = v.parse(ServerCrashSchema, params)
			takeNews(find(), fromNotice({ ends: [end], served: [] }), 'agent')
		},
		endNews(params: unknown): void {
			takeNews(find(), fromNotice(v.parse(CrashUpdatesSchema, params)), 'entry')
		},
		listEnds: (): CrashUpdatesNotice =>
			toNotice(listCrashEvidence(find().quarantined.quarantine)),
	}
}

/** Asks others what they know, once there are any. */
export function askForEnds(ctx: EntryContext): void {
	const others = ctx.keepers.names.filter(name => name !== ctx.name)
	if (ctx.quarantined.hasAsked || others.length === 0) return
	ctx.quarantined.hasAsked = true
	for (const name of topByRendezvous(ctx.name, others, ASKED))
		void askOne(ctx, name)
}

async function askOne(ctx: EntryContext, name: string): Promise<void> {
	try {
		const link = await openMemberLink(ctx.follower(), name)
		if (!link) return
		const reply = v.parse(CrashUpdatesSchema, await call(link, 'listEnds', {}))
		takeNews(ctx, fromNotice(reply), 'entry')
	} catch {
		// Others are asked as well.
	}
}

/** Who hears it from an agent, or has seen it, tells all others. */
function takeNews(
	ctx: EntryContext,
	news: CrashEvidence,
	from: 'here' | 'agent' | 'entry',
): void {
	const { quarantined } = ctx
	const { quarantine } = quarantined
	const before = new Set(listQuarantined(quarantine))
	const fresh = mergeCrashEvidence(quarantine, news, readElapsed())
	if (fresh.ends.length + fresh.served.length === 0) return
	quarantined.lengths = new Set(
		[...quarantine.suspects.keys()].map(bodyLengthOf),
	)
	for (const fingerprint of listQuarantined(quarantine))
		if (!before.has(fingerprint))
			log({ msg: 'request quarantined', detail: fingerprint, kind: from })
	if (from !== 'entry') tellAll(ctx, toNotice(fresh))
}

function tellAll(ctx: EntryContext, notice: CrashUpdatesNotice): void {
	for (const name of ctx.keepers.names)
		if (name !== ctx.name) void tellEntry(ctx, name, 'endNews', notice)
}

function fingerprintOf({ method, path, teamName, body }: Intake): string {
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
		served: served.map(({ fingerprint, at }) => ({
			fingerprint,
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
			fingerprint,
			at: now - agoMs,
		})),
	}
}
