/** Everything that a soak runs: store, relays, backend servers and processes. */

import { createRandom } from '@juniperhook/core'
import type { Relay } from '@juniperhook/fakes'
import { startRelay, stopRelay } from '@juniperhook/fakes'
import { startFakeGroup } from '../../packages/groups/test/fakeGroup.ts'
import type { FakeStore } from '../../platform/test/fakeStore.ts'
import { startFakeStore } from '../../platform/test/fakeStore.ts'
import {
	agentIp,
	agentStoreIp,
	entryStoreIp,
	PORTS,
	relayIp,
	serverIp,
} from './addresses.ts'
import type { BackoffLog } from './backoffs.ts'
import { createBackoffLog } from './backoffs.ts'
import { buildConfig, SERVICE_OF } from './config.ts'
import type { Disturbances } from './disturbances.ts'
import { createDisturbances } from './disturbances.ts'
import type { EvacuationLog } from './evacuations.ts'
import { coldRemainingMs, createEvacuationLog } from './evacuations.ts'
import type { RelayedLeaving } from './leaving.ts'
import type { ManagedProcess } from './processes.ts'
import { prepareProcess, startProcess, terminateProcess } from './processes.ts'
import type { ReportedLimit } from './rateLimits.ts'
import type { BackendServer, Servers } from './servers.ts'
import {
	crashServer,
	listedAddress,
	noMisbehaviour,
	startServer,
} from './servers.ts'
import type { SoakOptions, SoakRecord } from './types.ts'
import { createRecord } from './types.ts'
import type { UnavailableMoment } from './unavailability.ts'

const SLOTS = 8

/** A version of the configuration, and when it was written to the store. */
export interface PublishedVersion {
	readonly version: number
	readonly at: number
	readonly keepsRevokedKey: boolean
}

/** A running soak. */
export interface World {
	readonly options: SoakOptions
	readonly record: SoakRecord
	readonly disturbances: Disturbances
	readonly store: FakeStore
	/** Last value written by key; written again when a rollback has lost it. */
	readonly lastWritten: Map<string, string | undefined>
	readonly servers: Servers
	readonly entries: ManagedProcess[]
	readonly agents: ManagedProcess[]
	/** Relays to backend servers, and to the agents of ranks. */
	readonly serverRelays: Relay[]
	readonly agentRelays: Relay[]
	/** Relays to the store: those of entries, then those of agents. */
	readonly storeRelays: Relay[]
	readonly published: PublishedVersion[]
	/** How often the configuration has grown; see {@link buildConfig}. */
	growths: number
	/** When the store recorded that a server is leaving or gone, by server id. */
	readonly leavingAt: Map<string, number>
	/** Times at which no entry was running, so that crash evidence was lost, ms. */
	readonly evidenceLostAt: number[]
	/** Rate limits that servers have reported. */
	readonly limits: ReportedLimit[]
	/** Backoffs that servers have requested, and the requests that reached them. */
	readonly backoffLog: BackoffLog
	readonly evacuationLog: EvacuationLog
	readonly relayedLeavings: RelayedLeaving[]
	readonly unavailableMoments: UnavailableMoment[]
	/** Set when the time without faults begins, in which recovery is measured. */
	faultsEnded: boolean
	/** Set when the soak ends. */
	finished: boolean
}

/** Starts everything; resolves before the processes serve. */
export async function startWorld(options: SoakOptions): Promise<World> {
	const { net, seed } = options
	const record = createRecord()
	const store = await startFakeStore()
	const group = startFakeGroup(seed, options.ranks)
	const servers: Servers = {
		all: [],
		group,
		record,
		random: createRandom(seed + 1),
		net,
		groupOpen: true,
		onPoisonRequest: () => {},
		refuseWithBackoff: () => false,
		forge: () => false,
		onArrival: () => {},
		incarnations: 0,
	}
	const world: World = {
		options,
		record,
		disturbances: createDisturbances(),
		store,
		lastWritten: new Map(),
		servers,
		entries: [],
		agents: [],
		serverRelays: [],
		agentRelays: [],
		storeRelays: [],
		published: [],
		growths: 0,
		leavingAt: new Map(),
		evidenceLostAt: [],
		limits: [],
		backoffLog: createBackoffLog(),
		evacuationLog: createEvacuationLog(),
		relayedLeavings: [],
		unavailableMoments: [],
		faultsEnded: false,
		finished: false,
	}
	publish(world, 1, true)
	for (let n = 0; n < options.ranks + options.plainServers; n++)
		await addServer(world, n)
	const storePort = Number(store.address.split(':')[1])
	for (let n = 0; n < options.entries; n++)
		world.entries.push(prepareProcess(options, 'entry', n))
	for (let n = 0; n < options.ranks; n++)
		world.agents.push(prepareProcess(options, 'agent', n))
	for (const { role, index } of [...world.entries, ...world.agents]) {
		const ip = role === 'entry' ? entryStoreIp : agentStoreIp
		world.storeRelays.push(
			await startRelay(ip(net, index), '127.0.0.1', PORTS.store, storePort),
		)
	}
	for (const managed of [...world.entries, ...world.agents])
		startProcess(record, managed, options.bundle)
	return world
}

async function addServer(world: World, index: number): Promise<void> {
	const { options, servers } = world
	const { net, ranks } = options
	const rank = index < ranks ? index : undefined
	const backend: BackendServer = {
		index,
		service: rank === undefined ? SERVICE_OF.once : SERVICE_OF.stream,
		rank,
		address: listedAddress(net, index),
		server: undefined,
		name: '',
		bornAt: 0,
		id: '',
		leaving: false,
		misbehaviour: noMisbehaviour(),
		limit: undefined,
		requestsBackoff: false,
	}
	servers.all.push(backend)
	await startServer(servers, backend)
	const relay = relayIp(net, index)
	world.serverRelays.push(
		await startRelay(relay, serverIp(net, index), PORTS.engine),
	)
	if (rank !== undefined)
		world.agentRelays.push(
			await startRelay(relay, agentIp(net, rank), PORTS.agents),
		)
	listServer(world, backend)
}

/** Writes a value to the store, or removes its key; a lost write is repeated. */
export function writeValue(
	world: World,
	key: string,
	value: string | undefined,
): void {
	world.lastWritten.set(key, value)
	world.store.put(key, value)
}

/** Returns the data centre of a server. */
export function dataCentreOf({ index }: Pick<BackendServer, 'index'>): string {
	return `zone-${index % 2}`
}

/** Writes a server's record to the store. */
export function listServer(world: World, backend: BackendServer): void {
	const { id, name, service, address, rank, leaving } = backend
	const { epoch } = world.servers.group
	const phase = world.servers.groupOpen ? 'open' : 'broken'
	const serverRecord = {
		service,
		address,
		zone: dataCentreOf(backend),
		config_version: 'v1',
		slots: SLOTS,
		cold_remaining_ms: coldRemainingMs(world.evacuationLog, backend),
		sequence: 1,
		born: backend.bornAt,
		phase: leaving ? 'draining' : 'ready',
		...(rank !== undefined && {
			group: { name: 'g', rank, epoch, phase },
		}),
	}
	writeValue(world, `servers/${name}`, JSON.stringify(serverRecord))
	if (leaving) world.leavingAt.set(id, performance.now())
}

/** Removes a server's record from the store. */
export function unlistServer(
	world: World,
	{ id, name }: Pick<BackendServer, 'id' | 'name'>,
): void {
	writeValue(world, `servers/${name}`, undefined)
	if (!world.leavingAt.has(id)) world.leavingAt.set(id, performance.now())
}

/** Publishes a version of the configuration. */
export function publish(
	world: World,
	version: number,
	keepsRevokedKey: boolean,
): void {
	const text = buildConfig(version, keepsRevokedKey, world.growths)
	writeValue(world, 'op/config', text)
	world.published.push({ version, at: performance.now(), keepsRevokedKey })
}

/** Stops everything that the soak started; resolves when its processes have exited. */
export async function stopWorld(world: World): Promise<void> {
	const managed = [...world.entries, ...world.agents]
	const ended = Promise.all(managed.map(terminateProcess))
	for (const relay of allRelays(world)) stopRelay(relay)
	for (const backend of world.servers.all) crashServer(backend)
	world.servers.group.stop()
	world.store.server.closeAllConnections()
	world.store.server.close()
	await ended
}

/** Returns all relays. */
export function allRelays(world: World): Relay[] {
	return [...world.serverRelays, ...world.agentRelays, ...world.storeRelays]
}
