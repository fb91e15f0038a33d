/**
 * Faults that a soak injects. Each kind starts a fault and returns the function that
 * ends it. Kinds, times and durations are drawn from the seed; faults may overlap.
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
import { ALL_VMS, beginDisturbance } from './disturbances.ts'
import { POISON_DOWNTIME_MS } from './poisonRequest.ts'
import type { ManagedProcess } from './processes.ts'
import {
	killProcess,
	signalSettingsChange,
	stopProcess,
	writeSettings,
} from './processes.ts'
import type { BackendServer, Misbehaviour } from './servers.ts'
import { crashServer, noMisbehaviour, startServer } from './servers.ts'
import { count, randomBetween, randomItem, sleep } from './types.ts'
import type { World } from './world.ts'
import { listServer, publish, unlistServer } from './world.ts'

/**
 * Time for which a leaving server goes on serving, ms. It exceeds the time for which
 * entries may send it requests, so that a request sent too late is detected.
 */
const LEAVING_SERVE_MS = 4_500
/** Time after a crash until the server's record expires, ms. */
const RECORD_EXPIRY_MS = 900
/** Range of durations of a fault, ms. */
const FAULT_MS = [300, 3_500] as const
/**
 * Range of bandwidths of throttled links; the largest configuration (0.8 MB) takes 0.5
 * to 5 s over them.
 */
const THROTTLED_BYTES_PER_MS = [200, 2_000] as const
/** Limit on growths of the configuration: a published value has at most 1 MB. */
const MAX_GROWTHS = 3

/** Starts a fault and returns the function that ends it. */
type StartFault = (world: World, random: Random) => () => void

const noop = () => {}

/** Kinds of faults by name. */
export const FAULT_KINDS: { readonly [name: string]: StartFault } = {
	'kill an entry': (world, random) => {
		killProcess(world.record, randomItem(random, world.entries))
		return noop
	},
	'stop an entry': (world, random) => {
		stopProcess(world.record, randomItem(random, world.entries))
		return noop
	},
	'stop entries in turn': (world, random) => {
		const gapMs = randomBetween(random, 100, 900)
		for (const [index, entry] of world.entries.entries())
			setTimeout(() => stopProcess(world.record, entry), index * gapMs)
		return noop
	},
	'freeze an entry': (world, random) =>
		freeze(world, randomItem(random, world.entries)),
	'kill an agent': (world, random) => {
		killProcess(world.record, randomItem(random, world.agents))
		return noop
	},
	'stop an agent': (world, random) => {
		stopProcess(world.record, randomItem(random, world.agents))
		return noop
	},
	'freeze an agent': (world, random) =>
		freeze(world, randomItem(random, world.agents)),
	'kill every process': world => {
		world.evidenceLostAt.push(performance.now())
		for (const one of [...world.entries, ...world.agents])
			killProcess(world.record, one)
		return noop
	},
	'change settings': (world, random) => {
		const one = randomItem(random, [...world.entries, ...world.agents])
		writeSettings(world.options, one, Math.floor(random() * 1_000_000))
		if (random() < 0.7) signalSettingsChange(one)
		return noop
	},
	'silence a server': (world, random) =>
		disturbServerLink(world, random, relay => cutRelay(relay)),
	'lose what a server is sent': (world, random) =>
		disturbServerLink(world, random, relay => {
			relay.mode = 'deaf'
		}),
	'lose what a server sends': (world, random) =>
		disturbServerLink(world, random, relay => {
			relay.mode = 'mute'
		}),
	'delay a server': (world, random) =>
		disturbServerLink(world, random, relay => {
			relay.delayMs = randomBetween(random, 20, 250)
		}),
	'reset a server': (world, random) =>
		disturbServerLink(world, random, relay => resetRelay(relay)),
	'silence an agent': (world, random) =>
		disturbAgentLink(world, random, cutRelay),
	'reset an agent': (world, random) =>
		disturbAgentLink(world, random, resetRelay),
	'delay an agent': (world, random) =>
		disturbAgentLink(world, random, relay => {
			relay.delayMs = randomBetween(random, 20, 250)
		}),
	'silence the store for one': (world, random) =>
		disturbStoreLink(world, random, cutRelay),
	'delay the store for one': (world, random) =>
		disturbStoreLink(world, random, relay => {
			relay.delayMs = randomBetween(random, 50, 600)
		}),
	'reset the store for one': (world, random) =>
		disturbStoreLink(world, random, resetRelay),
	'narrow the link to the store for one': (world, random) => {
		const relay = randomItem(random, world.storeRelays)
		// Not recorded as a disturbance, as entries pull the configuration from peers.
		relay.link = createThrottledLink(
			randomBetween(random, ...THROTTLED_BYTES_PER_MS),
		)
		return () => {
			relay.link = undefined
		}
	},
	'turn calls to the store away': world => disturbStore(world, 'busy'),
	'reset calls to the store': world => disturbStore(world, 'reset'),
	'silence the store': world => disturbStore(world, 'silent'),
	'forget history': world => {
		world.store.compact()
		return noop
	},
	'lose orders': (world, random) => {
		world.servers.group.lossRate = randomBetween(random, 0.1, 0.5)
		return () => {
			world.servers.group.lossRate = 0
		}
	},
	'spoil answers': (world, random) => {
		const ratio = () => (random() < 0.4 ? random() * 0.2 : 0)
		return injectMisbehaviour(world, random, {
			reset: ratio(),
			hang: ratio(),
			cut: ratio(),
			fail: ratio(),
			extra: ratio(),
			slow: 1,
		})
	},
	'slow a server': (world, random) =>
		injectMisbehaviour(world, random, {
			...noMisbehaviour(),
			slow: randomBetween(random, 2, 12),
		}),
	'crash a server': (world, random) => {
		const backend = randomItem(random, world.servers.all)
		void crashAndRestart(world, backend, randomBetween(random, ...FAULT_MS))
		return noop
	},
	'replace a server': (world, random) => {
		const plain = world.servers.all.filter(one => one.rank === undefined)
		void replaceServer(world, randomItem(random, plain))
		return noop
	},
	'change the configuration': world => {
		publishNext(world)
		return noop
	},
	'grow the configuration': world => {
		world.growths = Math.min(world.growths + 1, MAX_GROWTHS)
		publishNext(world)
		return noop
	},
	'change the configuration often': world => {
		for (let n = 0; n < 4; n++) setTimeout(() => publishNext(world), n * 90)
		return noop
	},
}

/** Draws faults from the seed and injects them; resolves when all have ended. */
export async function injectFaults(world: World): Promise<void> {
	const { options, record } = world
	const random = createRandom(options.seed)
	const kinds = Object.keys(FAULT_KINDS)
	const names = kinds.filter(name => name.includes(options.faultFilter))
	const drawn = Array.from({ length: options.faults }, () => ({
		at: random() * options.faultPhaseMs,
		forMs: randomBetween(random, ...FAULT_MS),
		name: randomItem(random, names),
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

function freeze(world: World, managed: ManagedProcess): () => void {
	const { child } = managed
	const end = beginDisturbance(world.disturbances, managed.name)
	child?.kill('SIGSTOP')
	return () => {
		child?.kill('SIGCONT')
		end()
	}
}

function disturbServerLink(
	world: World,
	random: Random,
	disturb: (relay: Relay) => void,
): () => void {
	return disturbRelay(
		world,
		randomItem(random, world.serverRelays),
		ALL_VMS,
		disturb,
	)
}

function disturbAgentLink(
	world: World,
	random: Random,
	disturb: (relay: Relay) => void,
): () => void {
	return disturbRelay(
		world,
		randomItem(random, world.agentRelays),
		ALL_VMS,
		disturb,
	)
}

function disturbStoreLink(
	world: World,
	random: Random,
	disturb: (relay: Relay) => void,
): () => void {
	const at = Math.floor(random() * world.storeRelays.length)
	const { name } = [...world.entries, ...world.agents][at]!
	return disturbRelay(world, world.storeRelays[at]!, name, disturb)
}

function disturbRelay(
	world: World,
	relay: Relay,
	vm: string,
	disturb: (relay: Relay) => void,
): () => void {
	const end = beginDisturbance(world.disturbances, vm)
	disturb(relay)
	return () => {
		healRelay(relay)
		end()
	}
}

function disturbStore(world: World, mode: World['store']['mode']): () => void {
	const end = beginDisturbance(world.disturbances, ALL_VMS)
	world.store.mode = mode
	// Closes waiting watches, as a store that goes down does.
	world.store.server.closeAllConnections()
	return () => {
		world.store.mode = 'serve'
		world.store.server.closeAllConnections()
		end()
	}
}

function injectMisbehaviour(
	world: World,
	random: Random,
	misbehaviour: Misbehaviour,
): () => void {
	const backend = randomItem(random, world.servers.all)
	backend.misbehaviour = misbehaviour
	return () => {
		backend.misbehaviour = noMisbehaviour()
	}
}

/** Crashes a server that has run the poison request. */
export function crashUnderPoisonRequest(
	world: World,
	backend: BackendServer,
): void {
	void crashAndRestart(world, backend, POISON_DOWNTIME_MS)
}

/** Crashes a server and restarts it; the crash of a rank breaks its group until then. */
async function crashAndRestart(
	world: World,
	backend: BackendServer,
	downMs: number,
): Promise<void> {
	if (!backend.server) return
	const { servers } = world
	const { id, name } = backend
	crashServer(backend)
	if (backend.rank !== undefined) servers.groupOpen = false
	await sleep(Math.min(downMs, RECORD_EXPIRY_MS))
	unlistServer(world, { id, name })
	await sleep(Math.max(0, downMs - RECORD_EXPIRY_MS))
	if (world.finished) return
	await startServer(servers, backend)
	if (backend.rank !== undefined) reformGroup(world)
	listServer(world, backend)
}

/** Re-forms the group with a new epoch if all its ranks run. */
function reformGroup(world: World): void {
	const { servers } = world
	const ranks = servers.all.filter(one => one.rank !== undefined)
	if (!ranks.every(one => one.server)) return
	servers.group.reform()
	servers.groupOpen = true
	for (const backend of ranks) listServer(world, backend)
}

/** Replaces a server: it announces that it leaves, serves on for a while and stops. */
async function replaceServer(
	world: World,
	backend: BackendServer,
): Promise<void> {
	if (!backend.server || backend.leaving) return
	const { id, name } = backend
	backend.leaving = true
	listServer(world, backend)
	await sleep(LEAVING_SERVE_MS)
	if (world.finished || backend.id !== id || !backend.server) return
	crashServer(backend)
	unlistServer(world, { id, name })
	await startServer(world.servers, backend)
	listServer(world, backend)
}

function publishNext(world: World): void {
	const { version, keepsRevokedKey } = world.published.at(-1)!
	publish(world, version + 1, keepsRevokedKey && version < 2)
}
