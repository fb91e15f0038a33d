/** Servers that come, leave and return; the list never goes back. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ListedServer, ServerRecord } from '../src/index.ts'
import {
	createServerList,
	doubtRemoval,
	findMissing,
	incarnationId,
	listServing,
	noteDisplaced,
	settleRemovals,
	takeRecord,
} from '../src/index.ts'

function serverOf(id: string, address = `10.0.0.1:${id}`): ListedServer {
	return {
		id,
		name: id,
		service: 'plain',
		address,
		dataCentre: 'north',
		slots: 4,
		leaving: false,
		coldMs: 0,
	}
}

function idsOf(list: ReturnType<typeof createServerList>): string[] {
	return listServing(list, service => service === 'plain').map(
		server => server.id,
	)
}

test('server list: an older record never wins', () => {
	const list = createServerList()
	assert.ok(takeRecord(list, { name: '1', revision: 9, server: undefined }))
	assert.not(
		takeRecord(list, { name: '1', revision: 5, server: serverOf('1') }),
	)
	assert.equal(idsOf(list), [])
})

test('server list: one that leaves does not come back', () => {
	const list = createServerList()
	const leaving = { ...serverOf('1'), leaving: true }
	takeRecord(list, { name: '1', revision: 2, server: leaving })
	assert.not(
		takeRecord(list, { name: '1', revision: 3, server: serverOf('1') }),
	)
	assert.equal(idsOf(list), [])
	assert.is(
		list.revision,
		3,
		'a record that is passed over is known all the same',
	)
})

test('server list: a removal while the source was away is doubted', () => {
	const list = createServerList()
	takeRecord(list, { name: '1', revision: 2, server: serverOf('1') })
	takeRecord(list, { name: '2', revision: 2, server: serverOf('2') })
	for (const record of findMissing(list, new Set(), 7))
		doubtRemoval(list, record, 1_000)
	assert.equal(idsOf(list), ['1', '2'])
	takeRecord(list, { name: '2', revision: 8, server: serverOf('2') })
	assert.equal(settleRemovals(list, 999), [])
	assert.equal(settleRemovals(list, 1_000), ['1'])
	assert.equal(idsOf(list), ['2'])
})

test('server list: the newest id of an address is the one there', () => {
	const list = createServerList()
	const there = '10.0.0.9:80'
	takeRecord(list, { name: 'old', revision: 2, server: serverOf('old', there) })
	takeRecord(list, { name: 'new', revision: 6, server: serverOf('new', there) })
	assert.equal(idsOf(list), ['new'])
	noteDisplaced(list, 'new')
	assert.equal(idsOf(list), [])
})

/** A server published under `name`, in the life that began at `bornAt`. */
function lifeOf(name: string, bornAt: number, leaving = false): ListedServer {
	const id = incarnationId(name, bornAt)
	return { ...serverOf(id, '10.0.0.9:80'), name, leaving }
}

const LIVES: {
	name: string
	records: Omit<ServerRecord, 'name'>[]
	serving: string[]
}[] = [
	{
		name: 'one that left and started again is there again',
		records: [
			{ revision: 2, server: lifeOf('1', 10) },
			{ revision: 3, server: lifeOf('1', 10, true) },
			{ revision: 5, server: lifeOf('1', 20) },
		],
		serving: ['1@20'],
	},
	{
		name: 'news of the new life come before that of the end',
		records: [
			{ revision: 2, server: lifeOf('1', 10) },
			{ revision: 5, server: lifeOf('1', 20) },
			{ revision: 4, server: undefined },
			{ revision: 3, server: lifeOf('1', 10, true) },
		],
		serving: ['1@20'],
	},
	{
		name: 'two starts within one heartbeat',
		records: [
			{ revision: 2, server: lifeOf('1', 10) },
			{ revision: 3, server: lifeOf('1', 20) },
			{ revision: 4, server: lifeOf('1', 30) },
		],
		serving: ['1@30'],
	},
	{
		name: 'a life that leaves stays gone behind an entry that cannot be read',
		records: [
			{ revision: 2, server: lifeOf('1', 10, true) },
			{ revision: 3, server: undefined, fault: 'not JSON' },
			{ revision: 4, server: lifeOf('1', 10) },
		],
		serving: [],
	},
	{
		name: 'an entry that cannot be read names nobody until it can',
		records: [
			{ revision: 2, server: lifeOf('1', 10) },
			{ revision: 3, server: undefined, fault: 'not JSON' },
		],
		serving: [],
	},
	{
		name: 'and the same life once it can',
		records: [
			{ revision: 2, server: lifeOf('1', 10) },
			{ revision: 3, server: undefined, fault: 'not JSON' },
			{ revision: 4, server: lifeOf('1', 10) },
		],
		serving: ['1@10'],
	},
]

for (const { name, records, serving } of LIVES)
	test(`server list: ${name}`, () => {
		const list = createServerList()
		for (const record of records) takeRecord(list, { name: '1', ...record })
		assert.equal(idsOf(list), serving)
	})

test('server list: an unknown service at an address takes nobody from there', () => {
	const list = createServerList()
	const there = '10.0.0.9:80'
	const foreign = { ...serverOf('new', there), service: 'unheard of' }
	takeRecord(list, { name: 'old', revision: 2, server: serverOf('old', there) })
	takeRecord(list, { name: 'new', revision: 6, server: foreign })
	assert.equal(idsOf(list), ['old'])
})

test.run()
