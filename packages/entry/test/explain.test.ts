/** Traces of requests: the lines included, and the cause that is named. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { explainRequest, formatTrace } from '../src/explain.ts'

const START = 1_786_000_000_000
const ID = 'r1'

function line(atMs: number, event: string, fields: object): string {
	return JSON.stringify({ time: START + atMs, node: 'e1', event, ...fields })
}

const failed = (error: string, config = 4) =>
	line(5_000, 'request failed', { req: ID, error, config, service: 's' })
const sent = (server: string, outcome: string, reason: string) =>
	line(4_500, 'attempt', { req: ID, server, outcome, reason })

const rationed = (urgency: number) =>
	line(5_000, 'request failed', {
		req: ID,
		error: 'overloaded',
		service: 's',
		urgency,
	})
const refusedFirst = (atMs: number, req: string) =>
	line(atMs, 'request failed', {
		req,
		error: 'overloaded',
		fingerprint: 'f',
		returnInMs: 900,
	})
const returned = (atMs: number, req: string) =>
	line(atMs, 'attempt', {
		req,
		node: 'e2',
		outcome: 'answered',
		fingerprint: 'f',
		returned: true,
	})

const CASES: { name: string; lines: string[]; cause: string | RegExp }[] = [
	{
		name: 'answered',
		lines: [sent('i-1', 'answered', '200')],
		cause: 'answered by its server',
	},
	{
		name: 'a group at its limit after a demand shift',
		lines: [
			line(4_200, 'demand shifted', { node: 'side-1', agreement: 0.2 }),
			line(4_300, 'paces told', { group: 's/g', slow: [], limit: 4.5 }),
			failed('overloaded'),
		],
		cause: 'hold 4.5 requests a rank: demand had shifted 800 ms before',
	},
	{
		name: 'a closed group',
		lines: [
			line(3_000, 'group closed', { group: 's/g' }),
			failed('overloaded'),
		],
		cause: 'refused at every rank for 2000 ms',
	},
	{
		name: 'a group that was closed and opened again',
		lines: [
			line(1_000, 'group closed', { group: 's/g' }),
			line(2_000, 'group open', { group: 's/g', closedMs: 1_000 }),
			failed('overloaded'),
		],
		cause: 'Every server had as many requests in flight',
	},
	{
		name: 'a group report to another entry is ignored',
		lines: [
			line(4_300, 'paces told', { node: 'e2', group: 's/g', limit: 4 }),
			failed('overloaded'),
		],
		cause: 'Every server had as many requests in flight',
	},
	{
		name: 'a service that rations',
		lines: [
			line(4_000, 'rationing started', {
				service: 's',
				roomPerSecond: 80,
				fractions: ['10:1', '12:0.4'],
			}),
			rationed(12),
		],
		cause:
			'room for 80 requests a second and admitted 0.4 of those of urgency 12',
	},
	{
		name: 'a service that rations no more',
		lines: [
			line(3_000, 'rationing started', { service: 's', fractions: [] }),
			line(4_000, 'rationing ended', { service: 's' }),
			rationed(12),
		],
		cause: 'Every server had as many requests in flight',
	},
	{
		name: 'another service that rations',
		lines: [
			line(4_000, 'rationing started', { service: 'other', fractions: [] }),
			rationed(12),
		],
		cause: 'Every server had as many requests in flight',
	},
	{
		name: 'an answer that could not end',
		lines: [
			line(5_000, 'request failed', {
				req: ID,
				error: 'cannotFinish',
				events: 20,
				paceMs: 700,
				leftMs: 7_900,
			}),
		],
		cause:
			'700 ms an event, its 20 events or more could not end in the 7900 ms',
	},
	{
		name: 'cold servers',
		lines: [
			line(4_000, 'server cold', { server: 'i-1', perSecond: 6 }),
			line(4_000, 'server cold', { server: 'i-2', perSecond: 6 }),
			line(4_500, 'server warm', { server: 'i-2' }),
			failed('rateLimited'),
		],
		cause: '(i-1 6 while cold), and none',
	},
	{
		name: 'evacuated data centres',
		lines: [failed('evacuated')],
		cause: 'in evacuated data centres',
	},
	{
		name: 'a refused caller that came back',
		lines: [refusedFirst(5_000, ID), returned(6_000, 'r2')],
		cause: 'Its caller came back as r2.',
	},
	{
		name: 'a return after a refusal',
		lines: [refusedFirst(4_000, 'r0'), returned(5_000, ID)],
		cause:
			'It came back after r0 was refused (overloaded) 1000 ms before and told to return in 900 ms.',
	},
	{
		name: 'a request like a refused one that is no return',
		lines: [
			refusedFirst(4_000, 'r0'),
			line(5_000, 'attempt', { req: ID, outcome: 'answered' }),
		],
		cause: /nothing failed here\.$/,
	},
	{
		name: 'no answer in time',
		lines: [sent('i-1', 'lost', 'no answer in time'), failed('noAnswer')],
		cause: 'had not answered by the deadline (i-1 lost no answer',
	},
	{
		name: 'no answer in time, the attempt logged after the outcome',
		lines: [
			failed('noAnswer'),
			line(5_010, 'attempt', { req: ID, server: 'i-1', outcome: 'lost' }),
		],
		cause: 'had not answered by the deadline (i-1 lost)',
	},
	{
		name: 'a connection that broke',
		lines: [sent('i-1', 'lost', 'ECONNRESET'), failed('linkLost')],
		cause: 'broke after it may have run (i-1 lost ECONNRESET)',
	},
	{
		name: 'a server that crashed while it ran the request',
		lines: [
			line(4_400, 'server ended', { server: 'i-1', requests: [ID, 'r2'] }),
			sent('i-1', 'broken', 'after 2'),
			failed('truncated'),
		],
		cause: 'servers that crashed, with their requests in flight: i-1 with 2',
	},
	{
		name: 'a request that another entry quarantined',
		lines: [
			line(100, 'request quarantined', {
				node: 'e2',
				fingerprint: 'c.abc',
				servers: ['i-1', 'i-7'],
			}),
			line(200, 'request quarantined', { fingerprint: 'c.xyz', servers: [] }),
			line(5_000, 'request failed', {
				req: ID,
				error: 'quarantined',
				fingerprint: 'c.abc',
			}),
		],
		cause: 'i-1, i-7 crashed while they ran it (c.abc); it is quarantined.',
	},
	{
		name: 'a quarantined prompt part',
		lines: [
			line(100, 'parts suspected', { node: 'e2', parts: ['bad', 'x'] }),
			line(3_000, 'part quarantined', {
				node: 'e2',
				part: 'bad',
				servers: ['i-1', 'i-7'],
			}),
			line(3_100, 'part quarantined', { part: 'other', servers: ['i-9'] }),
			line(5_000, 'request failed', {
				req: ID,
				error: 'quarantined',
				part: 'bad',
				fingerprint: 'c.abc',
			}),
		],
		cause:
			'i-1, i-7 crashed while they ran prompts with the part bad; it is quarantined.',
	},
	{
		name: 'a suspected prompt part',
		lines: [
			line(100, 'parts suspected', { parts: ['y'] }),
			line(700, 'parts suspected', { parts: ['bad', 'x'] }),
			line(1_000, 'request failed', {
				req: ID,
				error: 'suspected',
				part: 'x',
			}),
		],
		cause:
			'A server crashed 300 ms before while it ran a prompt with the part x; one request at a time tries the part.',
	},
	{
		name: 'a server from a rolled-back source',
		lines: [
			line(1_000, 'source went back', { backFrom: '1:40', backTo: '2:24' }),
			line(1_400, 'attempt', {
				req: ID,
				server: 'i-1',
				outcome: 'notSent',
				reason: 'ECONNREFUSED',
			}),
			line(1_410, 'request failed', { req: ID, error: 'unreachable' }),
		],
		cause:
			'No server that it was sent to accepted it (i-1 notSent ECONNREFUSED); the source had rolled back from 1:40 to 2:24 410 ms before.',
	},
	{
		name: 'servers with rate limits',
		lines: [
			line(50, 'server limit', { server: 'i-1', perSecond: 3 }),
			line(100, 'server limit', { server: 'i-1', perSecond: 1 }),
			line(150, 'server limit', { server: 'i-2', perSecond: 0.5 }),
			line(160, 'server limit', { server: 'i-3', perSecond: 2 }),
			line(170, 'server limit', { server: 'i-3', before: 2 }),
			line(180, 'server limit', { node: 'e2', server: 'i-4', perSecond: 2 }),
			line(200, 'request failed', { req: ID, error: 'rateLimited' }),
		],
		cause:
			'All servers of its service limit requests per second (i-1 1, i-2 0.5), and none had a permit in time.',
	},
	{
		name: 'servers that are backing off',
		lines: [
			line(50, 'server rests', { server: 'i-1', forMs: 100 }),
			line(100, 'server rests', { server: 'i-1', forMs: 3_000 }),
			line(120, 'server rests', { server: 'i-2', forMs: 500 }),
			line(130, 'server rests', { server: 'i-3', forMs: 20 }),
			line(140, 'server rests', { node: 'e2', server: 'i-4', forMs: 900 }),
			line(200, 'request failed', { req: ID, error: 'resting' }),
		],
		cause:
			'All servers of its service had asked this entry to back off (i-1 for 2900 ms more, i-2 for 420 ms more).',
	},
	{
		name: 'an unknown key',
		lines: [
			line(10, 'request refused', {
				req: ID,
				error: 'unauthorized',
				config: 7,
			}),
		],
		cause: 'Configuration 7 has no such key',
	},
	{
		name: 'a route that only other entries know',
		lines: [
			line(1_000, 'configuration in force', { version: 7 }),
			line(3_000, 'configuration in force', { node: 'e2', version: 9 }),
			line(3_400, 'configuration in force', { node: 'e3', version: 9 }),
			line(4_000, 'source call failed', { reason: 'silent after 8192 bytes' }),
			line(5_000, 'request refused', { req: ID, error: 'notFound', config: 7 }),
		],
		cause:
			'no such route, version 9 had been in force elsewhere for 2000 ms; its last call of the source: silent after 8192 bytes',
	},
	{
		name: 'an entry that has detected that it is behind',
		lines: [
			line(4_900, 'configuration in force', { node: 'e2', version: 9 }),
			line(5_000, 'request refused', {
				req: ID,
				error: 'configBehind',
				config: 7,
			}),
		],
		cause: 'version 9 had been in force elsewhere for 100 ms',
	},
	{
		name: 'no outcome logged',
		lines: [sent('i-1', 'notRun', '503')],
		cause: 'No outcome is logged',
	},
]

for (const { name, lines, cause } of CASES)
	test(`explain: ${name}`, () => {
		const trace = explainRequest(ID, lines)
		assert.ok(trace)
		assert.match(trace.cause, cause)
		assert.match(formatTrace(trace).join('\n'), 'likely cause')
	})

test('explain: lines of several logs are sorted by time', () => {
	const lines = [failed('noAnswer'), 'noise', sent('i-1', 'lost', 'x')]
	const trace = explainRequest(ID, lines)
	assert.equal(
		trace!.requestLines.map(found => found.event),
		['attempt', 'request failed'],
	)
})

test('explain: an id that no line contains', () => {
	assert.is(explainRequest('other', [failed('noAnswer')]), undefined)
})

test.run()
