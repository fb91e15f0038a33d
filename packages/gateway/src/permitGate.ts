/**
 * The side of an entry that asks for permits: a server with a limit is sent nothing
 * without one. A request does not wait for a permit while another server has room; the
 * next one finds it here.
 */

import type { HeldPermits, Permits, PermitWish } from '@juniperhook/core'
import {
	createHeldPermits,
	hasPermit,
	isAskDue,
	listDueMs,
	perSecondOf,
	takeGiven,
	usePermit,
} from '@juniperhook/core'
import { messageOf, readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import type { PermitAsk, PermitReply } from './peerMessages.ts'
import { givePermits, homeOf } from './permitHome.ts'
import { tellRate } from './rateLimits.ts'

/** Permits that one question asks for at most. */
const MAX_ASKED = 16
/** Before a home is asked again that did not give an answer, ms. */
const ASK_AGAIN_MS = 100

/** Asks a home; undefined while there is no link to it. */
export type AskHome = (
	home: string,
	ask: PermitAsk,
) => Promise<PermitReply> | undefined

/** What this entry has of the permits of all servers with a limit. */
export interface PermitGate {
	/** By server id. */
	readonly held: Map<string, HeldPermits>
	/** What other entries are asked by; set once there are any. */
	askHome: AskHome
}

/** Makes a gate that has nothing. */
export function createPermitGate(): PermitGate {
	return { held: new Map(), askHome: () => undefined }
}

/** Rows of servers with a limit. */
export interface LimitedRows {
	/** For which there is a permit. */
	readonly permitted: ReadonlySet<number>
	/** For which there is none now. */
	readonly spent: ReadonlySet<number>
}

const NO_ROWS: ReadonlySet<number> = new Set()

/** Which of a service's servers have a limit, and whether they may be sent to. */
export function listLimited(ctx: GatewayContext, service: string): LimitedRows {
	if (ctx.rateLimits.size === 0) return { permitted: NO_ROWS, spent: NO_ROWS }
	const { fleet, rateLimits, permits } = ctx
	const permitted = new Set<number>()
	const spent = new Set<number>()
	const now = readElapsed()
	for (const row of fleet.rowsOf.get(service) ?? []) {
		const { id } = fleet.servers[row]!
		if (perSecondOf(rateLimits, id) === undefined) continue
		const held = permits.held.get(id)
		if (held && hasPermit(held, now)) permitted.add(row)
		else spent.add(row)
	}
	return { permitted, spent }
}

/** Uses a permit for a request that is about to be sent, where it needs one. */
export function spendPermit({ permits }: GatewayContext, server: string): void {
	const held = permits.held.get(server)
	if (held) usePermit(held, readElapsed())
}

/**
 * Asks for permits of a service's servers that have none left. `onAnswer` follows
 * answers that come later.
 */
export function askForPermits(
	ctx: GatewayContext,
	service: string,
	wish: PermitWish,
	onAnswer: () => void,
): void {
	if (ctx.rateLimits.size === 0) return
	const count = Math.min(MAX_ASKED, wish.count)
	const { withinMs } = wish
	for (const row of listLimited(ctx, service).spent) {
		const { id } = ctx.fleet.servers[row]!
		const held = heldOf(ctx, id)
		if (isAskDue(held, withinMs, readElapsed()))
			askFor(ctx, id, held, { count, withinMs }, onAnswer)
	}
}

function heldOf({ permits }: GatewayContext, server: string): HeldPermits {
	const known = permits.held.get(server)
	if (known) return known
	const held = createHeldPermits()
	permits.held.set(server, held)
	return held
}

function askFor(
	ctx: GatewayContext,
	server: string,
	held: HeldPermits,
	wish: PermitWish,
	onAnswer: () => void,
): void {
	const perSecond = perSecondOf(ctx.rateLimits, server)
	if (perSecond === undefined) return
	const home = homeOf(ctx, server)
	if (home === ctx.settings.control) {
		keepPermits(ctx, held, perSecond, givePermits(ctx, server, perSecond, wish))
		return
	}
	const word = tellRate(ctx, server)
	const reply = word && ctx.permits.askHome(home, { word, ...wish })
	if (!reply) {
		noteNone(ctx, held, 'unlinked')
		return
	}
	held.isAsking = true
	void reply
		.then(
			got => takeReply(ctx, held, perSecond, got),
			err => {
				ctx.log.write('permit not given', {
					server,
					home,
					reason: messageOf(err),
				})
				noteNone(ctx, held, 'failed')
			},
		)
		.finally(() => {
			held.isAsking = false
			onAnswer()
		})
}

function takeReply(
	ctx: GatewayContext,
	held: HeldPermits,
	perSecond: number,
	reply: PermitReply,
): void {
	switch (reply.type) {
		case 'permits':
			keepPermits(ctx, held, perSecond, reply)
			return
		case 'notHome':
			noteNone(ctx, held, 'notHome')
			return
		default:
			reply satisfies never
	}
}

function keepPermits(
	ctx: GatewayContext,
	held: HeldPermits,
	perSecond: number,
	permits: Permits,
): void {
	takeGiven(held, perSecond, permits, readElapsed())
	const outcome = permits.dueMs.length > 0 ? 'given' : 'wait'
	ctx.metrics.permits.inc({ outcome })
}

function noteNone(
	ctx: GatewayContext,
	held: HeldPermits,
	outcome: 'unlinked' | 'failed' | 'notHome',
): void {
	held.notBefore = readElapsed() + ASK_AGAIN_MS
	ctx.metrics.permits.inc({ outcome })
}

/** When a service's next permits may be used, if all of its servers have limits. */
export interface PermitOutlook {
	/** From now, the soonest first, ms; those that are held. */
	readonly dueMs: readonly number[]
	/** From now until more may be given, ms. */
	readonly moreMs: number
}

/** What a service's callers may expect; undefined unless all its servers have limits. */
export function outlookOf(
	ctx: GatewayContext,
	service: string,
): PermitOutlook | undefined {
	if (ctx.rateLimits.size === 0) return undefined
	const { fleet, rateLimits } = ctx
	const rows = fleet.rowsOf.get(service) ?? []
	const ids = rows.map(row => fleet.servers[row]!.id)
	const isLimited = (id: string) => perSecondOf(rateLimits, id) !== undefined
	if (ids.length === 0 || !ids.every(isLimited)) return undefined
	const now = readElapsed()
	const all = ids.map(id => heldOf(ctx, id))
	const dueMs = all.flatMap(held => listDueMs(held, now)).sort((a, b) => a - b)
	const more = all.map(({ isAsking, notBefore }) =>
		isAsking ? 0 : Math.max(0, notBefore - now),
	)
	return { dueMs, moreMs: Math.min(...more) }
}

/** How long the request after `before` others will wait for a permit, ms. */
export function permitWaitMs(
	{ dueMs, moreMs }: PermitOutlook,
	before: number,
): number {
	return dueMs[before] ?? moreMs
}

/** Drops what is held of a server whose limit has changed. */
export function dropPermits({ permits }: GatewayContext, server: string): void {
	permits.held.delete(server)
}

/** Forgets permits, given and held, of servers that have no limit any more. */
export function forgetPermits(ctx: GatewayContext): void {
	const { permits, permitHomes, rateLimits } = ctx
	for (const known of [permits.held, permitHomes.pools, permitHomes.homes])
		for (const server of known.keys())
			if (perSecondOf(rateLimits, server) === undefined) known.delete(server)
}
