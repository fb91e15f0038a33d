/** The gateway's server table: services, load of the servers, and request queues. */

import type {
	FairQueue,
	ListedServer,
	RouteTable,
	ServerList,
	ServerTable,
} from '@juniperhook/core'
import {
	copyServerRow,
	createFairQueue,
	createServerTable,
	listServing,
} from '@juniperhook/core'
import type { FlowMeter, PeerDemand } from './flowMeter.ts'
import { createFlowMeter } from './flowMeter.ts'
import type { ServerLoad } from './ports.ts'
import type { Waiter } from './waiter.ts'

/** State of a lock-step group as reported by its coordinator. */
export interface GroupReport {
	/** Slowdown factors of its slow ranks, by address. */
	readonly slow: Readonly<Record<string, number>>
	/** Limit of requests in flight per rank; undefined for no limit but the slots. */
	readonly limit: number | undefined
	/** Whether the group refuses requests at every rank. */
	readonly broken: boolean
	/** When it was reported, ms of elapsed time. */
	readonly at: number
}

/** Number and time of the latest report of a coordinator, direct or relayed. */
export interface LastGroupReport {
	readonly number: number
	readonly at: number
}

/** Servers by row, their load, and the queues of waiting requests. */
export interface Fleet {
	table: ServerTable
	servers: ListedServer[]
	/** Rows, by service. */
	rowsByService: Map<string, number[]>
	/** Rows of servers in this entry's data centre. */
	localRows: Set<number>
	/** Requests of this entry in flight, by server id. */
	readonly inFlight: Map<string, number>
	/** Requests in flight by server id, of each peer by entry name. */
	readonly inFlightByPeer: Map<string, ReadonlyMap<string, number>>
	/** Requests in flight of all peers, by server id. */
	readonly inFlightOfPeers: Map<string, number>
	/** Request counts of this entry, by service. */
	readonly meters: Map<string, FlowMeter>
	/** Demand of each peer, by entry name. */
	readonly peerDemand: Map<string, PeerDemand>
	/** Factor that scales the sum over reporting peers to all peers. */
	peerScale: number
	/** Names of lock-step groups; a group's number is its index here. */
	groups: string[]
	/** Reports of groups with slow ranks, a limit or an outage, by group name. */
	readonly groupReports: Map<string, GroupReport>
	/** Latest reports, by group and coordinator. */
	readonly lastGroupReports: Map<string, LastGroupReport>
	/** Waiting requests, by service. */
	readonly queues: Map<string, FairQueue<Waiter>>
}

/** Creates a fleet without servers. */
export function createFleet(): Fleet {
	return {
		table: createServerTable([]),
		servers: [],
		rowsByService: new Map(),
		localRows: new Set(),
		inFlight: new Map(),
		inFlightByPeer: new Map(),
		inFlightOfPeers: new Map(),
		meters: new Map(),
		peerDemand: new Map(),
		peerScale: 1,
		groups: [],
		groupReports: new Map(),
		lastGroupReports: new Map(),
		queues: new Map(),
	}
}

/**
 * Rebuilds the table from the server list, keeping the state of remaining servers. Only
 * those that are open get new requests.
 */
export function applyServerList(
	fleet: Fleet,
	list: ServerList,
	dataCentre: string,
	routes: RouteTable | undefined,
	isOpen: (server: ListedServer) => boolean,
): void {
	const servers = listServing(
		list,
		service => routes?.services.has(service) ?? false,
	)
	const table = createServerTable(servers.map(server => server.id))
	fleet.rowsByService = new Map()
	fleet.localRows = new Set()
	fleet.groups = []
	for (const [row, server] of servers.entries()) {
		copyServerRow(fleet.table, table, server.id)
		const engine = routes?.services.get(server.service)?.engine
		table.slots[row] = engine ? engine.slots : server.slots
		table.open[row] = isOpen(server) ? 1 : 0
		if (table.open[row] === 0) table.startsLeft[row] = 0
		if (engine?.experts)
			table.group[row] = groupNumberOf(fleet, groupOf(server))
		const rows = fleet.rowsByService.get(server.service) ?? []
		rows.push(row)
		fleet.rowsByService.set(server.service, rows)
		if (server.dataCentre === dataCentre) fleet.localRows.add(row)
	}
	fleet.table = table
	fleet.servers = servers
}

/** Returns the rows of a service's servers that get new requests. */
export function listOpenRows(
	{ rowsByService, table }: Fleet,
	service: string,
): number[] {
	const rows = rowsByService.get(service) ?? []
	return rows.filter(row => table.open[row] === 1)
}

/** Returns the name of a rank's group, qualified by the service to be unique. */
export function groupOf({ service, group }: ListedServer): string {
	return `${service}/${group ?? ''}`
}

/** Returns the service of a group by the group's name. */
export function serviceOf(group: string): string {
	return group.slice(0, group.lastIndexOf('/'))
}

/** Returns the service of a group by the group's number. */
export function serviceOfGroup({ groups }: Fleet, group: number): string {
	return serviceOf(groups[group] ?? '')
}

function groupNumberOf(fleet: Fleet, group: string): number {
	const known = fleet.groups.indexOf(group)
	return known >= 0 ? known : fleet.groups.push(group) - 1
}

/** Records that a request was assigned to a server (`1`) or ended there (`-1`). */
export function trackInFlight(fleet: Fleet, id: string, change: 1 | -1): void {
	const inFlight = (fleet.inFlight.get(id) ?? 0) + change
	if (inFlight > 0) fleet.inFlight.set(id, inFlight)
	else fleet.inFlight.delete(id)
	const row = fleet.table.rowOf.get(id)
	if (row === undefined) return
	fleet.table.sentSinceReport[row] = Math.max(0, inFlight)
	const meter = meterOf(fleet, fleet.servers[row]!.service)
	if (change < 0) meter.finished++
	else meter.unreportedSends++
}

/** Returns the request counts of a service, creating them on first use. */
export function meterOf(fleet: Fleet, service: string): FlowMeter {
	const known = fleet.meters.get(service)
	if (known) return known
	const meter = createFlowMeter()
	fleet.meters.set(service, meter)
	return meter
}

/** Records the load that a server reported in a response. */
export function recordReportedLoad(
	fleet: Fleet,
	id: string,
	{ running, waiting }: ServerLoad,
	now: number,
): void {
	const row = fleet.table.rowOf.get(id)
	if (row === undefined) return
	const own = fleet.inFlight.get(id) ?? 0
	fleet.table.reportedLoad[row] = Math.max(0, running + waiting - own)
	fleet.table.reportedAt[row] = now
}

/** Applies the reported slowdowns and limits to the table; other groups have none. */
export function applyGroupReports(fleet: Fleet): void {
	for (const [row, server] of fleet.servers.entries()) {
		const report = fleet.groupReports.get(groupOf(server))
		const { table } = fleet
		const slowdowns = Object.values(report?.slow ?? {})
		table.slowdown[row] = Math.max(1, report?.slow[server.address] ?? 1)
		table.groupSlowdown[row] = Math.max(1, ...slowdowns)
		table.maxInFlight[row] = report?.limit ?? Number.POSITIVE_INFINITY
	}
}

/** Replaces a peer's requests in flight, by server id. */
export function recordPeerLoad(
	fleet: Fleet,
	peer: string,
	inFlight: ReadonlyMap<string, number>,
	now: number,
): void {
	const before = fleet.inFlightByPeer.get(peer)
	if (before) addPeerLoad(fleet, before, -1, now)
	fleet.inFlightByPeer.set(peer, inFlight)
	addPeerLoad(fleet, inFlight, 1, now)
}

/** Removes the demand and the requests in flight of a peer that has left. */
export function dropPeerLoad(fleet: Fleet, peer: string, now: number): void {
	fleet.peerDemand.delete(peer)
	const inFlight = fleet.inFlightByPeer.get(peer)
	if (!inFlight) return
	fleet.inFlightByPeer.delete(peer)
	addPeerLoad(fleet, inFlight, -1, now)
}

function addPeerLoad(
	fleet: Fleet,
	inFlight: ReadonlyMap<string, number>,
	sign: 1 | -1,
	now: number,
): void {
	const { inFlightOfPeers, table } = fleet
	for (const [id, count] of inFlight) {
		const sum = (inFlightOfPeers.get(id) ?? 0) + sign * count
		if (sum > 0) inFlightOfPeers.set(id, sum)
		else inFlightOfPeers.delete(id)
		const row = table.rowOf.get(id)
		if (row === undefined) continue
		table.reportedLoad[row] = Math.max(0, sum)
		table.reportedAt[row] = now
	}
}

/**
 * Resets the reported load of all servers to the requests in flight of the peers. Load
 * that a server reported in a response is soon outdated: the server does not report
 * when the peers' requests there have ended.
 */
export function applyPeerLoads(fleet: Fleet, now: number): void {
	if (fleet.inFlightByPeer.size === 0) return
	for (const [row, { id }] of fleet.servers.entries()) {
		fleet.table.reportedLoad[row] = fleet.inFlightOfPeers.get(id) ?? 0
		fleet.table.reportedAt[row] = now
	}
}

/** Returns the queue of a service, creating it on first use. */
export function queueOf(fleet: Fleet, service: string): FairQueue<Waiter> {
	const known = fleet.queues.get(service)
	if (known) return known
	const queue = createFairQueue<Waiter>()
	fleet.queues.set(service, queue)
	return queue
}
