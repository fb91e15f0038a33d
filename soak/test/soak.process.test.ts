/**
 * A short soak with fixed seeds. Promises with a time bound are left to the
 * runs by hand (`npm run soak`): CI's machine may be busy.
 */

import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runSoak } from '../src/soak.ts'

/** As runs by hand are, which found the fault. */
const BY_HAND = {
	deadly: true,
	limited: true,
	rests: false,
	rewinds: true,
	clients: 16,
	faultMs: 15_000,
	faults: 14,
}

/**
 * Seeds that are always run: one at random, then each that ever found a fault,
 * with a line on its cause.
 */
const SEEDS: {
	readonly seed: number
	readonly cause: string
	readonly deadly?: boolean
	readonly limited?: boolean
	readonly rests?: boolean
	readonly rewinds?: boolean
	readonly clients?: number
	readonly faultMs?: number
	readonly faults?: number
}[] = [
	{ seed: 7, cause: 'none: a first one' },
	{ seed: 8, cause: 'none: with a request that ends servers', deadly: true },
	{ seed: 9, cause: 'none: with servers that name limits', limited: true },
	{ seed: 11, cause: 'none: with servers that rest', rests: true },
	{ seed: 10, cause: 'none: with a store that goes back', rewinds: true },
	{ seed: 3016, cause: 'two copies within two seconds', ...BY_HAND },
	{ seed: 3022, cause: 'two copies within two seconds', ...BY_HAND },
]

for (const { seed, cause, ...what } of SEEDS)
	test(`soak: seed ${seed} (${cause}) breaks no promise`, async () => {
		const record = await runSoak({
			seed,
			entries: 3,
			ranks: 4,
			plainServers: 3,
			clients: what.clients ?? 8,
			faultPhaseMs: what.faultMs ?? 6_000,
			faults: what.faults ?? 10,
			net: 14,
			faultFilter: '',
			poisonRequest: what.deadly ?? false,
			rateLimits: what.limited ?? false,
			backoffs: what.rests ?? false,
			rollbacks: what.rewinds ?? false,
			checksTiming: false,
			folder: join(tmpdir(), 'juniperhook-soak', `test-${seed}`),
		})
		assert.equal(record.violations, [])
		assert.ok(record.requests.size > 100, `${record.requests.size} requests`)
	})

test.after(() => {
	setImmediate(() => process.exit())
})
test.run()
