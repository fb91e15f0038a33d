/**
 * Enforces team limits together with the other entries: requests of a team whose limit is
 * too small to be divided are admitted by the team home, others by each entry within its
 * share.
 */

import type { LimitShare, NotRun } from '@juniperhook/core'
import {
	admitAtTeamHome,
	admitForEntry,
	admitWithinShare,
	beginTeamHomeAdmission,
	endTeamHomeAdmission,
	FULL_SHARE,
	findTeamHome,
	isEnforcedAtTeamHome,
	notRun,
	pruneInFlightElsewhere,
	recordTeamInFlight,
	releaseTeam,
	reportTeamInFlight,
} from '@juniperhook/core'
import type { Methods } from '@juniperhook/runtime'
import {
	call,
	createLog,
	messageOf,
	openMemberLink,
	readElapsed,
	readNow,
} from '@juniperhook/runtime'
import * as v from 'valibot'
import type { CallerRequest } from './callerRequest.ts'
import type { EntryContext } from './entryContext.ts'
import { notifyEntry } from './entryNotifications.ts'
import type { TeamReply } from './teamMessages.ts'
import {
	TeamAdmissionSchema,
	TeamInFlightSchema,
	TeamReplySchema,
} from './teamMessages.ts'

/** Time within which a team home must answer an admission request, ms. */
const TEAM_HOME_TIMEOUT_MS = 300
/** Time for which an unresponsive team home is sent no admission requests, ms. */
const UNRESPONSIVE_RETRY_MS = 1_000
/** Interval of reports to the team homes, which repair the loss of single reports, ms. */
export const TEAM_REPORT_INTERVAL_MS = 10_000
/** Reply that stands for a missing team home: each entry enforces its share. */
const NOT_HOME: TeamReply = { type: 'notHome' }
const log = createLog('entry:teams')

/** Live entries, which enforce team limits together, and this entry's share. */
export interface LiveEntries {
	/** Names of the live entries, including this one. */
	names: readonly string[]
	share: LimitShare
	/** Until when unresponsive team homes are sent no admission requests, ms, by entry. */
	readonly unresponsiveUntil: Map<string, number>
}

/** Creates the state of an entry that does not know any others yet. */
export function createLiveEntries(): LiveEntries {
	return { names: [], share: FULL_SHARE, unresponsiveUntil: new Map() }
}

/** Applies the live entries of the platform's VM list. */
export function applyLiveEntries(
	ctx: EntryContext,
	entries: readonly string[],
): void {
	const names = [...entries].sort()
	const { liveEntries, limits } = ctx
	const index = names.indexOf(ctx.name)
	liveEntries.names = names
	// The other entries do not count one that is not listed as live, such as one that is
	// leaving. It counts itself in addition to them, with the last share.
	const count = index < 0 ? names.length + 1 : names.length
	liveEntries.share = { count, index: index < 0 ? names.length : index }
	const isTeamHome = (team: string) => findTeamHome(team, names) === ctx.name
	pruneInFlightElsewhere(limits, new Set(names), isTeamHome)
}

/** Admits a request, or refuses it with the time after which its team may send it. */
export async function admitRequest(
	ctx: EntryContext,
	request: CallerRequest,
): Promise<NotRun | undefined> {
	const { teamName, team, tokens } = request
	const { limits, liveEntries } = ctx
	const { share } = liveEntries
	const teamHome = teamHomeOf(ctx, request)
	if (teamHome === ctx.name)
		return admitAtTeamHome(limits, teamName, team, tokens, readNow())
	const reply =
		teamHome === undefined
			? NOT_HOME
			: await requestAdmission(ctx, teamHome, request)
	switch (reply.type) {
		case 'admitted':
			return undefined
		case 'refused':
			return notRun(reply.kind, reply.retryAfterMs)
		case 'notHome':
			return admitWithinShare(limits, teamName, team, tokens, share, readNow())
		default:
			return reply satisfies never
	}
}

/** Records the end of an admitted request. */
export function endRequest(ctx: EntryContext, request: CallerRequest): void {
	releaseTeam(ctx.limits, request.teamName)
	const teamHome = teamHomeOf(ctx, request)
	if (teamHome !== undefined && teamHome !== ctx.name)
		void reportToTeamHome(ctx, teamHome, request.teamName)
}

/** Reports the requests in flight here to all team homes, also if unchanged. */
export function reportToAllTeamHomes(ctx: EntryContext): void {
	const { limits, config, liveEntries } = ctx
	for (const team of limits.keys()) {
		const limit = config?.team[team]
		const teamHome = findTeamHome(team, liveEntries.names)
		if (!limit || !isEnforcedAtTeamHome(limit, liveEntries.share.count))
			continue
		if (teamHome !== undefined && teamHome !== ctx.name)
			void reportToTeamHome(ctx, teamHome, team)
	}
}

/** Creates the methods that other entries may call. */
export function createTeamMethods(getContext: () => EntryContext): Methods {
	return {
		admitTeam: (params: unknown): TeamReply =>
			answerAdmissionRequest(getContext(), params),
		teamHeld(params: unknown): void {
			const { team, entry, held } = v.parse(TeamInFlightSchema, params)
			recordTeamInFlight(getContext().limits, team, entry, held)
		},
	}
}

/** Returns the team home of a request; undefined if each entry enforces its share. */
function teamHomeOf(
	{ liveEntries }: EntryContext,
	{ teamName, team }: CallerRequest,
): string | undefined {
	if (!isEnforcedAtTeamHome(team, liveEntries.share.count)) return undefined
	return findTeamHome(teamName, liveEntries.names)
}

async function requestAdmission(
	ctx: EntryContext,
	teamHome: string,
	{ teamName, team, tokens }: CallerRequest,
): Promise<TeamReply> {
	const unresponsiveUntil = ctx.liveEntries.unresponsiveUntil.get(teamHome) ?? 0
	if (readElapsed() < unresponsiveUntil) return NOT_HOME
	const held = beginTeamHomeAdmission(ctx.limits, teamName, team, readNow())
	const admission = { entry: ctx.name, team: teamName, held, tokens }
	try {
		const link = await openMemberLink(
			ctx.follower(),
			teamHome,
			TEAM_HOME_TIMEOUT_MS,
		)
		if (!link) throw new Error('the team home is not in the VM list')
		const answer = await call(
			link,
			'admitTeam',
			admission,
			TEAM_HOME_TIMEOUT_MS,
		)
		const reply = v.parse(TeamReplySchema, answer)
		const isAdmitted = reply.type === 'admitted'
		if (endTeamHomeAdmission(ctx.limits, teamName, isAdmitted))
			void reportToTeamHome(ctx, teamHome, teamName)
		return reply
	} catch (err) {
		endTeamHomeAdmission(ctx.limits, teamName, false)
		ctx.liveEntries.unresponsiveUntil.set(
			teamHome,
			readElapsed() + UNRESPONSIVE_RETRY_MS,
		)
		const detail = messageOf(err)
		log({
			msg: 'home of a team is silent',
			team: teamName,
			server: teamHome,
			detail,
		})
		// The team home may have admitted the request: correct its count.
		void reportToTeamHome(ctx, teamHome, teamName)
		return NOT_HOME
	}
}

function answerAdmissionRequest(ctx: EntryContext, params: unknown): TeamReply {
	const { team, ...admission } = v.parse(TeamAdmissionSchema, params)
	const limit = ctx.config?.team[team]
	const isTeamHome = findTeamHome(team, ctx.liveEntries.names) === ctx.name
	if (!limit || !isTeamHome) return NOT_HOME
	const refusal = admitForEntry(ctx.limits, team, limit, admission, readNow())
	if (!refusal) return { type: 'admitted' }
	const { kind, retryAfterMs } = refusal
	return { type: 'refused', kind, retryAfterMs }
}

async function reportToTeamHome(
	ctx: EntryContext,
	teamHome: string,
	team: string,
): Promise<void> {
	const held = reportTeamInFlight(ctx.limits, team)
	await notifyEntry(ctx, teamHome, 'teamHeld', { entry: ctx.name, team, held })
}
