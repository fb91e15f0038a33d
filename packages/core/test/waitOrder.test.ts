/** Order of waiting requests: tables, and properties with variants that break them. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { Random, WaitingRequest } from '../src/index.ts'
import { createRandom, orderWaiting } from '../src/index.ts'

interface Item extends WaitingRequest {
	readonly name: string
}

const INTERVAL_MS = 100

/** A request by name, urgency and time left, in order of arrival. */
type Row = readonly [name: string, urgency: number, leftMs: number]

const ORDERS: { name: string; rows: Row[]; expected: string }[] = [
	{
		name: 'by urgency, then by the time left',
		rows: [
			['long', 1, 900],
			['later', 2, 900],
			['short', 1, 400],
		],
		expected: 'short long later',
	},
	{
		name: 'the late ones last, oldest first, whatever their urgency',
		rows: [
			['late later', 2, -10],
			['late urgent', 0, -300],
			['later', 2, 500],
		],
		expected: 'later,late later,late urgent',
	},
	{
		name: 'a less urgent one goes forward in time if no other becomes late by it',
		rows: [
			['later', 2, 50],
			['urgent', 1, 400],
		],
		expected: 'later urgent',
	},
	{
		name: 'it does not make a more urgent one late',
		rows: [
			['later', 2, 50],
			['urgent', 1, 50],
			['roomy', 1, 900],
		],
		expected: 'urgent roomy later',
	},
	{
		name: 'it goes forward no further than necessary',
		rows: [
			['later', 2, 150],
			['a', 1, 800],
			['b', 1, 900],
		],
		expected: 'a later b',
	},
]

for (const { name, rows, expected } of ORDERS)
	test(`wait order: ${name}`, () => {
		const items = rows.map(([name, urgency, startBy], order) => ({
			name,
			urgency,
			startBy,
			order,
		}))
		const separator = expected.includes(',') ? ',' : ' '
		const ordered = orderWaiting(items, 0, INTERVAL_MS)
		assert.is(ordered.map(one => one.name).join(separator), expected)
	})

type Order = typeof orderWaiting

function drawItems(random: Random): Item[] {
	return Array.from({ length: 1 + Math.floor(random() * 12) }, (_, order) => ({
		name: `r${order}`,
		urgency: Math.floor(random() * 3),
		startBy: random() * 1_500 - 300,
		order,
	}))
}

/** Urgent requests that start in time if they need not let others pass. */
function listServable(items: readonly Item[]): Item[] {
	return items
		.filter(one => one.startBy >= 0)
		.sort((a, b) => a.urgency - b.urgency || a.startBy - b.startBy)
		.filter((one, at) => at * INTERVAL_MS <= one.startBy)
}

const PROPERTIES: {
	name: string
	check: (items: readonly Item[], ordered: readonly Item[]) => boolean
	mutant: Order
}[] = [
	{
		name: 'every request keeps a place',
		check: (items, ordered) => new Set(ordered).size === items.length,
		mutant: (items, now, gap) => orderWaiting(items, now, gap).slice(1),
	},
	{
		name: 'none that is late goes before one that is not',
		check: (_items, ordered) =>
			ordered.every((one, at) => {
				const next = ordered[at + 1]
				return !next || one.startBy >= 0 || next.startBy < 0
			}),
		mutant: items => [...items].sort((a, b) => a.urgency - b.urgency),
	},
	{
		name: 'letting a less urgent one pass makes none late',
		check: (items, ordered) =>
			listServable(items).every(
				one => ordered.indexOf(one) * INTERVAL_MS <= one.startBy,
			),
		mutant: items => [...items].sort((a, b) => a.startBy - b.startBy),
	},
]

function holds(check: (typeof PROPERTIES)[0]['check'], order: Order): boolean {
	const random = createRandom(9)
	for (let run = 0; run < 5_000; run++) {
		const items = drawItems(random)
		if (!check(items, order(items, 0, INTERVAL_MS))) return false
	}
	return true
}

for (const { name, check, mutant } of PROPERTIES) {
	test(`wait order: ${name}`, () => assert.ok(holds(check, orderWaiting)))

	test(`wait order: a variant fails: ${name}`, () => {
		assert.not.ok(holds(check, mutant))
	})
}

test.run()
