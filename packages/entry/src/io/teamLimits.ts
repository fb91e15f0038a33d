/**
 * Keeps teams' limits together with the other entries: a request of a team whose limit is
 * too small to be dealt out is admitted by the team's home.
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
import type { EntryContext } from './entryContext.ts'
import type { Intake } from './callerRequest.ts'
import { tellEntry } from './entryNotifications.ts'
import type { TeamReply } from './teamMessages.ts'
import {
	TeamAskSchema,
	TeamHeldSchema,
	TeamReplySchema,
} from './teamMessages.ts'

/** A home that has not answered by then is taken for silent, ms. */
const ASK_MS = 300
/** A silent home is not asked again for this long, ms. */
const SILENT_MS = 1_000
/** Homes are told again what is under way, in case a message was lost, ms. */
export const TELL_HELD_MS = 10_000
/** Nobody decides for all: each keeps its part. */
const NOT_HOME: TeamReply = { type: 'notHome' }
const log = createLog('entry:teams')

/** The entries that keep limits together, as this one sees them. */
export interface TeamKeepers {
	/** Names of the live entries, this one's too. */
	names: readonly string[]
	part: LimitShare
	/** Homes that did not answer, and until when they are not asked, ms. */
	readonly silentUntil: Map<string, number>
}

/** Makes the keepers while an entry knows of itself only. */
export function createTeamKeepers(): TeamKeepers {
	return { names: [], part: FULL_SHARE, silentUntil: new Map() }
}

/** Takes the live entries by the platform's list. */
export function applyKeepers(
	ctx: EntryContext,
	entries: readonly string[],
): void {
	const names = [...entries].sort()
	const { keepers, limits } = ctx
	const place = names.indexOf(ctx.name)
	keepers.names = names
	// An entry that is to leave has no part in what the others keep.
	const count = place < 0 ? names.length + 1 : names.length
	keepers.part = { count, index: place < 0 ? names.length : place }
	const isHome = (team: string) => findTeamHome(team, names) === ctx.name
	pruneInFlightElsewhere(limits, new Set(names), isHome)
}

/** Admits a request, or refuses it with the time at which its team may send it. */
export async function admitRequest(
	ctx: EntryContext,
	intake: Intake,
): Promise<NotRun | undefined> {
	const { teamName, team, tokens } = intake
	const { limits, keepers } = ctx
	const { part } = keepers
	const home = homeOf(ctx, intake)
	if (home === ctx.name)
		return admitAtTeamHome(limits, teamName, team, tokens, readNow())
	const reply = home === undefined ? NOT_HOME : await askHome(ctx, home, intake)
	switch (reply.type) {
		case 'admitted':
			return undefined
		case 'refused':
			return notRun(reply.kind, reply.retryAfterMs)
		case 'notHome':
			return admitWithinShare(limits, teamName, team, tokens, part, readNow())
		default:
			return reply satisfies never
	}
}

/** Notes that an admitted request has ended. */
export function endRequest(ctx: EntryContext, intake: Intake): void {
	releaseTeam(ctx.limits, intake.teamName)
	const home = homeOf(ctx, intake)
	if (home !== undefined && home !== ctx.name)
		void tellHeld(ctx, home, intake.teamName)
}

/** Tells homes what is under way here, whatever was told before. */
export function tellAllHeld(ctx: EntryContext): void {
	const { limits, config, keepers } = ctx
	for (const team of limits.keys()) {
		const limit = config?.team[team]
		const home = findTeamHome(team, keepers.names)
		if (!limit || !isEnforcedAtTeamHome(limit, keepers.part.count)) continue
		if (home !== undefined && home !== ctx.name) void tellHeld(ctx, home, team)
	}
}

/** What other entries may call. */
export function createTeamMethods(find: () => EntryContext): Methods {
	return {
		admitTeam: (params: unknown): TeamReply => answerAsk(find(), params),
		teamHeld(params: unknown): void {
			const { team, entry, held } = v.parse(TeamHeldSchema, params)
			recordTeamInFlight(find().limits, team, entry, held)
		},
	}
}

/** Who keeps the limit of a request's team; undefined where each keeps its part. */
function homeOf(
	{ keepers }: EntryContext,
	{ teamName, team }: Intake,
): string | undefined {
	if (!isEnforcedAtTeamHome(team, keepers.part.count)) return undefined
	return findTeamHome(teamName, keepers.names)
}

async function askHome(
	ctx: EntryContext,
	home: string,
	{ teamName, team, tokens }: Intake,
): Promise<TeamReply> {
	const silentUntil = ctx.keepers.silentUntil.get(home) ?? 0
	if (readElapsed() < silentUntil) return NOT_HOME
	const held = beginTeamHomeAdmission(ctx.limits, teamName, team, readNow())
	const ask = { entry: ctx.name, team: teamName, held, tokens }
	try {
		const link = await openMemberLink(ctx.follower(), home, ASK_MS)
		if (!link) throw new Error('not listed')
		const answer = await call(link, 'admitTeam', ask, ASK_MS)
		const reply = v.parse(TeamReplySchema, answer)
		const isAdmitted = reply.type === 'admitted'
		if (endTeamHomeAdmission(ctx.limits, teamName, isAdmitted))
			void tellHeld(ctx, home, teamName)
		return reply
	} catch (err) {
		endTeamHomeAdmission(ctx.limits, teamName, false)
		ctx.keepers.silentUntil.set(home, readElapsed() + SILENT_MS)
		const detail = messageOf(err)
		log({
			msg: 'home of a team is silent',
			team: teamName,
			server: home,
			detail,
		})
		// It may have admitted what it was asked.
		void tellHeld(ctx, home, teamName)
		return NOT_HOME
	}
}

function answerAsk(ctx: EntryContext, params: unknown): TeamReply {
	const { team, ...ask } = v.parse(TeamAskSchema, params)
	const limit = ctx.config?.team[team]
	const isHome = findTeamHome(team, ctx.keepers.names) === ctx.name
	if (!limit || !isHome) return NOT_HOME
	const refusal = admitForEntry(ctx.limits, team, limit, ask, readNow())
	if (!refusal) return { type: 'admitted' }
	const { kind, retryAfterMs } = refusal
	return { type: 'refused', kind, retryAfterMs }
}

async function tellHeld(
	ctx: EntryContext,
	home: string,
	team: string,
): Promise<void> {
	const held = reportTeamInFlight(ctx.limits, team)
	await tellEntry(ctx, home, 'teamHeld', { entry: ctx.name, team, held })
}
