/** Admission under signals of the backend server: backoff, rate limit, leaving. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { AdmissionEffect, AdmissionEvent, Offer } from '../src/index.ts'
import { createAdmission, stepAdmission } from '../src/index.ts'

const SLOTS = 3

function momentAt(now: number) {
	return { now, wall: 1_700_000_000_000 + now }
}

function offerOf(reqId: string, startBudgetMs: number, mayWait = true): Offer {
	return {
		reqId,
		attempt: 1,
		team: 'rangers',
		weight: 1,
		priority: 5,
		startBudgetMs,
		mayWait,
		claim: undefined,
	}
}

/** Formats an effect for comparison. */
function summarize(effect: AdmissionEffect): string {
	if (effect.do !== 'refuse') return `${effect.do} ${effect.name.reqId}`
	const { kind, retryAfterMs } = effect.outcome
	return `refuse ${effect.name.reqId} ${kind} ${retryAfterMs}`
}

function backoff(forMs: number): AdmissionEvent {
	return { type: 'rest', forMs }
}

function limit(
	perSecond: number | undefined,
	startedAt: number,
): AdmissionEvent {
	return { type: 'limit', perSecond, startedAt }
}

function accepted(startedAt: number): AdmissionEvent {
	return { type: 'taken', startedAt }
}

const LEAVING: AdmissionEvent = { type: 'serverLeaves' }
const STARTED: AdmissionEvent = { type: 'serverStarts' }

interface Step {
	readonly at: number
	/** A signal of the backend server. */
	readonly signal?: AdmissionEvent
	/** Offers a request with this start budget, ms. */
	readonly offer?: number
	/** Whether another server is free, so that the request must not wait. */
	readonly hasAlternative?: boolean
	readonly effects: readonly string[]
}
const CASES: readonly { readonly name: string; readonly steps: Step[] }[] = [
	{
		name: 'in a backoff, requests wait if their budget allows it, else they are refused',
		steps: [
			{ at: 0, signal: backoff(300), effects: [] },
			{ at: 100, offer: 150, effects: ['refuse 1 resting 200'] },
			{ at: 100, offer: 400, effects: [] },
			{ at: 200, effects: [] },
			{ at: 300, effects: ['start 2'] },
			{ at: 310, offer: 10, effects: ['refuse 5 resting 40'] },
			{ at: 320, signal: accepted(300), effects: [] },
			{ at: 330, offer: 10, effects: ['start 7'] },
		],
	},
	{
		name: 'a request with an alternative server does not wait',
		steps: [
			{ at: 0, signal: backoff(300), effects: [] },
			{
				at: 100,
				offer: 9_000,
				hasAlternative: true,
				effects: ['refuse 1 resting 200'],
			},
			{ at: 400, signal: limit(1, 0), effects: [] },
			{ at: 400, offer: 9_000, hasAlternative: true, effects: ['start 3'] },
			{
				at: 500,
				offer: 9_000,
				hasAlternative: true,
				effects: ['refuse 4 rateLimited 650'],
			},
		],
	},
	{
		name: 'after a backoff, single probes are started until one is accepted',
		steps: [
			{ at: 0, signal: backoff(100), effects: [] },
			{ at: 10, offer: 500, effects: [] },
			{ at: 20, offer: 500, effects: [] },
			{ at: 30, offer: 500, effects: [] },
			{ at: 100, effects: ['start 1'] },
			{ at: 120, effects: [] },
			{ at: 130, signal: accepted(50), effects: [] },
			{ at: 150, effects: ['start 2'] },
			{ at: 160, signal: accepted(100), effects: ['start 3'] },
		],
	},
	{
		name: 'a shorter backoff does not end a longer one',
		steps: [
			{ at: 0, signal: backoff(500), effects: [] },
			{ at: 10, signal: backoff(20), effects: [] },
			{ at: 100, offer: 100, effects: ['refuse 2 resting 400'] },
		],
	},
	{
		name: 'a longer backoff refuses requests that can no longer wait',
		steps: [
			{ at: 0, signal: backoff(100), effects: [] },
			{ at: 10, offer: 200, effects: [] },
			{ at: 20, signal: backoff(400), effects: ['refuse 1 resting 400'] },
		],
	},
	{
		name: 'the duration of a backoff is bounded',
		steps: [
			{ at: 0, signal: backoff(Number.POSITIVE_INFINITY), effects: [] },
			{ at: 10, offer: 1_000, effects: ['refuse 1 resting 599990'] },
		],
	},
	{
		name: 'a rate limit spaces out starts; a request that cannot wait gets the delay',
		steps: [
			{ at: 0, signal: limit(2, 0), effects: [] },
			{ at: 0, offer: 10, effects: ['start 1'] },
			{ at: 100, offer: 100, effects: ['refuse 2 rateLimited 150'] },
			{ at: 100, offer: 450, effects: [] },
			{ at: 200, offer: 500, effects: ['refuse 4 rateLimited 550'] },
			{ at: 250, effects: ['start 3'] },
		],
	},
	{
		name: 'a rate limit is lifted only by an answer to a request started after it was set',
		steps: [
			{ at: 100, signal: limit(0.5, 50), effects: [] },
			{ at: 100, offer: 10, effects: ['start 1'] },
			{ at: 200, signal: limit(undefined, 60), effects: [] },
			{ at: 200, offer: 10, effects: ['refuse 3 rateLimited 1650'] },
			{ at: 300, signal: limit(undefined, 150), effects: [] },
			{ at: 300, offer: 10, effects: ['start 5'] },
		],
	},
	{
		name: 'a rate limit and a backoff: the longer delay applies',
		steps: [
			{ at: 0, signal: limit(1, 0), effects: [] },
			{ at: 0, offer: 10, effects: ['start 1'] },
			{ at: 10, signal: backoff(200), effects: [] },
			{ at: 20, offer: 100, effects: ['refuse 3 rateLimited 730'] },
			{ at: 30, signal: backoff(2_000), effects: [] },
			{ at: 30, offer: 100, effects: ['refuse 5 resting 2000'] },
		],
	},
	{
		name: 'a leaving server gets no requests until its next incarnation',
		steps: [
			{ at: 0, signal: backoff(500), effects: [] },
			{ at: 10, offer: 600, effects: [] },
			{ at: 20, signal: LEAVING, effects: ['refuse 1 leaving 0'] },
			{ at: 30, offer: 600, effects: ['refuse 3 leaving 0'] },
			{ at: 40, signal: STARTED, effects: [] },
			{ at: 50, offer: 10, effects: ['start 5'] },
		],
	},
]
for (const { name, steps } of CASES)
	test(`admission: ${name}`, () => {
		const state = createAdmission(momentAt(0), SLOTS)
		for (const [
			number,
			{ at, signal, offer, hasAlternative = false, effects },
		] of steps.entries()) {
			const offered =
				offer === undefined
					? undefined
					: offerOf(`${number}`, offer, !hasAlternative)
			const event: AdmissionEvent =
				signal ??
				(offered ? { type: 'offer', offer: offered } : { type: 'tick' })
			const actual = stepAdmission(state, event, momentAt(at))
			assert.equal(actual.map(summarize), effects, `step ${number}`)
		}
	})

for (const perSecond of [0.5, 2, 8, 40])
	test(`admission: a limit of ${perSecond}/s is respected and used`, () => {
		const state = createAdmission(momentAt(0), 10_000)
		stepAdmission(state, limit(perSecond, 0), momentAt(0))
		const starts: number[] = []
		for (let now = 0; now < 20_000; now += 20) {
			const offer = offerOf(String(now), 200)
			const effects = [
				...stepAdmission(state, { type: 'offer', offer }, momentAt(now)),
				...stepAdmission(state, { type: 'tick' }, momentAt(now + 10)),
			]
			for (const effect of effects) if (effect.do === 'start') starts.push(now)
		}
		const maxStarts = Math.max(
			...starts.map(
				from => starts.filter(at => at >= from && at < from + 4_000).length,
			),
		)
		assert.ok(
			maxStarts <= 1.5 * perSecond * 4 + 5,
			`${maxStarts} starts within 4 s`,
		)
		assert.ok(starts.length >= Math.floor(0.8 * perSecond * 20))
	})

test.run()
