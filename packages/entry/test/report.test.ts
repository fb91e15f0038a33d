/** Reports of runs. */

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

test('report: a row per second', () => {
	const { rows, unreadLines } = makeReport(LINES)
	const [first, second, third] = rows
	assert.is(rows.length, 3)
	assert.is(first!.results.inTime, 1)
	assert.is(first!.failedAttempts, 2)
	assert.is(first!.results.refused, 1)
	assert.is(second!.results.latePause, 1)
	assert.is(second!.results.lost, 1)
	assert.is(second!.limit, 4.5)
	assert.is(second!.shifts, 1)
	assert.is(second!.copies, 12)
	assert.is(second!.rounds, 3)
	assert.is(third!.passMs, 50)
	assert.is(unreadLines, 3)
})

test('report: causes, the most frequent first, merged across servers', () => {
	assert.equal(makeReport(LINES).causes, [
		{ cause: 'send notRun: 503', count: 2 },
		{ cause: 'request failed: overloaded', count: 1 },
		{ cause: 'request failed: linkLost', count: 1 },
	])
})

test('report: results of each route', () => {
	const { routes } = makeReport(LINES)
	const none = { inTime: 0, lateStart: 0, latePause: 0, refused: 0, lost: 0 }
	assert.equal(routes, [
		{
			route: 'r',
			results: { ...none, inTime: 1, latePause: 1, refused: 1 },
			startMs: { p50: 90, p95: 90 },
		},
		{ route: 's', results: { ...none, lost: 1 }, startMs: undefined },
	])
})

test('report: prediction error of passes', () => {
	const { passError } = makeReport(LINES)
	assert.is(Number(passError!.p50.toFixed(2)), 0.1)
	assert.is(makeReport([]).passError, undefined)
})

test('report: outcomes of map changes and their coordinators', () => {
	const { rounds } = makeReport(LINES)
	assert.is(rounds.begun, 3)
	assert.is(rounds.done, 1)
	assert.equal(rounds.failures, [
		{ failure: 'abandoned while preparing', count: 1 },
		{ failure: 'failed: a newer round', count: 1 },
	])
	assert.equal(rounds.tookMs, { p50: 300, max: 300 })
	assert.equal(rounds.coordinators[0], { node: 'side-2', count: 2 })
	const text = formatReport(makeReport(LINES)).join('\n')
	assert.match(text, '1 of 3 done')
	assert.is(formatReport(makeReport([])).join('\n').includes('maps'), false)
})

test('report: results by urgency and team, where they are logged', () => {
	const ofClass = (urgency: number, team: string, fields: object) =>
		line(0, 'attempt', { outcome: 'answered', urgency, team, ...fields })
	const report = makeReport([
		ofClass(10, 'a', { timeliness: 'inTime', startMs: 100 }),
		ofClass(10, 'b', { timeliness: 'lateStart', startMs: 500 }),
		line(9, 'request failed', { error: 'overloaded', urgency: 12, team: 'b' }),
	])
	const refusals = (rows: typeof report.teams) =>
		rows.map(({ route, results }) => [route, results.refused])
	assert.equal(refusals(report.urgencies), [
		['urgency 10', 0],
		['urgency 12', 1],
	])
	assert.equal(refusals(report.teams), [
		['b', 1],
		['a', 0],
	])
	assert.match(formatReport(report).join('\n'), 'team, most refused first')
	assert.equal(makeReport(LINES).urgencies, [])
})

test('report: formatted as text', () => {
	const text = formatReport(makeReport(LINES)).join('\n')
	assert.match(text, 'causes that cost most')
	assert.match(text, '3 lines are no log lines')
})

test.run()
