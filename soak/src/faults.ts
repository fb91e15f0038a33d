/**
 * Faults of a soak: each kind begins something and gives what ends it. They are
 * drawn from the seed, overlap, and come in series.
 */

import type { Random } from '@juniperhook/core'
import { createRandom } from '@juniperhook/core'
import type { Relay } from '@juniperhook/fakes'
import {
	createThrottledLink,
	cutRelay,
	healRelay,
	resetRelay,
} from '@juniperhook/fakes'
import { DEADLY_DOWN_MS } from './poisonRequest.ts'
import type { Managed } from './processes.ts'
import {
	killProcess,
	signalSettings,
	stopProcess,
	writeSettings,
} from './processes.ts'
import type { BackendServer, Misbehaviour } from './servers.ts'
import { behave, crashServer, startServer } from './servers.ts'
import { beginTrouble, EVERYBODY } from './disturbances.ts'
import { count, drawBetween, drawOf, sleep } from './types.ts'
import type { World } from './world.ts'
import { listServer, publish, unlistServer } from './world.ts'

/**
 * A server that has said that it leaves serves on for this long, ms: longer than
 * entries may send it anything, so that one that does is seen.
 */
const SERVES_ON_MS = 4_500
/** An entry in the list runs out this long after a crash, ms. */
const LAPSE_MS = 900
const FAULT_MS = [300, 3_500] as const
/** The largest configuration, 0.8 MB as text, takes 0.5 to 5 s over these. */
const NARROW_BYTES_PER_MS = [200, 2_000] as const
/** As many times a configuration grows; a published value is at most 1 MB. */
const MAX_GROWTHS = 3

/** Begins a fault; the function that is returned ends it. */
type Begin = (world: World, random: Random) => () => void

const nothing = () => {}

/** Every kind of fault, by name. */
export const FAULT_KINDS: { readonly [name: string]: Begin } = {
	'kill an entry': (world, random) => {
		killProcess(world.record, drawOf(random, world.entries))
		return nothing
	},
	'stop an entry': (world, random) => {
		stopProcess(world.record, drawOf(random, world.entries))
		return nothing
	},
	'stop entries in turn': (world, random) => {
		const gapMs = drawBetween(random, 100, 900)
		for (const [at, entry] of world.entries.entries())
			setTimeout(() => stopProcess(world.record, entry), at * gapMs)
		return nothing
	},
	'freeze an entry': (world, random) =>
		freeze(world, drawOf(random, world.entries)),
	'kill an agent': (world, random) => {
		killProcess(world.record, drawOf(random, world.agents))
		return nothing
	},
	'stop an agent': (world, random) => {
		stopProcess(world.record, drawOf(random, world.agents))
		return nothing
	},
	'freeze an agent': (world, random) =>
		freeze(world, drawOf(random, world.agents)),
	'kill every process': world => {
		world.forgotAt.push(performance.now())
		for (const one of [...world.entries, ...world.agents])
			killProcess(world.record, one)
		return nothing
	},
	'change settings': (world, random) => {
		const one = drawOf(random, [...world.entries, ...world.agents])
		writeSettings(world.options, one, Math.floor(random() * 1_000_000))
		if (random() < 0.7) signalSettings(one)
		return nothing
	},
	'silence a server': (world, random) =>
		spoilServerLink(world, random, relay => cutRelay(relay)),
	'lose what a server is sent': (world, random) =>
		spoilServerLink(world, random, relay => {
			relay.mode = 'deaf'
		}),
	'lose what a server sends': (world, random) =>
		spoilServerLink(world, random, relay => {
			relay.mode = 'mute'
		}),
	'delay a server': (world, random) =>
		spoilServerLink(world, random, relay => {
			relay.delayMs = drawBetween(random, 20, 250)
		}),
	'reset a server': (world, random) =>
		spoilServerLink(world, random, relay => resetRelay(relay)),
	'silence an agent': (world, random) =>
		spoilAgentLink(world, random, cutRelay),
	'reset an agent': (world, random) =>
		spoilAgentLink(world, random, resetRelay),
	'delay an agent': (world, random) =>
		spoilAgentLink(world, random, relay => {
			relay.delayMs = drawBetween(random, 20, 250)
		}),
	'silence the store for one': (world, random) =>
		spoilStoreLink(world, random, cutRelay),
	'delay the store for one': (world, random) =>
		spoilStoreLink(world, random, relay => {
			relay.delayMs = drawBetween(random, 50, 600)
		}),
	'reset the store for one': (world, random) =>
		spoilStoreLink(world, random, resetRelay),
	'narrow the link to the store for one': (world, random) => {
		const relay = drawOf(random, world.storeRelays)
		// No trouble that excuses anything: peers make up for a slow link.
		relay.link = createThrottledLink(
			drawBetween(random, ...NARROW_BYTES_PER_MS),
		)
		return () => {
			relay.link = undefined
		}
	},
	'turn calls to the store away': world => spoilStore(world, 'busy'),
	'reset calls to the store': world => spoilStore(world, 'reset'),
	'silence the store': world => spoilStore(world, 'silent'),
	'forget history': world => {
		world.store.compact()
		return nothing
	},
	'lose orders': (world, random) => {
		world.servers.group.lossRate = drawBetween(random, 0.1, 0.5)
		return () => {
			world.servers.group.lossRate = 0
		}
	},
	'spoil answers': (world, random) => {
		const share = () => (random() < 0.4 ? random() * 0.2 : 0)
		return misbehave(world, random, {
			reset: share(),
			hang: share(),
			cut: share(),
			fail: share(),
			extra: share(),
			slow: 1,
		})
	},
	'slow a server': (world, random) =>
		misbehave(world, random, {
			...behave(),
			slow: drawBetween(random, 2, 12),
		}),
	'crash a server': (world, random) => {
		const backend = drawOf(random, world.servers.all)
		void crash(world, backend, drawBetween(random, ...FAULT_MS))
		return nothing
	},
	'replace a server': (world, random) => {
		const plain = world.servers.all.filter(one => one.rank === undefined)
		void replace(world, drawOf(random, plain))
		return nothing
	},
	'change the configuration': world => {
		publishNext(world)
		return nothing
	},
	'grow the configuration': world => {
		world.growths = Math.min(world.growths + 1, MAX_GROWTHS)
		publishNext(world)
		return nothing
	},
	'change the configuration often': world => {
		for (let at = 0; at < 4; at++) setTimeout(() => publishNext(world), at * 90)
		return nothing
	},
}

/** Draws faults and plays them; resolves when all have ended. */
export async function playFaults(world: World): Promise<void> {
	const { options, record } = world
	const random = createRandom(options.seed)
	const kinds = Object.keys(FAULT_KINDS)
	const names = kinds.filter(name => name.includes(options.only))
	const drawn = Array.from({ length: options.faults }, () => ({
		at: random() * options.faultMs,
		forMs: drawBetween(random, ...FAULT_MS),
		name: drawOf(random, names),
		random: createRandom(Math.floor(random() * 2 ** 31)),
	}))
	await Promise.all(
		drawn.map(async fault => {
			await sleep(fault.at)
			count(record, `fault: ${fault.name}`)
			const end = FAULT_KINDS[fault.name]!(world, fault.random)
			await sleep(fault.forMs)
			end()
		}),
	)
}

function freeze(world: World, managed: Managed): () => void {
	const { child } = managed
	const end = beginTrouble(world.troubles, managed.name)
	child?.kill('SIGSTOP')
	return () => {
		child?.kill('SIGCONT')
		end()
	}
}

function spoilServerLink(
	world: World,
	random: Random,
	spoil: (relay: Relay) => void,
): () => void {
	return spoilRelay(world, drawOf(random, world.serverRelays), EVERYBODY, spoil)
}

function spoilAgentLink(
	world: World,
	random: Random,
	spoil: (relay: Relay) => void,
): () => void {
	return spoilRelay(world, drawOf(random, world.agentRelays), EVERYBODY, spoil)
}

function spoilStoreLink(
	world: World,
	random: Random,
	spoil: (relay: Relay) => void,
): () => void {
	const at = Math.floor(random() * world.storeRelays.length)
	const { name } = [...world.entries, ...world.agents][at]!
	return spoilRelay(world, world.storeRelays[at]!, name, spoil)
}

function spoilRelay(
	world: World,
	relay: Relay,
	who: string,
	spoil: (relay: Relay) => void,
): () => void {
	const end = beginTrouble(world.troubles, who)
	spoil(relay)
	return () => {
		healRelay(relay)
		end()
	}
}

function spoilStore(world: World, mood: World['store']['mode']): () => void {
	const end = beginTrouble(world.troubles, EVERYBODY)
	world.store.mode = mood
	// Watches that wait are cut, as when a store goes down.
	world.store.server.closeAllConnections()
	return () => {
		world.store.mode = 'serve'
		world.store.server.closeAllConnections()
		end()
	}
}

function misbehave(
	world: World,
	random: Random,
	misbehaviour: Misbehaviour,
): () => void {
	const backend = drawOf(random, world.servers.all)
	backend.misbehaviour = misbehaviour
	return () => {
		backend.misbehaviour = behave()
	}
}

/** Ends a server that has run a deadly request. */
export function endUnderRequest(world: World, backend: BackendServer): void {
	void crash(world, backend, DEADLY_DOWN_MS)
}

/** A crash; a rank takes its group with it until it is back. */
async function crash(
	world: World,
	backend: BackendServer,
	downMs: number,
): Promise<void> {
	if (!backend.server) return
	const { servers } = world
	const { id, name } = backend
	crashServer(backend)
	if (backend.rank !== undefined) servers.groupOpen = false
	await sleep(Math.min(downMs, LAPSE_MS))
	unlistServer(world, { id, name })
	await sleep(Math.max(0, downMs - LAPSE_MS))
	if (world.over) return
	await startServer(servers, backend)
	if (backend.rank !== undefined) reformGroup(world)
	listServer(world, backend)
}

/** The group opens anew once all its ranks run. */
function reformGroup(world: World): void {
	const { servers } = world
	const ranks = servers.all.filter(one => one.rank !== undefined)
	if (!ranks.every(one => one.server)) return
	servers.group.reform()
	servers.groupOpen = true
	for (const backend of ranks) listServer(world, backend)
}

/** A server says that it leaves, serves on for a while, ends, and is replaced. */
async function replace(world: World, backend: BackendServer): Promise<void> {
	if (!backend.server || backend.leaving) return
	const { id, name } = backend
	backend.leaving = true
	listServer(world, backend)
	await sleep(SERVES_ON_MS)
	if (world.over || backend.id !== id || !backend.server) return
	crashServer(backend)
	unlistServer(world, { id, name })
	await startServer(world.servers, backend)
	listServer(world, backend)
}

function publishNext(world: World): void {
	const { version, keepsDoomed } = world.published.at(-1)!
	publish(world, version + 1, keepsDoomed && version < 2)
}
