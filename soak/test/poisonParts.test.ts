/** Shows that the checks of a poison part detect each broken promise. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { checkPoisonPart, POISON_PART } from '../src/poisonParts.ts'
import type { RequestRecord, Run } from '../src/types.ts'
import { createRecord } from '../src/types.ts'

/** Later than the contact time, ms. */
const LATER_MS = 60_000

function requestOf(
	id: string,
	parts: readonly string[],
	more: Partial<RequestRecord> = {},
): RequestRecord {
	return {
		id,
		kind: 'stream',
		path: '/s/x',
		body: id,
		parts,
		isComplete: false,
		team: 'guests',
		entry: 0,
		incarnation: 0,
		sentAt: 0,
		timeoutAt: 1_000,
		deadlineAt: 1_000,
		abandonedAt: undefined,
		callerTimedOut: false,
		promisedNotRunAt: undefined,
		answeredAt: undefined,
		status: 0,
		error: '',
		...more,
	}
}

function runOf(id: string, startedAt: number): Run {
	return { id, serverId: 's', startedAt, deadlineMs: 1, endedAt: startedAt }
}

/** Runs of five requests at the start, and of `late` ones later. */
function poisonRuns(late: number): Run[] {
	const at = [0, 1, 2, 3, 4, ...Array.from({ length: late }, () => LATER_MS)]
	return at.map((startedAt, one) => runOf(`bad-${one}`, startedAt))
}

const SERVED = { status: 200, isComplete: true, answeredAt: 10 }
const REFUSED = { status: 503, error: 'quarantined', sentAt: LATER_MS }
const CASES: readonly {
	name: string
	runs?: readonly Run[]
	requests?: readonly RequestRecord[]
	evidenceLostAt?: readonly number[]
	violations: number
}[] = [
	{ name: 'three late sends', runs: poisonRuns(3), violations: 0 },
	{ name: 'four late sends', runs: poisonRuns(4), violations: 1 },
	{
		name: 'four sends after all entries had ended',
		runs: poisonRuns(4),
		evidenceLostAt: [1_000],
		violations: 0,
	},
	{
		name: 'a sound stream is refused for a part that another was served with',
		requests: [requestOf('a', ['x'], SERVED), requestOf('b', ['x'], REFUSED)],
		violations: 1,
	},
	{
		name: 'a sound stream is refused for a part that none was served with',
		requests: [requestOf('a', ['y'], SERVED), requestOf('b', ['x'], REFUSED)],
		violations: 0,
	},
	{
		name: 'another with the part was answered in part',
		requests: [
			requestOf('a', ['x'], { ...SERVED, isComplete: false }),
			requestOf('b', ['x'], REFUSED),
		],
		violations: 0,
	},
	{
		name: 'a stream with the poison part is refused',
		requests: [
			requestOf('a', ['x'], SERVED),
			requestOf('b', ['x', POISON_PART], REFUSED),
		],
		violations: 0,
	},
]

for (const {
	name,
	runs = [],
	requests = [],
	evidenceLostAt = [],
	violations,
} of CASES)
	test(`poison part: ${name}`, () => {
		const record = createRecord()
		for (const one of requests) record.requests.set(one.id, one)
		for (const run of runs) {
			record.requests.set(run.id, requestOf(run.id, [POISON_PART]))
			record.runs.set(run.id, [run])
		}
		checkPoisonPart({ record, evidenceLostAt: [...evidenceLostAt] } as never)
		assert.is(record.violations.length, violations)
	})

test.run()
