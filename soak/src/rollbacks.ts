/**
 * Rollbacks of the store: it is unreachable for a moment, returns with an older copy
 * that lacks some changes, and the writers of the missing values write them again.
 */

import { createRandom } from '@juniperhook/core'
import { ALL_VMS, beginDisturbance } from './disturbances.ts'
import { count, randomBetween, sleep } from './types.ts'
import type { World } from './world.ts'

/** Range of times between rollbacks, ms. */
const PAUSE_MS = [800, 5_000] as const
/** Range of times during which the store is unreachable, ms. */
const OUTAGE_MS = [50, 700] as const
/** Range of delays until a value is written again, ms. */
const REWRITE_MS = [0, 1_800] as const
const MAX_LOST_CHANGES = 20

/** Rolls the store back repeatedly until the soak ends. */
export async function injectRollbacks(world: World): Promise<void> {
	const { store, record, disturbances, options } = world
	const random = createRandom(options.seed + 4)
	while (!world.finished) {
		await sleep(randomBetween(random, ...PAUSE_MS))
		if (world.finished || store.mode !== 'serve') continue
		count(record, 'store rollbacks')
		const lostChanges = Math.ceil(random() * MAX_LOST_CHANGES)
		const end = beginDisturbance(disturbances, ALL_VMS)
		const before = [...store.items.keys()]
		store.mode = 'reset'
		store.rollBack(Math.max(1, store.revision - lostChanges))
		const keys = new Set([...before, ...store.items.keys()])
		await sleep(randomBetween(random, ...OUTAGE_MS))
		store.mode = 'serve'
		end()
		for (const key of keys)
			setTimeout(
				() => rewrite(world, key),
				randomBetween(random, ...REWRITE_MS),
			)
	}
}

/** Writes a key's last value again if the store lacks it. */
function rewrite({ store, lastWritten }: World, key: string): void {
	const value = lastWritten.get(key)
	if (store.items.get(key)?.value !== value) store.put(key, value)
}
