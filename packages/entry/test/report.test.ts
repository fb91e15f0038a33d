/** Reports of what bound a run. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { formatReport, makeReport } from '../src/report.ts'

const START = 1_786_000_000_000

function line(atMs: number, event: string, fields: object): string {
	return JSON.stringify({ level: 30, time: START + atMs, event, ...fields })
}

const LINES = [
	line(0, 'entry started', { name: 'e' }),
	line(100, 'attempt', {
		outcome: 'answered',
		reason: '200',
		route: 'r',
		timeliness: 'inTime',
		startMs: 90,
	}),
	line(200, 'attempt', { outcome: 'notRun', reason: '503 i-1' }),
	line(300, 'attempt', { outcome: 'notRun', reason: '503 i-2' }),
	line(400, 'request failed', { error: 'overloaded', route: 'r', tookMs: 3 }),
	`  1.2 side-1 ${line(1_200, 'paces told', { limit: 4.5 })}`,
	line(1_250, 'attempt', {
		outcome: 'answered',
		route: 'r',
		timeliness: 'latePause',
		startMs: 190,
	}),
	line(1_260, 'request failed', { error: 'linkLost', route: 's' }),
	line(1_300, 'paces told', { limit: 6 }),
	line(1_400, 'demand shifted', { agreement: 0.2 }),
	line(1_500, 'map planned', { copies: 12 }),
	line(1_600, 'round begun', { node: 'side-2' }),
	line(1_900, 'round over', { phase: 'done', tookMs: 300 }),
	line(1_910, 'round begun', { node: 'side-2' }),
	line(1_920, 'round over', { phase: 'preparing' }),
	line(1_930, 'round begun', { node: 'side-3' }),
	line(1_940, 'round over', { phase: 'failed', reason: 'a newer round' }),
	line(1_950, 'passes seen', { passMs: 100, predictedMs: 90 }),
	line(2_950, 'passes seen', { passMs: 50, predictedMs: 60 }),
	'not a log line',
	'{ "time": ',
	'{"time":"yesterday","event":"attempt"}',
]

test('report: a row a second', () => {
	const { rows, unread } = makeReport(LINES)
	const [first, second, third] = rows
	assert.is(rows.length, 3)
	assert.is(first!.ends.inTime, 1)
	assert.is(first!.failedSends, 2)
	assert.is(first!.ends.refused, 1)
	assert.is(second!.ends.latePause, 1)
	assert.is(second!.ends.lost, 1)
	assert.is(second!.limit, 4.5)
	assert.is(second!.shifts, 1)
	assert.is(second!.copies, 12)
	assert.is(second!.rounds, 3)
	assert.is(third!.passMs, 50)
	assert.is(unread, 3)
})

test('report: causes, the costliest first, whatever server they name', () => {
	assert.equal(makeReport(LINES).causes, [
		{ cause: 'send notRun: 503', count: 2 },
		{ cause: 'request failed: overloaded', count: 1 },
		{ cause: 'request failed: linkLost', count: 1 },
	])
})

test('report: how the requests of each route ended', () => {
	const { routes } = makeReport(LINES)
	const none = { inTime: 0, lateStart: 0, latePause: 0, refused: 0, lost: 0 }
	assert.equal(routes, [
		{
			route: 'r',
			ends: { ...none, inTime: 1, latePause: 1, refused: 1 },
			startMs: { p50: 90, p95: 90 },
		},
		{ route: 's', ends: { ...none, lost: 1 }, startMs: undefined },
	])
})

test('report: how well passes were predicted', () => {
	const { passError } = makeReport(LINES)
	assert.is(Number(passError!.p50.toFixed(2)), 0.1)
	assert.is(makeReport([]).passError, undefined)
})

test('report: what became of the changes of maps, and who made them', () => {
	const { rounds } = makeReport(LINES)
	assert.is(rounds.begun, 3)
	assert.is(rounds.done, 1)
	assert.equal(rounds.ends, [
		{ end: 'given up while preparing', count: 1 },
		{ end: 'failed: a newer round', count: 1 },
	])
	assert.equal(rounds.tookMs, { p50: 300, most: 300 })
	assert.equal(rounds.by[0], { node: 'side-2', count: 2 })
	const text = formatReport(makeReport(LINES)).join('\n')
	assert.match(text, '1 of 3 done')
	assert.is(formatReport(makeReport([])).join('\n').includes('maps'), false)
})

test('report: as text', () => {
	const text = formatReport(makeReport(LINES)).join('\n')
	assert.match(text, 'causes that cost most')
	assert.match(text, '3 lines are no log lines')
})

test.run()
