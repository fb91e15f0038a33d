/**
 * The entry's view of backend servers: the routing table, kept true by reports
 * over one control connection to each server's agent.
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

const RECONNECT_MS = 200
const MAX_RECONNECT_MS = 5_000
const log = createLog('entry:servers')

/** One backend server's agent, as this entry sees it. */
export interface AgentPeer {
	readonly server: string
	/** Agent's `IP:port` for requests. */
	readonly address: string
	link: RpcLink | undefined
	incarnation: string
	/** As the agent says. */
	leaving: boolean
	/** As the platform's list says. */
	listedLeaving: boolean
	revision: number
	gone: boolean
	/** Until when the server takes nothing, by its agent's word, ms. */
	heldUntil: number
	/** Whether a link is kept; others are made when a key's home needs one. */
	awake: boolean
}

/** All that an entry knows of backend servers. */
export interface ServerView {
	/** This entry's name and what it says of itself. */
	readonly introduce: () => Hello
	readonly controlPort: number
	/** Called with the revision that a report speaks of. */
	readonly onRevision: (server: string, revision: number) => void
	/** Methods served to agents besides reports. */
	readonly methods: Methods
	readonly peers: Map<string, AgentPeer>
	/** Live entries by the platform's list. */
	entries: readonly LocatedNode[]
	table: ServerTable
	/** Rows by model and by service. */
	rowsOfModel: Map<string, number[]>
	rowsOfService: Map<string, number[]>
}

/** Makes an empty view. */
export function createServerView(
	introduce: () => Hello,
	controlPort: number,
	onRevision: ServerView['onRevision'],
	methods: Methods,
): ServerView {
	return {
		introduce,
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

/** Fits the view to a configuration; what is known of servers that stay stays. */
export function applyConfig(view: ServerView, config: Config): void {
	const names = Object.keys(config.server)
	const old = view.table
	view.table = createServerTable(names)
	for (const name of names) copyServerRow(old, view.table, name)
	dropPeers(view, config)
	for (const [name, server] of Object.entries(config.server)) {
		if (view.peers.has(name)) continue
		addPeer(view, name, server.agent)
	}
	indexRows(view, config)
	wakeSubset(view, config)
	for (const peer of view.peers.values()) refreshOpen(view, peer)
}

/** Takes the entries by the platform's list, and links to this one's share. */
export function applyEntries(
	view: ServerView,
	entries: readonly LocatedNode[],
	config: Config | undefined,
): void {
	view.entries = entries
	if (config) wakeSubset(view, config)
}

/** Makes a link to a server outside the subset; true if it had none. */
export function wakePeer(view: ServerView, peer: AgentPeer): boolean {
	if (peer.awake) return false
	peer.awake = true
	void keepConnected(view, peer)
	return true
}

function wakeSubset(view: ServerView, config: Config): void {
	const self = view.introduce().name
	const pools = [...view.rowsOfModel.values(), ...view.rowsOfService.values()]
	for (const rows of pools) {
		const pool = rows.map(row => {
			const name = view.table.names[row]!
			return { name, dataCentre: config.server[name]!.dataCentre }
		})
		for (const name of pickSubset(self, view.entries, pool))
			wakePeer(view, view.peers.get(name)!)
	}
}

/** Marks servers that the platform's list calls leaving. */
export function applyVmList(
	view: ServerView,
	leaving: ReadonlySet<string>,
): void {
	for (const peer of view.peers.values()) {
		peer.listedLeaving = leaving.has(peer.server)
		refreshOpen(view, peer)
	}
}

/** The agent of a row. */
export function peerOfRow(view: ServerView, row: number): AgentPeer {
	return view.peers.get(view.table.names[row]!)!
}

function dropPeers(view: ServerView, config: Config): void {
	for (const [name, peer] of view.peers) {
		if (config.server[name]?.agent === peer.address) continue
		peer.gone = true
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
		gone: false,
		heldUntil: 0,
		awake: false,
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

async function keepConnected(view: ServerView, peer: AgentPeer): Promise<void> {
	const { ip } = splitAddress(peer.address)
	const address = `${ip}:${view.controlPort}`
	let pause = RECONNECT_MS
	while (!peer.gone) {
		try {
			await holdLink(view, peer, address)
			pause = RECONNECT_MS
		} catch (err) {
			const detail = messageOf(err)
			log({ msg: 'no control link', server: peer.server, detail })
		}
		await sleep(pause * (0.5 + Math.random()))
		pause = Math.min(pause * 2, MAX_RECONNECT_MS)
	}
}

async function holdLink(
	view: ServerView,
	peer: AgentPeer,
	address: string,
): Promise<void> {
	const methods = {
		...view.methods,
		report: (params: unknown) => takeReport(view, peer, params),
	}
	const link = await connectRpc(address, methods)
	try {
		const hello = await call(link, 'hello', view.introduce())
		peer.incarnation = v.parse(HelloSchema, hello).incarnation
	} catch (err) {
		link.socket.destroy()
		throw err
	}
	peer.link = link
	await new Promise(resolve => link.socket.once('close', resolve))
	peer.link = undefined
	refreshOpen(view, peer)
}

function takeReport(view: ServerView, peer: AgentPeer, params: unknown): void {
	const report: Report = v.parse(ReportSchema, params)
	peer.incarnation = report.incarnation
	peer.leaving = report.state !== 'serving'
	peer.revision = report.revision
	view.onRevision(report.server, report.revision)
	const row = view.table.rowOf.get(peer.server)
	if (row === undefined) return
	view.table.slots[row] = report.slots
	noteLoad(view, peer, row, report)
	refreshOpen(view, peer)
}

/** Takes what an agent says of its load, in a report or with an answer. */
export function noteLoad(
	view: ServerView,
	peer: AgentPeer,
	row: number,
	load: LoadFields,
): void {
	const now = readNow()
	peer.heldUntil = now + load.heldMs
	applyReport(view.table, row, load, now)
}

/** Rows whose servers take something now. */
export function listFree(
	view: ServerView,
	rows: readonly number[],
): readonly number[] {
	const now = readNow()
	return rows.filter(
		row => view.table.open[row] === 1 && peerOfRow(view, row).heldUntil <= now,
	)
}

/** Of servers that take nothing now, the row of the one that does so again first. */
export function findSoonest(
	view: ServerView,
	rows: readonly number[],
): number | undefined {
	const open = rows.filter(row => view.table.open[row] === 1)
	const heldUntil = (row: number) => peerOfRow(view, row).heldUntil
	return open.sort((a, b) => heldUntil(a) - heldUntil(b))[0]
}

function refreshOpen(view: ServerView, peer: AgentPeer): void {
	const row = view.table.rowOf.get(peer.server)
	if (row === undefined) return
	const known = peer.link !== undefined && peer.incarnation !== ''
	const open = known && !peer.leaving && !peer.listedLeaving
	view.table.open[row] = open ? 1 : 0
}
