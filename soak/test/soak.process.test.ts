/**
 * Short soaks with fixed seeds. Promises with a time bound are checked only in manual
 * runs (`npm run soak`), as CI's machine may be busy.
 */

import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { runSoak } from '../src/soak.ts'

/** Options of the manual runs that found the fault. */
const MANUAL_RUN = {
	poisonRequest: true,
	rateLimits: true,
	backoffs: false,
	rollbacks: true,
	clients: 16,
	faultPhaseMs: 15_000,
	faults: 14,
}

/**
 * Seeds that are always run: one for each kind of soak, then each seed that has found a
 * fault, with its cause.
 */
const SEEDS: {
	readonly seed: number
	readonly cause: string
	readonly poisonRequest?: boolean
	readonly poisonPart?: boolean
	readonly rateLimits?: boolean
	readonly backoffs?: boolean
	readonly rollbacks?: boolean
	readonly evacuations?: boolean
	readonly stops?: boolean
	readonly takeovers?: boolean
	readonly clients?: number
	readonly faultPhaseMs?: number
	readonly faults?: number
}[] = [
	{ seed: 7, cause: 'none: a first one' },
	{ seed: 8, cause: 'none: with a poison request', poisonRequest: true },
	{ seed: 13, cause: 'none: with a poison prompt part', poisonPart: true },
	{ seed: 9, cause: 'none: with servers that report limits', rateLimits: true },
	{
		seed: 11,
		cause: 'none: with servers that request backoffs',
		backoffs: true,
	},
	{
		seed: 10,
		cause: 'none: with a store that is rolled back',
		rollbacks: true,
	},
	{
		seed: 12,
		cause: 'none: with data centres that are emptied',
		evacuations: true,
		faultPhaseMs: 9_000,
	},
	{
		seed: 14,
		cause: 'none: with entries that are stopped again and answers forged',
		stops: true,
		faultPhaseMs: 12_000,
	},
	{
		seed: 15,
		cause: 'none: with successors beside predecessors, and settings away',
		takeovers: true,
		faultPhaseMs: 12_000,
	},
	{
		seed: 3016,
		cause: 'two store rollbacks within two seconds',
		...MANUAL_RUN,
	},
	{
		seed: 3022,
		cause: 'two store rollbacks within two seconds',
		...MANUAL_RUN,
	},
]

for (const { seed, cause, ...options } of SEEDS)
	test(`soak: seed ${seed} (${cause}) breaks no promise`, async () => {
		const record = await runSoak({
			seed,
			entries: 3,
			ranks: 4,
			plainServers: 3,
			clients: options.clients ?? 8,
			faultPhaseMs: options.faultPhaseMs ?? 6_000,
			faults: options.faults ?? 10,
			net: 14,
			faultFilter: '',
			poisonRequest: options.poisonRequest ?? false,
			poisonPart: options.poisonPart ?? false,
			rateLimits: options.rateLimits ?? false,
			backoffs: options.backoffs ?? false,
			rollbacks: options.rollbacks ?? false,
			evacuations: options.evacuations ?? false,
			stops: options.stops ?? false,
			takeovers: options.takeovers ?? false,
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
