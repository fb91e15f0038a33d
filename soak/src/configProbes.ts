/** Requests that show which configuration is in force at an entry. */

import type { Turn } from './call.ts'
import { openCall, sendCall } from './call.ts'
import { addedPath, DOOMED_KEY, PREFIX_OF, TEAM_OF_KEY } from './config.ts'
import type { Got } from './checks.ts'
import type { Managed } from './processes.ts'
import { isCalm } from './disturbances.ts'
import { breakPromise, count, drawOf } from './types.ts'
import type { World } from './world.ts'

/** Part of these requests with a key that is taken away. */
const DOOMED_PART = 0.33
/** A configuration is in force within this time, ms. */
const CONFIG_MS = 2_000
/** An older one may be seen by requests that cross a newer, ms. */
const CROSSING_MS = 250

/** Highest version that each life of an entry has shown. */
const seen = new Map<string, { version: number; at: number }>()

/** Asks on the route of a version, or with a key that is taken away. */
export async function probe(turn: Turn): Promise<Got> {
	const { world, entry, id, random } = turn
	const { record, published } = world
	if (random() < DOOMED_PART) return await probeKey(turn)
	const target = drawOf(random, published.slice(-3))
	const path = `${addedPath(target.version)}${id}`
	const key = drawOf(random, Object.keys(TEAM_OF_KEY))
	const call = openCall(turn, 'repeatable', path, key)
	const got = await sendCall(turn, call)
	count(record, `probes with ${got.status}`)
	const life = `${world.options.seed} ${entry.name} ${call.asked.life}`
	const known = seen.get(life)
	const { sentAt } = call.asked
	const wasSame = entry.life === call.asked.life
	if (got.status === 404 && wasSame) {
		if (
			known &&
			known.version >= target.version &&
			known.at + CROSSING_MS < sentAt
		)
			breakPromise(record, 'CONFIG', `${entry.name} went back: ${path}`)
		if (isInForce(world, entry, target.at, sentAt))
			breakPromise(record, 'CONFIG', `${entry.name} does not know ${path}`)
	}
	const isNews = got.status === 200 && target.version > (known?.version ?? 0)
	if (isNews && wasSame)
		seen.set(life, { version: target.version, at: performance.now() })
	return got
}

async function probeKey(turn: Turn): Promise<Got> {
	const { world, entry, id } = turn
	const path = `${PREFIX_OF.repeatable}${id}`
	const call = openCall(turn, 'repeatable', path, DOOMED_KEY)
	const got = await sendCall(turn, call)
	const taken = world.published.find(one => !one.keepsDoomed)
	const { sentAt } = call.asked
	const isOver = taken && isInForce(world, entry, taken.at, sentAt)
	if (got.status === 200 && isOver)
		breakPromise(
			world.record,
			'ROUTE',
			`${entry.name} takes a key that is gone`,
		)
	return got
}

/** Whether something published at `at` must be in force at an entry. */
function isInForce(
	world: World,
	entry: Managed,
	at: number,
	sentAt: number,
): boolean {
	const isDue = sentAt > at + CONFIG_MS
	return (
		world.options.timed &&
		isDue &&
		isCalm(world.troubles, entry.name, at, sentAt)
	)
}
