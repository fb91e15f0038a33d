/** The gateway's table of servers: who serves what, and who holds how much. */

import type {
	FairQueue,
	GroupTraffic,
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
import type { ServerLoad } from './ports.ts'
import type { Waiter } from './waiter.ts'

/** Slow ranks and limit of a lock-step group, as its coordinator told them. */
export interface GroupReport {
	/** How slow its slow ranks are, by address. */
	readonly slow: Readonly<Record<string, number>>
	/** Requests that each rank may hold; undefined for as many as fit. */
	readonly limit: number | undefined
	/** Whether it refuses at every rank. */
	readonly broken: boolean
	/** When it was told, ms. */
	readonly at: number
}

/** The last news of a group that a coordinator told, on whatever way. */
export interface LastGroupReport {
	readonly number: number
	readonly at: number
}

/** What a peer has told of its callers. */
export interface PeerDemand {
	readonly dataCentre: string
	/** By service. */
	readonly flows: Readonly<Record<string, RequestFlow>>
}

/** Requests of a service by way of one entry, a second, smoothed. */
export interface RequestFlow {
	readonly come: number
	/** That end at a server. */
	readonly end: number
}

/** What comes to this entry for a service, and what ends there. */
export interface FlowMeter {
	/** Requests since the last turn. */
	arrived: number
	finished: number
	/** Sends since entries told each other what they hold. */
	sentSinceReport: number
	flow: RequestFlow
	/** All entries together. */
	intake: GroupTraffic | undefined
	/** Least part of the requests that one of its groups took since the last turn. */
	minAdmittedFraction: number
}

/** Servers as rows, and requests that wait for one. */
export interface Fleet {
	table: ServerTable
	servers: ListedServer[]
	/** Rows of each service. */
	rowsByService: Map<string, number[]>
	/** Rows in this entry's data centre. */
	localRows: Set<number>
	/** Requests that this entry has at each server id. */
	readonly inFlight: Map<string, number>
	/** Requests that each peer has at each server id. */
	readonly inFlightByPeer: Map<string, ReadonlyMap<string, number>>
	/** Their sum, by server id. */
	readonly inFlightOfPeers: Map<string, number>
	/** What comes to this entry, and to each peer. */
	readonly meters: Map<string, FlowMeter>
	readonly peerDemand: Map<string, PeerDemand>
	/** What peers tell stands for so many times that, for those not heard of. */
	peerScale: number
	/** Names of lock-step groups; a group's number is its place here. */
	groups: string[]
	/** Groups that have slow ranks or a limit, by name. */
	readonly groupReports: Map<string, GroupReport>
	/** By group and by the coordinator that told it. */
	readonly lastGroupReports: Map<string, LastGroupReport>
	/** Requests that wait, by service. */
	readonly queues: Map<string, FairQueue<Waiter>>
}

/** Makes a fleet without servers. */
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

/** Fits the table to the list; what is known of servers that stay stays. */
export function applyServerList(
	fleet: Fleet,
	list: ServerList,
	dataCentre: string,
	routes: RouteTable | undefined,
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
		table.open[row] = 1
		if (engine?.experts) table.group[row] = numberOf(fleet, groupOf(server))
		const rows = fleet.rowsByService.get(server.service) ?? []
		rows.push(row)
		fleet.rowsByService.set(server.service, rows)
		if (server.dataCentre === dataCentre) fleet.localRows.add(row)
	}
	fleet.table = table
	fleet.servers = servers
}

/** Name of a rank's group; groups of two services never share one. */
export function groupOf({ service, group }: ListedServer): string {
	return `${service}/${group ?? ''}`
}

/** The service of a group, by its name. */
export function serviceOf(group: string): string {
	return group.slice(0, group.lastIndexOf('/'))
}

/** The service of a group, by the group's number. */
export function serviceOfGroup({ groups }: Fleet, group: number): string {
	return serviceOf(groups[group] ?? '')
}

function numberOf(fleet: Fleet, group: string): number {
	const known = fleet.groups.indexOf(group)
	return known >= 0 ? known : fleet.groups.push(group) - 1
}

/** Notes a request sent to a server (`1`) or ended there (`-1`). */
export function trackInFlight(fleet: Fleet, id: string, change: 1 | -1): void {
	const held = (fleet.inFlight.get(id) ?? 0) + change
	if (held > 0) fleet.inFlight.set(id, held)
	else fleet.inFlight.delete(id)
	const row = fleet.table.rowOf.get(id)
	if (row === undefined) return
	fleet.table.sentSinceReport[row] = Math.max(0, held)
	const meter = meterOf(fleet, fleet.servers[row]!.service)
	if (change < 0) meter.finished++
	else meter.sentSinceReport++
}

/** The meter of a service. */
export function meterOf(fleet: Fleet, service: string): FlowMeter {
	const known = fleet.meters.get(service)
	if (known) return known
	const flow = { come: 0, end: 0 }
	const meter: FlowMeter = {
		arrived: 0,
		finished: 0,
		sentSinceReport: 0,
		flow,
		intake: undefined,
		minAdmittedFraction: 1,
	}
	fleet.meters.set(service, meter)
	return meter
}

/** Takes the load that a server told in an answer. */
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

/** Puts in force what is told of groups; all others have neither. */
export function applyGroupReports(fleet: Fleet): void {
	for (const [row, server] of fleet.servers.entries()) {
		const told = fleet.groupReports.get(groupOf(server))
		const { table } = fleet
		const paces = Object.values(told?.slow ?? {})
		table.slowdown[row] = Math.max(1, told?.slow[server.address] ?? 1)
		table.groupSlowdown[row] = Math.max(1, ...paces)
		table.maxInFlight[row] = told?.limit ?? Number.POSITIVE_INFINITY
	}
}

/** Takes what a peer holds at each server. */
export function recordPeerLoad(
	fleet: Fleet,
	peer: string,
	held: ReadonlyMap<string, number>,
	now: number,
): void {
	const before = fleet.inFlightByPeer.get(peer)
	if (before) addPeerLoad(fleet, before, -1, now)
	fleet.inFlightByPeer.set(peer, held)
	addPeerLoad(fleet, held, 1, now)
}

/** Forgets a peer that is gone. */
export function dropPeerLoad(fleet: Fleet, peer: string, now: number): void {
	fleet.peerDemand.delete(peer)
	const held = fleet.inFlightByPeer.get(peer)
	if (!held) return
	fleet.inFlightByPeer.delete(peer)
	addPeerLoad(fleet, held, -1, now)
}

function addPeerLoad(
	fleet: Fleet,
	held: ReadonlyMap<string, number>,
	sign: 1 | -1,
	now: number,
): void {
	const { inFlightOfPeers: heldByOthers, table } = fleet
	for (const [id, count] of held) {
		const sum = (heldByOthers.get(id) ?? 0) + sign * count
		if (sum > 0) heldByOthers.set(id, sum)
		else heldByOthers.delete(id)
		const row = table.rowOf.get(id)
		if (row === undefined) continue
		table.reportedLoad[row] = Math.max(0, sum)
		table.reportedAt[row] = now
	}
}

/**
 * Takes what peers hold for what servers hold besides: what a server told in an
 * answer is not true for long, and one that peers left says nothing of it.
 */
export function applyPeerLoads(fleet: Fleet, now: number): void {
	if (fleet.inFlightByPeer.size === 0) return
	for (const [row, { id }] of fleet.servers.entries()) {
		fleet.table.reportedLoad[row] = fleet.inFlightOfPeers.get(id) ?? 0
		fleet.table.reportedAt[row] = now
	}
}

/** The queue of a service. */
export function queueOf(fleet: Fleet, service: string): FairQueue<Waiter> {
	const known = fleet.queues.get(service)
	if (known) return known
	const queue = createFairQueue<Waiter>()
	fleet.queues.set(service, queue)
	return queue
}
