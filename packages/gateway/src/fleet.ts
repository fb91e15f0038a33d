/** The gateway's table of servers: who serves what, and who holds how much. */

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
import type { Waiter } from './waiting.ts'

/** Slow ranks and limit of a lock-step group, as its coordinator told them. */
export interface ToldGroup {
	/** How slow its slow ranks are, by address. */
	readonly slow: Readonly<Record<string, number>>
	/** Requests that each rank may hold; undefined for as many as fit. */
	readonly limit: number | undefined
	/** When it was told, ms. */
	readonly at: number
	/** Whether the coordinator told this entry, not one of its peers. */
	readonly direct: boolean
}

/** Servers as rows, and requests that wait for one. */
export interface Fleet {
	table: ServerTable
	servers: ListedServer[]
	/** Rows of each service. */
	rowsOf: Map<string, number[]>
	/** Rows in this entry's data centre. */
	near: Set<number>
	/** Requests that this entry has at each server id. */
	readonly held: Map<string, number>
	/** Requests that each peer has at each server id. */
	readonly heldByPeer: Map<string, ReadonlyMap<string, number>>
	/** Names of lock-step groups; a group's number is its place here. */
	groups: string[]
	/** Groups that have slow ranks or a limit, by name. */
	readonly toldGroups: Map<string, ToldGroup>
	/** Requests that wait, by service. */
	readonly queues: Map<string, FairQueue<Waiter>>
}

/** Makes a fleet without servers. */
export function createFleet(): Fleet {
	return {
		table: createServerTable([]),
		servers: [],
		rowsOf: new Map(),
		near: new Set(),
		held: new Map(),
		heldByPeer: new Map(),
		groups: [],
		toldGroups: new Map(),
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
	const servers = listServing(list)
	const table = createServerTable(servers.map(server => server.id))
	fleet.rowsOf = new Map()
	fleet.near = new Set()
	fleet.groups = []
	for (const [row, server] of servers.entries()) {
		copyServerRow(fleet.table, table, server.id)
		const engine = routes?.services.get(server.service)?.engine
		table.slots[row] = engine ? engine.slots : server.slots
		table.open[row] = 1
		if (engine?.experts) table.group[row] = numberOf(fleet, groupOf(server))
		const rows = fleet.rowsOf.get(server.service) ?? []
		rows.push(row)
		fleet.rowsOf.set(server.service, rows)
		if (server.dataCentre === dataCentre) fleet.near.add(row)
	}
	fleet.table = table
	fleet.servers = servers
}

/** Name of a rank's group; groups of two services never share one. */
export function groupOf({ service, group }: ListedServer): string {
	return `${service}/${group ?? ''}`
}

function numberOf(fleet: Fleet, group: string): number {
	const known = fleet.groups.indexOf(group)
	return known >= 0 ? known : fleet.groups.push(group) - 1
}

/** Notes a request sent to a server (`1`) or ended there (`-1`). */
export function noteHeld(fleet: Fleet, id: string, change: 1 | -1): void {
	const held = (fleet.held.get(id) ?? 0) + change
	if (held > 0) fleet.held.set(id, held)
	else fleet.held.delete(id)
	const row = fleet.table.rowOf.get(id)
	if (row !== undefined) fleet.table.sentSince[row] = Math.max(0, held)
}

/** Takes the load that a server told in an answer. */
export function noteToldLoad(
	fleet: Fleet,
	id: string,
	load: string | undefined,
	now: number,
): void {
	const row = fleet.table.rowOf.get(id)
	if (row === undefined || load === undefined) return
	const [running = 0, waiting = 0] = load.split(',').map(Number)
	if (!Number.isFinite(running + waiting)) return
	const own = fleet.held.get(id) ?? 0
	fleet.table.reported[row] = Math.max(0, running + waiting - own)
	fleet.table.reportedAt[row] = now
}

/** Puts in force what is told of groups; all others have neither. */
export function applyToldGroups(fleet: Fleet): void {
	for (const [row, server] of fleet.servers.entries()) {
		const told = fleet.toldGroups.get(groupOf(server))
		fleet.table.pace[row] = Math.max(1, told?.slow[server.address] ?? 1)
		fleet.table.most[row] = told?.limit ?? Number.POSITIVE_INFINITY
	}
}

/** Takes what a peer holds at each server. */
export function notePeerLoad(
	fleet: Fleet,
	peer: string,
	held: ReadonlyMap<string, number>,
	now: number,
): void {
	fleet.heldByPeer.set(peer, held)
	sumPeerLoads(fleet, now)
}

/** Forgets a peer that is gone. */
export function dropPeerLoad(fleet: Fleet, peer: string, now: number): void {
	if (fleet.heldByPeer.delete(peer)) sumPeerLoads(fleet, now)
}

function sumPeerLoads(fleet: Fleet, now: number): void {
	for (const [row, { id }] of fleet.servers.entries()) {
		let sum = 0
		for (const held of fleet.heldByPeer.values()) sum += held.get(id) ?? 0
		fleet.table.reported[row] = sum
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
