/**
 * Tests the quarantine of poison prompt parts: each server that runs a request with such
 * a part crashes, whatever else the request contains.
 *
 * Guards against requests that share a poison part and are otherwise all different:
 * each of them crashed a server, as evidence was kept only for repetitions of the same
 * request.
 */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { hasPoisonPart, QUIET_POISON_PART } from './crashingServers.ts'
import type { CallerResponse } from './fakeBackends.ts'
import { WIRE } from './fakeBackends.ts'
import { CONTACT_MS } from './openGateway.ts'
import type { World } from './poisonWorld.ts'
import {
	createWorlds,
	openEntry,
	openIsolatedEntry,
	pause,
	send,
} from './poisonWorld.ts'

/** Maximum number of servers that may crash under poison parts. */
const MAX_CRASHES = 5
/** Time between two requests with a poison part, ms. */
const POISON_EVERY_MS = 200
/** Time between two sound requests, ms. */
const SOUND_EVERY_MS = 60
/** Duration of a case, ms. */
const DURATION_MS = 9_000
/** Servers per case; some of them are restarting. */
const SERVERS = 6
/** Cases that run at the same time: entries, servers and callers share one thread. */
const PARALLEL = 4
/** Minimum share of sound requests that are served. */
const MIN_SERVED_SHARE = 0.9
/** The same after the contact time that follows the last crash. */
const MIN_SERVED_SHARE_LATER = 0.99

const openWorld = createWorlds(23_900)

interface PartsCase {
	readonly name: string
	readonly entries: number
	readonly path: string
	/** Shared parts of the prompt of the nth request with a poison part. */
	readonly poison: (n: number) => readonly string[]
	/** Shared parts of the prompt of the nth sound request. */
	readonly sound: (n: number) => readonly string[]
	/** Requests with poison parts that are sent together. */
	readonly together?: number
	/** Sends all requests with poison parts to an entry that starts in the course of it. */
	readonly isNewEntry?: boolean
	/** Whether one more entry has no contact to the others. */
	readonly hasIsolatedEntry?: boolean
}

const SYSTEM_PARTS = ['s0', 's1', 's2', 's3']
const systemPart = (n: number) => SYSTEM_PARTS[n % SYSTEM_PARTS.length]!
const soundParts = (n: number) => [systemPart(n), 'common']
const CASES: readonly PartsCase[] = [
	{
		name: 'one entry',
		entries: 1,
		path: '/o/x',
		poison: n => [systemPart(n), 'dead1'],
		sound: soundParts,
	},
	{
		name: 'three entries',
		entries: 3,
		path: '/o/x',
		poison: n => [systemPart(n), 'dead1'],
		sound: soundParts,
	},
	{
		name: 'the only shared part',
		entries: 3,
		path: '/o/x',
		poison: () => ['dead1'],
		sound: n => [systemPart(n)],
	},
	{
		name: 'the first part, before one that sound requests contain too',
		entries: 3,
		path: '/o/x',
		poison: () => ['dead1', 'common'],
		sound: soundParts,
	},
	{
		name: 'streams',
		entries: 3,
		path: '/s/x',
		poison: n => [systemPart(n), 'dead1'],
		sound: soundParts,
	},
	{
		name: 'requests that entries retry',
		entries: 3,
		path: '/r/x',
		poison: n => [systemPart(n), 'dead1'],
		sound: soundParts,
	},
	{
		name: 'beside a part that few sound requests contain',
		entries: 3,
		path: '/o/x',
		poison: () => ['rare', 'dead1'],
		sound: n => (n % 12 === 0 ? ['rare'] : soundParts(n)),
	},
	{
		name: 'two parts',
		entries: 3,
		path: '/o/x',
		poison: n => [systemPart(n), `dead${n % 2}`],
		sound: soundParts,
	},
	{
		name: 'three parts',
		entries: 3,
		path: '/o/x',
		poison: n => [systemPart(n), `dead${n % 3}`],
		sound: soundParts,
	},
	{
		name: 'two requests at once',
		entries: 3,
		path: '/o/x',
		poison: n => [systemPart(n), 'dead1'],
		sound: soundParts,
		together: 2,
	},
	{
		name: 'an entry that starts later',
		entries: 2,
		path: '/o/x',
		poison: n => [systemPart(n), 'dead1'],
		sound: soundParts,
		isNewEntry: true,
	},
	{
		name: 'an entry that is cut off from the others',
		entries: 2,
		path: '/o/x',
		poison: n => [systemPart(n), 'dead1'],
		sound: soundParts,
		hasIsolatedEntry: true,
	},
	{
		name: 'streams that end with the connections of the servers that crash',
		entries: 3,
		path: '/s/x',
		poison: n => [systemPart(n), QUIET_POISON_PART],
		sound: soundParts,
	},
]

/** Sends a request whose body and last prompt part no other request has. */
function sendUnlike(
	world: World,
	path: string,
	parts: readonly string[],
	n: number,
	name: string,
	entryAt = n,
): Promise<CallerResponse> {
	const { entries } = world
	const prompt = [...parts, `own-${name}-${n}`].join()
	return send(entries[entryAt % entries.length]!, path, `${name} ${n}`, {
		[WIRE.promptParts]: prompt,
	})
}

/** A sound request and its result. */
interface SoundResult {
	readonly sentAt: number
	readonly status: number
}

async function sendSound(
	world: World,
	one: PartsCase,
	endAt: number,
): Promise<SoundResult[]> {
	const results: Promise<SoundResult>[] = []
	for (let n = 0; performance.now() < endAt; n++) {
		const sentAt = performance.now()
		const response = sendUnlike(world, one.path, one.sound(n), n, 'sound')
		results.push(response.then(({ status }) => ({ sentAt, status })))
		await pause(SOUND_EVERY_MS)
	}
	return await Promise.all(results)
}

async function sendPoison(
	world: World,
	{ path, poison, together = 1, isNewEntry }: PartsCase,
	endAt: number,
): Promise<void> {
	const restartAt = performance.now() + (endAt - performance.now()) / 3
	const responses: Promise<unknown>[] = []
	let newest: number | undefined
	for (let n = 0; performance.now() < endAt; n += together) {
		if (isNewEntry && newest === undefined && performance.now() > restartAt) {
			await openEntry(world)
			newest = world.entries.length - 1
		}
		for (let at = n; at < n + together; at++)
			responses.push(sendUnlike(world, path, poison(at), at, 'bad', newest))
		await pause(POISON_EVERY_MS * together)
	}
	await Promise.all(responses)
}

function servedShare(results: readonly SoundResult[]): number {
	const served = results.filter(({ status }) => status === 200)
	return served.length / results.length
}

/** Runs a case and describes the violations of its bounds. */
async function findFaults(one: PartsCase): Promise<string[]> {
	const world = await openWorld(one.entries, SERVERS)
	if (one.hasIsolatedEntry) await openIsolatedEntry(world)
	const { crashes, runs } = world.servers
	// Sound requests are served before the first poison part arrives.
	await sendSound(world, one, performance.now() + 600)
	const endAt = performance.now() + DURATION_MS
	const [sound] = await Promise.all([
		sendSound(world, one, endAt),
		sendPoison(world, one, endAt),
	])
	world.servers.close()
	const lastAt = crashes[MAX_CRASHES - 1]?.at ?? crashes.at(-1)?.at ?? 0
	const knownAt = lastAt + CONTACT_MS
	const late = runs.filter(run => hasPoisonPart(run.parts) && run.at > knownAt)
	const share = servedShare(sound)
	const shareLater = servedShare(sound.filter(({ sentAt }) => sentAt > knownAt))
	const faults: string[] = []
	if (crashes.length > MAX_CRASHES) faults.push(`${crashes.length} crashes`)
	if (late.length > 0) faults.push(`${late.length} late sends`)
	if (share < MIN_SERVED_SHARE) faults.push(`${share} of sound ones served`)
	if (shareLater < MIN_SERVED_SHARE_LATER)
		faults.push(`${shareLater} of sound ones served later`)
	return faults.map(fault => `${one.name}: ${fault}`)
}

test('poison prompt parts crash at most five servers and sound requests are served', async () => {
	const faults: string[] = []
	for (let at = 0; at < CASES.length; at += PARALLEL) {
		const cases = CASES.slice(at, at + PARALLEL)
		faults.push(...(await Promise.all(cases.map(findFaults))).flat())
	}
	assert.equal(faults, [])
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
