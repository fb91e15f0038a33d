/**
 * Urgency of requests: the order in which they get the room of a service that cannot take
 * them all. A team's priority comes first, then the priority of the route.
 */

import type { TrafficConfig } from '../types/traffic.ts'

/** Number of priorities, from 0 to 9; larger ones count as the least urgent. */
const PRIORITIES = 10
/** Priority of a team or a route that states none. */
const DEFAULT_PRIORITY = 5

/**
 * Level of urgency of a request; 0 is the most urgent. Levels are only compared: they are
 * not evenly spaced, and most are unused.
 */
export type Urgency = number

/** Returns the urgency of a request of a team on a route. */
export function urgencyOf(
	teamPriority: number | undefined,
	routePriority: number,
): Urgency {
	return PRIORITIES * clampPriority(teamPriority) + clampPriority(routePriority)
}

function clampPriority(priority = DEFAULT_PRIORITY): number {
	return Math.min(PRIORITIES - 1, Math.max(0, Math.round(priority)))
}

/**
 * Whether the streams of a service compete by urgency: its routes publish more than one
 * priority. Teams of different priority alone do not call for it.
 */
export function hasCompetingStreams(
	{ routes }: TrafficConfig,
	service: string,
): boolean {
	const priorities = routes
		.filter(({ kind }) => kind === 'stream')
		.filter(({ shares }) => shares.some(share => share.service === service))
		.map(({ priority }) => priority)
	return new Set(priorities).size > 1
}
