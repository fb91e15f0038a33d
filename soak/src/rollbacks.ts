/**
 * The store goes back: it is away for a moment, comes back from a copy some changes old,
 * and whoever wrote something that it lacks writes that again.
 */

import { createRandom } from '@juniperhook/core'
import { beginTrouble, EVERYBODY } from './disturbances.ts'
import { count, drawBetween, sleep } from './types.ts'
import type { World } from './world.ts'

const PAUSE_MS = [800, 5_000] as const
const AWAY_MS = [50, 700] as const
/** Until each value is written again, ms. */
const REWRITE_MS = [0, 1_800] as const
const MOST_CHANGES = 20

/** Lets the store go back again and again, until the soak is over. */
export async function playRewinds(world: World): Promise<void> {
	const { store, record, troubles, options } = world
	const random = createRandom(options.seed + 4)
	while (!world.over) {
		await sleep(drawBetween(random, ...PAUSE_MS))
		if (world.over || store.mode !== 'serve') continue
		count(record, 'times the store went back')
		const back = Math.ceil(random() * MOST_CHANGES)
		const end = beginTrouble(troubles, EVERYBODY)
		const before = [...store.items.keys()]
		store.mode = 'reset'
		store.rollBack(Math.max(1, store.revision - back))
		const keys = new Set([...before, ...store.items.keys()])
		await sleep(drawBetween(random, ...AWAY_MS))
		store.mode = 'serve'
		end()
		for (const key of keys)
			setTimeout(() => rewrite(world, key), drawBetween(random, ...REWRITE_MS))
	}
}

/** The writer of a key looks whether the store has what it wrote last. */
function rewrite({ store, written }: World, key: string): void {
	const value = written.get(key)
	if (store.items.get(key)?.value !== value) store.put(key, value)
}
