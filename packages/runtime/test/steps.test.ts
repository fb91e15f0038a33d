/** Guards against a process that is alive but does none of its periodic work. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { StepFault } from '../src/index.ts'
import { actOnAll, createSteps, failingMs, runSteps } from '../src/index.ts'

const TICK_MS = 50

function throwAlways(): never {
	throw new Error('state that no step can handle')
}

// One step that fails each time must not keep those after it from ever running.
for (const failingAt of [0, 1, 2])
	test(`steps: all but step ${failingAt}, which always fails, run each time`, () => {
		const runs = [0, 0, 0]
		const list = runs.map((_, at) => ({
			name: `step ${at}`,
			run: () => {
				if (at === failingAt) throwAlways()
				runs[at]!++
			},
		}))
		const steps = createSteps(list, () => {})
		for (let tick = 0; tick < 10; tick++) runSteps(steps, tick * TICK_MS)
		const expected = [10, 10, 10].with(failingAt, 0)
		assert.equal(runs, expected)
	})

// A stack each 50 ms would use up the log's lines.
test('steps: one that goes on failing is reported once in 10 s, with its failures', () => {
	const reports: StepFault[] = []
	const list = [{ name: 'a', run: throwAlways }]
	const steps = createSteps(list, fault => reports.push(fault))
	for (let at = 0; at < 20_000; at += TICK_MS) runSteps(steps, at)
	assert.equal(
		reports.map(({ step, failures }) => [step, failures]),
		[
			['a', 1],
			['a', 200],
		],
	)
	assert.match(reports[0]!.detail, 'state that no step can handle')
})

// A step that fails now and then must not be reported each time either.
test('steps: one that fails every other time is reported once in 10 s', () => {
	let runs = 0
	let reports = 0
	const run = () => {
		if (runs++ % 2 === 0) throwAlways()
	}
	const steps = createSteps([{ name: 'a', run }], () => reports++)
	for (let at = 0; at < 9_000; at += TICK_MS) runSteps(steps, at)
	assert.is(reports, 1)
	assert.is(failingMs(steps, 'a', 9_000), 0)
})

// A process whose log fails must go on working.
test('steps: a report that throws ends neither the steps nor their count', () => {
	let runs = 0
	const list = [
		{ name: 'a', run: throwAlways },
		{ name: 'b', run: () => runs++ },
	]
	const steps = createSteps(list, throwAlways)
	for (let at = 0; at < 1_000; at += TICK_MS) runSteps(steps, at)
	assert.is(runs, 20)
	assert.is(failingMs(steps, 'a', 1_000), 1_000)
})

// One request or queue that cannot be handled must not hold up all others.
test('steps: all items are acted on before the first error is thrown', () => {
	const done: number[] = []
	const act = (item: number) => {
		if (item < 2) throw new Error(`item ${item}`)
		done.push(item)
	}
	assert.throws(() => actOnAll([0, 1, 2, 3], act), 'item 0')
	assert.equal(done, [2, 3])
})

test.run()
