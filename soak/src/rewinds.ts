/**
 * The store goes back: it is away for a moment, comes back from a copy some changes old,
 * and whoever wrote something that it lacks writes that again.
 */

import { createRandom } from '@juniperhook/core'
import { ALL_VMS, beginDisturbance } from './trouble.ts'
import { count, randomBetween, sleep } from './types.ts'
import type { World } from './world.ts'

const PAUSE_MS = [800, 5_000] as const
const OUTAGE_MS = [50, 700] as const
/** Until each value is written again, ms. */
const REWRITE_MS = [0, 1_800] as const
const MAX_LOST_CHANGES = 20

/** Lets the store go back again and again, until the soak is over. */
export async function injectRollbacks(world: World): Promise<void> {
	const { store, record, disturbances, options } = world
	const random = createRandom(options.seed + 4)
	while (!world.finished) {
		await sleep(randomBetween(random, ...PAUSE_MS))
		if (world.finished || store.mood !== 'serve') continue
		count(record, 'times the store went back')
		const back = Math.ceil(random() * MAX_LOST_CHANGES)
		const end = beginDisturbance(disturbances, ALL_VMS)
		const before = [...store.items.keys()]
		store.mood = 'reset'
		store.rewind(Math.max(1, store.revision - back))
		const keys = new Set([...before, ...store.items.keys()])
		await sleep(randomBetween(random, ...OUTAGE_MS))
		store.mood = 'serve'
		end()
		for (const key of keys)
			setTimeout(
				() => rewrite(world, key),
				randomBetween(random, ...REWRITE_MS),
			)
	}
}

/** The writer of a key looks whether the store has what it wrote last. */
function rewrite({ store, lastWritten }: World, key: string): void {
	const value = lastWritten.get(key)
	if (store.items.get(key)?.value !== value) store.put(key, value)
}
