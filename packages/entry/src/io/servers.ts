/**
 * The entry's view of backend servers: the routing table, kept up to date by reports over
 * one control connection to each server's agent.
 */

import type { Config, LocatedNode, ServerTable } from '@juniperhook/core'
import {
	applyReport,
	copyServerRow,
	createServerTable,
	listServiceServers,
	pickSubset,
	splitAddress,
} from '@juniperhook/core'
import type {
	Hello,
	LoadFields,
	Methods,
	Report,
	RpcLink,
} from '@juniperhook/runtime'
import {
	call,
	connectRpc,
	createLog,
	HelloSchema,
	messageOf,
	ReportSchema,
	readNow,
	sleep,
} from '@juniperhook/runtime'
import * as v from 'valibot'

const RECONNECT_DELAY_MS = 200
const MAX_RECONNECT_DELAY_MS = 5_000
const log = createLog('entry:servers')

/** One backend server's agent, as this entry sees it. */
export interface AgentPeer {
	readonly server: string
	/** Agent's `IP:port` for requests. */
	readonly address: string
	link: RpcLink | undefined
	incarnation: string
	/** Whether the agent reports that it is leaving. */
	leaving: boolean
	/** Whether the platform's VM list says that the server is leaving. */
	listedLeaving: boolean
	/** Configuration revision in its last report. */
	revision: number
	isRemoved: boolean
	/** Until when the server accepts no requests, as its agent reported, ms. */
	unavailableUntil: number
	/** Whether a link is maintained: for the entry's subset, and for key homes once needed. */
	keepsLink: boolean
}

/** State of all backend servers at an entry. */
export interface ServerView {
	/** Returns this entry's `hello` message. */
	readonly createHello: () => Hello
	readonly controlPort: number
	/** Called with the configuration revision in a report. */
	readonly onRevision: (server: string, revision: number) => void
	/** Methods served to agents besides reports. */
	readonly methods: Methods
	readonly peers: Map<string, AgentPeer>
	/** Entries in the platform's VM list. */
	entries: readonly LocatedNode[]
	table: ServerTable
	/** Rows of the servers of each model and of each service. */
	rowsOfModel: Map<string, number[]>
	rowsOfService: Map<string, number[]>
}

/** Creates a view without servers. */
export function createServerView(
	createHello: () => Hello,
	controlPort: number,
	onRevision: ServerView['onRevision'],
	methods: Methods,
): ServerView {
	return {
		createHello,
		controlPort,
		onRevision,
		methods,
		peers: new Map(),
		entries: [],
		table: createServerTable([]),
		rowsOfModel: new Map(),
		rowsOfService: new Map(),
	}
}

/** Applies a configuration to the view; keeps the state of servers that remain. */
export function applyConfig(view: ServerView, config: Config): void {
	const names = Object.keys(config.server)
	const old = view.table
	view.table = createServerTable(names)
	for (const name of names) copyServerRow(old, view.table, name)
	removePeers(view, config)
	for (const [name, server] of Object.entries(config.server)) {
		if (view.peers.has(name)) continue
		addPeer(view, name, server.agent)
	}
	indexRows(view, config)
	linkSubset(view, config)
	for (const peer of view.peers.values()) updateOpen(view, peer)
}

/** Applies the entries of the platform's VM list, and links to this entry's subset. */
export function applyEntries(
	view: ServerView,
	entries: readonly LocatedNode[],
	config: Config | undefined,
): void {
	view.entries = entries
	if (config) linkSubset(view, config)
}

/** Starts maintaining a link to a server; returns false if one was maintained already. */
export function ensureLink(view: ServerView, peer: AgentPeer): boolean {
	if (peer.keepsLink) return false
	peer.keepsLink = true
	void maintainLink(view, peer)
	return true
}

function linkSubset(view: ServerView, config: Config): void {
	const self = view.createHello().name
	const pools = [...view.rowsOfModel.values(), ...view.rowsOfService.values()]
	for (const rows of pools) {
		const pool = rows.map(row => {
			const name = view.table.names[row]!
			return { name, dataCentre: config.server[name]!.dataCentre }
		})
		for (const name of pickSubset(self, view.entries, pool))
			ensureLink(view, view.peers.get(name)!)
	}
}

/** Marks the servers that are leaving according to the platform's VM list. */
export function markLeavingServers(
	view: ServerView,
	leaving: ReadonlySet<string>,
): void {
	for (const peer of view.peers.values()) {
		peer.listedLeaving = leaving.has(peer.server)
		updateOpen(view, peer)
	}
}

/** Returns the agent of the server in a row. */
export function peerOfRow(view: ServerView, row: number): AgentPeer {
	return view.peers.get(view.table.names[row]!)!
}

function removePeers(view: ServerView, config: Config): void {
	for (const [name, peer] of view.peers) {
		if (config.server[name]?.agent === peer.address) continue
		peer.isRemoved = true
		peer.link?.socket.destroy()
		view.peers.delete(name)
	}
}

function addPeer(view: ServerView, server: string, address: string): void {
	const peer: AgentPeer = {
		server,
		address,
		link: undefined,
		incarnation: '',
		leaving: false,
		listedLeaving: false,
		revision: 0,
		isRemoved: false,
		unavailableUntil: 0,
		keepsLink: false,
	}
	view.peers.set(server, peer)
}

function indexRows(view: ServerView, config: Config): void {
	const { table } = view
	view.rowsOfModel = new Map()
	view.rowsOfService = new Map()
	for (const service of Object.keys(config.service)) {
		const names = listServiceServers(config, service)
		const rows = names.map(name => table.rowOf.get(name)!)
		view.rowsOfService.set(service, rows)
	}
	const addModelRow = (model: string, name: string) => {
		const rows = view.rowsOfModel.get(model) ?? []
		rows.push(table.rowOf.get(name)!)
		view.rowsOfModel.set(model, rows)
	}
	for (const [name, server] of Object.entries(config.server)) {
		table.slots[table.rowOf.get(name)!] = server.slots
		if (server.model) addModelRow(server.model, name)
	}
	for (const [at, group] of Object.values(config.group).entries())
		for (const rank of group.ranks) {
			addModelRow(group.model, rank)
			table.group[table.rowOf.get(rank)!] = at
		}
}

async function maintainLink(view: ServerView, peer: AgentPeer): Promise<void> {
	const { ip } = splitAddress(peer.address)
	const address = `${ip}:${view.controlPort}`
	let delayMs = RECONNECT_DELAY_MS
	while (!peer.isRemoved) {
		try {
			await runLink(view, peer, address)
			delayMs = RECONNECT_DELAY_MS
		} catch (err) {
			const detail = messageOf(err)
			log({ msg: 'no control link', server: peer.server, detail })
		}
		await sleep(delayMs * (0.5 + Math.random()))
		delayMs = Math.min(delayMs * 2, MAX_RECONNECT_DELAY_MS)
	}
}

async function runLink(
	view: ServerView,
	peer: AgentPeer,
	address: string,
): Promise<void> {
	const methods = {
		...view.methods,
		report: (params: unknown) => handleReport(view, peer, params),
	}
	const link = await connectRpc(address, methods)
	try {
		const hello = await call(link, 'hello', view.createHello())
		peer.incarnation = v.parse(HelloSchema, hello).incarnation
	} catch (err) {
		link.socket.destroy()
		throw err
	}
	peer.link = link
	await new Promise(resolve => link.socket.once('close', resolve))
	peer.link = undefined
	updateOpen(view, peer)
}

function handleReport(
	view: ServerView,
	peer: AgentPeer,
	params: unknown,
): void {
	const report: Report = v.parse(ReportSchema, params)
	peer.incarnation = report.incarnation
	peer.leaving = report.state !== 'serving'
	peer.revision = report.revision
	view.onRevision(report.server, report.revision)
	const row = view.table.rowOf.get(peer.server)
	if (row === undefined) return
	view.table.slots[row] = report.slots
	recordLoad(view, peer, row, report)
	updateOpen(view, peer)
}

/** Records the load that an agent sent in a report or with an answer. */
export function recordLoad(
	view: ServerView,
	peer: AgentPeer,
	row: number,
	load: LoadFields,
): void {
	const now = readNow()
	peer.unavailableUntil = now + load.heldMs
	applyReport(view.table, row, load, now)
}

/** Returns the rows of servers that accept requests now. */
export function listAvailable(
	view: ServerView,
	rows: readonly number[],
): readonly number[] {
	const now = readNow()
	return rows.filter(
		row =>
			view.table.open[row] === 1 &&
			peerOfRow(view, row).unavailableUntil <= now,
	)
}

/** Returns the row of the open server that accepts requests again first. */
export function findFirstAvailable(
	view: ServerView,
	rows: readonly number[],
): number | undefined {
	const open = rows.filter(row => view.table.open[row] === 1)
	const unavailableUntil = (row: number) =>
		peerOfRow(view, row).unavailableUntil
	return open.sort((a, b) => unavailableUntil(a) - unavailableUntil(b))[0]
}

function updateOpen(view: ServerView, peer: AgentPeer): void {
	const row = view.table.rowOf.get(peer.server)
	if (row === undefined) return
	const isLinked = peer.link !== undefined && peer.incarnation !== ''
	const open = isLinked && !peer.leaving && !peer.listedLeaving
	view.table.open[row] = open ? 1 : 0
}
