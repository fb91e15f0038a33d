import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { LocatedNode } from '../src/index.ts'
import { MIN_ENTRIES_PER_SERVER, pickSubset } from '../src/index.ts'

function createNodes(
	kind: string,
	count: number,
	centres: number,
): LocatedNode[] {
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
	/** Maximum number of servers that an entry may be linked to. */
	maxServers: number
}[] = [
	{
		name: 'the current size',
		entries: 3,
		servers: 16,
		centres: 3,
		maxServers: 16,
	},
	{
		name: 'a tenth of the planned size',
		entries: 33,
		servers: 390,
		centres: 4,
		maxServers: 110,
	},
	{
		name: 'one of nine models',
		entries: 330,
		servers: 433,
		centres: 17,
		maxServers: 40,
	},
	{
		name: 'the size planned for in two years',
		entries: 330,
		servers: 3_900,
		centres: 17,
		maxServers: 110,
	},
]

for (const { name, entries, servers, centres, maxServers } of CASES)
	test(`subset, ${name}: every server is linked, no entry has too many links`, () => {
		const fleet = createNodes('entry', entries, centres)
		const pool = createNodes('server', servers, centres)
		const links = new Map<string, number>()
		for (const entry of fleet) {
			const subset = pickSubset(entry.name, fleet, pool)
			assert.ok(subset.length > 0, `${entry.name} has no links`)
			assert.ok(
				subset.length <= maxServers,
				`${entry.name}: ${subset.length} links`,
			)
			for (const server of subset)
				links.set(server, (links.get(server) ?? 0) + 1)
		}
		const minLinks = Math.min(entries, MIN_ENTRIES_PER_SERVER / 2)
		for (const server of pool)
			assert.ok((links.get(server.name) ?? 0) >= minLinks, server.name)
	})

test('subset: an entry that is not listed is linked to all servers', () => {
	const pool = createNodes('server', 100, 2)
	assert.is(pickSubset('new', createNodes('entry', 5, 2), pool).length, 100)
})

test.run()
