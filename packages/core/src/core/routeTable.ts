/** Which route, team and service a request belongs to. */

import type { Random } from '../internal.ts'
import type {
	RouteShare,
	TrafficConfig,
	TrafficRoute,
	TrafficService,
	TrafficTeam,
} from '../types/traffic.ts'

/** A configuration, indexed for look-ups. */
export interface RouteTable {
	readonly config: TrafficConfig
	/** Routes of each host, longest prefix first. */
	readonly routesOf: ReadonlyMap<string, readonly TrafficRoute[]>
	readonly teamOfKey: ReadonlyMap<string, TrafficTeam>
	readonly services: ReadonlyMap<string, TrafficService>
}

/** Indexes a configuration. */
export function createRouteTable(config: TrafficConfig): RouteTable {
	const routesOf = new Map<string, TrafficRoute[]>()
	for (const route of config.routes) {
		const host = route.host.toLowerCase()
		const routes = routesOf.get(host) ?? []
		routes.push(route)
		routesOf.set(host, routes)
	}
	for (const routes of routesOf.values())
		routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
	const teamOfKey = new Map<string, TrafficTeam>()
	for (const team of config.teams)
		for (const key of team.keys) teamOfKey.set(key, team)
	const services = new Map(config.services.map(item => [item.name, item]))
	return { config, routesOf, teamOfKey, services }
}

/** The route of a host and path; the longest prefix wins. */
export function findRoute(
	table: RouteTable,
	host: string,
	path: string,
): TrafficRoute | undefined {
	const name = host.toLowerCase().replace(/:\d+$/, '')
	const routes = table.routesOf.get(name)
	return routes?.find(route => path.startsWith(route.pathPrefix))
}

/** The service that takes a request of the route, by weight. */
export function pickService(
	shares: readonly RouteShare[],
	random: Random,
): string {
	const total = shares.reduce((sum, share) => sum + share.weight, 0)
	let left = random() * total
	for (const share of shares) {
		left -= share.weight
		if (left < 0) return share.service
	}
	return shares.at(-1)!.service
}
