/**
 * Lock-step groups that have slow ranks or a limit: told by their coordinators to
 * some entries, and by those to their peers.
 */

import { readNow } from '@juniperhook/runtime'
import * as v from 'valibot'
import type { GatewayContext } from './context.ts'
import { applyToldGroups } from './fleet.ts'
import type { State } from './peerMessages.ts'
import { PacesSchema } from './peerMessages.ts'

/** Coordinators repeat what they tell each second; older is forgotten, ms. */
const PACES_MS = 2_500

/** What this entry was told of groups by their coordinators. */
export function tellGroups(ctx: GatewayContext): State['groups'] {
	const groups: State['groups'] = {}
	for (const [group, { slow, limit, direct }] of ctx.fleet.toldGroups)
		if (direct) groups[group] = { slow, ...(limit !== undefined && { limit }) }
	return groups
}

/** A group's coordinator tells how slow its ranks are and what is let in. */
export function takePaces(ctx: GatewayContext, params: unknown): void {
	const { group, slow, limit } = v.parse(PacesSchema, params)
	const { toldGroups } = ctx.fleet
	const isWell = Object.keys(slow).length === 0 && limit === undefined
	if (isWell) toldGroups.delete(group)
	else toldGroups.set(group, { slow, limit, at: readNow(), direct: true })
	ctx.log.write('paces told', { group, slow: Object.keys(slow), limit })
	applyToldGroups(ctx.fleet)
}

/** Takes what a peer was told of groups that this entry is not told of. */
export function takePeersGroups(
	ctx: GatewayContext,
	state: State,
	now: number,
): void {
	const { toldGroups } = ctx.fleet
	const news = Object.entries(state.groups).filter(
		([group]) => !toldGroups.get(group)?.direct,
	)
	if (news.length === 0) return
	for (const [group, { slow, limit }] of news)
		toldGroups.set(group, { slow, limit, at: now, direct: false })
	applyToldGroups(ctx.fleet)
}

/** What has not been told again is no longer believed. */
export function forgetGroups(ctx: GatewayContext, now: number): void {
	const { toldGroups } = ctx.fleet
	const old = [...toldGroups].filter(([, { at }]) => now - at > PACES_MS)
	if (old.length === 0) return
	for (const [group] of old) toldGroups.delete(group)
	applyToldGroups(ctx.fleet)
}
