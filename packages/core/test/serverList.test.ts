/** Servers that join, leave and return; the list never goes back to an older state. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { ListedServer, ServerRecord, TermRevision } from '../src/index.ts'
import {
	applyRecord,
	confirmRemovals,
	createServerList,
	createSharedState,
	deferRemoval,
	findMissing,
	incarnationId,
	listServing,
	markDisplaced,
	mergeServerUpdates,
} from '../src/index.ts'

/** A revision of the first term. */
function at(revision: number): TermRevision {
	return { term: 1, revision }
}

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

test('server list: an older record is ignored', () => {
	const list = createServerList()
	assert.ok(
		applyRecord(list, { name: '1', revision: at(9), server: undefined }),
	)
	assert.not(
		applyRecord(list, { name: '1', revision: at(5), server: serverOf('1') }),
	)
	assert.equal(idsOf(list), [])
})

test('server list: an incarnation that leaves does not come back', () => {
	const list = createServerList()
	const leaving = { ...serverOf('1'), leaving: true }
	applyRecord(list, { name: '1', revision: at(2), server: leaving })
	assert.not(
		applyRecord(list, { name: '1', revision: at(3), server: serverOf('1') }),
	)
	assert.equal(idsOf(list), [])
	assert.equal(
		list.revision,
		at(3),
		'the revision of an ignored record is still tracked',
	)
})

test('server list: a removal while the source was unavailable is deferred', () => {
	const list = createServerList()
	applyRecord(list, { name: '1', revision: at(2), server: serverOf('1') })
	applyRecord(list, { name: '2', revision: at(2), server: serverOf('2') })
	for (const record of findMissing(list, new Set(), at(7)))
		deferRemoval(list, record, 1_000)
	assert.equal(idsOf(list), ['1', '2'])
	applyRecord(list, { name: '2', revision: at(8), server: serverOf('2') })
	assert.equal(confirmRemovals(list, 999), [])
	const settled = confirmRemovals(list, 1_000)
	assert.equal(
		settled.map(({ name }) => name),
		['1'],
	)
	assert.equal(idsOf(list), ['2'])
})

test('server list: a second restore without a server restarts its grace period', () => {
	const list = createServerList()
	const missingAt = (term: number) =>
		findMissing(list, new Set(), { term, revision: 5 })
	applyRecord(list, { name: '1', revision: at(7), server: serverOf('1') })
	for (const record of missingAt(2)) deferRemoval(list, record, 1_000)
	for (const record of missingAt(3)) deferRemoval(list, record, 1_800)
	assert.equal(confirmRemovals(list, 1_000), [])
	assert.equal(idsOf(list), ['1'])
	assert.is(confirmRemovals(list, 1_800).length, 1)
	assert.equal(idsOf(list), [])
})

test('server list: the newest server at an address displaces older ones', () => {
	const list = createServerList()
	const there = '10.0.0.9:80'
	applyRecord(list, {
		name: 'old',
		revision: at(2),
		server: serverOf('old', there),
	})
	applyRecord(list, {
		name: 'new',
		revision: at(6),
		server: serverOf('new', there),
	})
	assert.equal(idsOf(list), ['new'])
	markDisplaced(list, 'new')
	assert.equal(idsOf(list), [])
})

/** Server published under `name`, in the incarnation started at `bornAt`. */
function incarnationOf(
	name: string,
	bornAt: number,
	leaving = false,
): ListedServer {
	const id = incarnationId(name, bornAt)
	return { ...serverOf(id, '10.0.0.9:80'), name, leaving }
}

const INCARNATION_CASES: {
	name: string
	records: Omit<ServerRecord, 'name'>[]
	serving: string[]
}[] = [
	{
		name: 'a server that left and restarted is serving again',
		records: [
			{ revision: at(2), server: incarnationOf('1', 10) },
			{ revision: at(3), server: incarnationOf('1', 10, true) },
			{ revision: at(5), server: incarnationOf('1', 20) },
		],
		serving: ['1@20'],
	},
	{
		name: 'records of the new incarnation arrive before those of the end of the old one',
		records: [
			{ revision: at(2), server: incarnationOf('1', 10) },
			{ revision: at(5), server: incarnationOf('1', 20) },
			{ revision: at(4), server: undefined },
			{ revision: at(3), server: incarnationOf('1', 10, true) },
		],
		serving: ['1@20'],
	},
	{
		name: 'two restarts within one heartbeat',
		records: [
			{ revision: at(2), server: incarnationOf('1', 10) },
			{ revision: at(3), server: incarnationOf('1', 20) },
			{ revision: at(4), server: incarnationOf('1', 30) },
		],
		serving: ['1@30'],
	},
	{
		name: 'an incarnation that leaves stays departed after an invalid record',
		records: [
			{ revision: at(2), server: incarnationOf('1', 10, true) },
			{ revision: at(3), server: undefined, fault: 'not JSON' },
			{ revision: at(4), server: incarnationOf('1', 10) },
		],
		serving: [],
	},
	{
		name: 'an invalid record lists no server',
		records: [
			{ revision: at(2), server: incarnationOf('1', 10) },
			{ revision: at(3), server: undefined, fault: 'not JSON' },
		],
		serving: [],
	},
	{
		name: 'a valid record after an invalid one lists the same incarnation again',
		records: [
			{ revision: at(2), server: incarnationOf('1', 10) },
			{ revision: at(3), server: undefined, fault: 'not JSON' },
			{ revision: at(4), server: incarnationOf('1', 10) },
		],
		serving: ['1@10'],
	},
]

for (const { name, records, serving } of INCARNATION_CASES)
	test(`server list: ${name}`, () => {
		const list = createServerList()
		for (const record of records) applyRecord(list, { name: '1', ...record })
		assert.equal(idsOf(list), serving)
	})

test('server list: a server of an unknown service displaces none at its address', () => {
	const list = createServerList()
	const there = '10.0.0.9:80'
	const foreign = { ...serverOf('new', there), service: 'unheard of' }
	applyRecord(list, {
		name: 'old',
		revision: at(2),
		server: serverOf('old', there),
	})
	applyRecord(list, { name: 'new', revision: at(6), server: foreign })
	assert.equal(idsOf(list), ['old'])
})

test('server list: departures without end are retained up to a limit, the latest ones', () => {
	const state = createSharedState()
	const count = 40_000
	for (let at = 0; at < count; at++)
		mergeServerUpdates(state, [{ kind: 'left', server: `s${at}` }], at)
	assert.ok(state.departed.size < count / 2, String(state.departed.size))
	assert.ok(state.departed.has(`s${count - 1}`))
	assert.ok(state.departed.has(`s${count - 10_000}`))
})

test.run()
