/** Tests the topology: messages reach all entries, and no entry has too many links. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { chooseLinks, MAX_LINKS } from '../src/index.ts'

/** Number of entries that a coordinator sends its report to. */
const SEEDS = 3

const FLEETS = [
	{ entries: 4, hops: 1 },
	{ entries: 36, hops: 1 },
	{ entries: 41, hops: 1 },
	{ entries: 330, hops: 3 },
]

function addressesOf(entries: number): string[] {
	return Array.from({ length: entries }, (_, at) => `10.${at % 5}.0.${at}:8229`)
}

/** Counts the hops until a message sent to the first entries has reached all. */
function countHops(links: ReadonlyMap<string, readonly string[]>): number {
	const reached = new Set([...links.keys()].slice(0, SEEDS))
	for (let hops = 0; ; hops++) {
		if (reached.size === links.size) return hops
		const before = reached.size
		for (const entry of [...reached])
			for (const other of links.get(entry)!) reached.add(other)
		if (reached.size === before) return Number.POSITIVE_INFINITY
	}
}

for (const { entries, hops } of FLEETS)
	test(`mesh: a message reaches ${entries} entries in ${hops} hops`, () => {
		const all = addressesOf(entries)
		const links = new Map(all.map(own => [own, chooseLinks(own, all)]))
		assert.is(countHops(links), hops)
		const incoming = new Map<string, number>()
		for (const chosen of links.values()) {
			assert.ok(chosen.length <= MAX_LINKS)
			for (const other of chosen)
				incoming.set(other, (incoming.get(other) ?? 0) + 1)
		}
		assert.is(incoming.size, entries, 'each entry has an incoming link')
		assert.ok(Math.max(...incoming.values()) <= MAX_LINKS)
	})

test('mesh: an entry does not link to itself', () => {
	const all = addressesOf(100)
	assert.not(chooseLinks(all[7]!, all).includes(all[7]!))
})

test.run()
