/**
 * `npm run soak -- --seeds N`: runs soaks with consecutive seeds and prints the counts
 * of each and every broken promise.
 */

import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { parseArgs } from 'node:util'
import { runSoak } from './soak.ts'
import type { SoakOptions, SoakRecord } from './types.ts'

const { values } = parseArgs({
	options: {
		seed: { type: 'string', default: String(Date.now() % 1_000_000) },
		seeds: { type: 'string', default: '1' },
		entries: { type: 'string', default: '3' },
		ranks: { type: 'string', default: '4' },
		plain: { type: 'string', default: '3' },
		clients: { type: 'string', default: '16' },
		seconds: { type: 'string', default: '15' },
		faults: { type: 'string', default: '14' },
		net: { type: 'string', default: '9' },
		only: { type: 'string', default: '' },
		harmless: { type: 'boolean', default: false },
		unlimited: { type: 'boolean', default: false },
		restless: { type: 'boolean', default: false },
		steady: { type: 'boolean', default: false },
		settled: { type: 'boolean', default: false },
		unstopped: { type: 'boolean', default: false },
		unreplaced: { type: 'boolean', default: false },
		verbose: { type: 'boolean', default: false },
	},
})

function optionsFor(seed: number): SoakOptions {
	return {
		seed,
		entries: Number(values.entries),
		ranks: Number(values.ranks),
		plainServers: Number(values.plain),
		clients: Number(values.clients),
		faultPhaseMs: Number(values.seconds) * 1_000,
		faults: Number(values.faults),
		net: Number(values.net),
		faultFilter: values.only,
		poisonRequest: !values.harmless,
		poisonPart: !values.harmless,
		rateLimits: !values.unlimited,
		backoffs: !values.restless,
		rollbacks: !values.steady,
		evacuations: !values.settled,
		stops: !values.unstopped,
		takeovers: !values.unreplaced,
		checksTiming: true,
		folder: join(tmpdir(), 'juniperhook-soak', `seed-${seed}`),
	}
}

function print(options: SoakOptions, record: SoakRecord): void {
	const { counts, violations } = record
	const get = (label: string) => counts.get(label) ?? 0
	const faults = [...counts].filter(([label]) => label.startsWith('fault: '))
	const line = [
		`seed ${options.seed}`,
		`${faults.reduce((sum, [, times]) => sum + times, 0)} faults`,
		`${record.requests.size} requests`,
		`${get('answers with 200')} served`,
		`${get('served after recovery')} of ${get('requests after recovery')} after recovery`,
		`${violations.length} promises broken`,
	]
	process.stdout.write(`${line.join(', ')}\n`)
	for (const one of violations.slice(0, 12)) process.stdout.write(`  ${one}\n`)
	if (violations.length > 0) process.stdout.write(`  logs: ${options.folder}\n`)
	if (!values.verbose && violations.length === 0) return
	for (const [label, times] of [...counts].sort())
		process.stdout.write(`    ${label}: ${times}\n`)
}

const first = Number(values.seed)
let failed = 0
for (let seed = first; seed < first + Number(values.seeds); seed++) {
	const options = optionsFor(seed)
	const record = await runSoak(options)
	print(options, record)
	if (record.violations.length > 0) failed++
}
process.stdout.write(`${values.seeds} seeds, ${failed} with broken promises\n`)
process.exit(failed === 0 ? 0 : 1)
