/**
 * The store goes back: it is away for a moment, comes back from a copy some changes old,
 * and what was written since is written again.
 */

import { createRandom } from '@juniperhook/core'
import type { StandInStore } from '../../platform/test/standInStore.ts'
import { beginTrouble, EVERYBODY } from './trouble.ts'
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
		if (world.over || store.mood !== 'serve') continue
		count(record, 'times the store went back')
		const back = Math.ceil(random() * MOST_CHANGES)
		const end = beginTrouble(troubles, EVERYBODY)
		const before = new Map(store.items)
		store.mood = 'reset'
		store.rewind(Math.max(1, store.revision - back))
		const rewrites = listRewrites(store, before)
		await sleep(drawBetween(random, ...AWAY_MS))
		store.mood = 'serve'
		end()
		for (const rewrite of rewrites)
			setTimeout(rewrite, drawBetween(random, ...REWRITE_MS))
	}
}

/** What writes again what a copy lacks, unless something newer was written by then. */
function listRewrites(
	store: StandInStore,
	before: StandInStore['items'],
): (() => void)[] {
	const keys = new Set([...before.keys(), ...store.items.keys()])
	return [...keys].map(key => {
		const value = before.get(key)?.value
		const copied = store.items.get(key)?.value
		return () => {
			if (value === copied || store.items.get(key)?.value !== copied) return
			store.put(key, value)
		}
	})
}
