import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LocatedNode } from '../src/index.ts'
import { MIN_ENTRIES_PER_SERVER, pickSubset } from '../src/index.ts'

function place(kind: string, count: number, centres: number): LocatedNode[] {
	return Array.from({ length: count }, (_, n) => ({
		name: `${kind}-${n}`,
		dataCentre: `dc-${n % centres}`,
	}))
}

const CASES: {
	name: string
	entries: number
	servers: number
	centres: number
	/** Most servers that an entry may see. */
	most: number
}[] = [
	{ name: "today's size", entries: 3, servers: 16, centres: 3, most: 16 },
	{ name: 'a tenth', entries: 33, servers: 390, centres: 4, most: 110 },
	{
		name: 'one model of nine',
		entries: 330,
		servers: 433,
		centres: 17,
		most: 40,
	},
	{ name: 'two years', entries: 330, servers: 3_900, centres: 17, most: 110 },
]

for (const { name, entries, servers, centres, most } of CASES)
	test(`subset, ${name}: every server is seen, no entry sees too many`, () => {
		const fleet = place('entry', entries, centres)
		const pool = place('server', servers, centres)
		const seen = new Map<string, number>()
		for (const entry of fleet) {
			const subset = pickSubset(entry.name, fleet, pool)
			assert.ok(subset.length > 0, `${entry.name} sees none`)
			assert.ok(subset.length <= most, `${entry.name} sees ${subset.length}`)
			for (const server of subset) seen.set(server, (seen.get(server) ?? 0) + 1)
		}
		const least = Math.min(entries, MIN_ENTRIES_PER_SERVER / 2)
		for (const server of pool)
			assert.ok((seen.get(server.name) ?? 0) >= least, server.name)
	})

test('subset: an entry that the list does not know sees all', () => {
	const pool = place('server', 100, 2)
	assert.is(pickSubset('new', place('entry', 5, 2), pool).length, 100)
})

test.run()
