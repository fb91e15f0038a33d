/**
 * Failures and slowness of servers as observed by this entry, and the load that they
 * add in the selection of a server.
 */

import type { ServerTable } from '../internal.ts'
import { recordResult } from '../internal.ts'

/** Smoothing weight of a new sample in the failure rate and the service time. */
const RESULT_WEIGHT = 0.2
/** Half-life of the failure and slowness penalties, ms. */
const PENALTY_HALF_LIFE_MS = 3_000
/** Load added to a server that fails every attempt while the others fail none. */
const FAILURE_LOAD = 3
/** Load added to a server that is twice as slow as the fastest. */
const SLOW_LOAD = 0.25
/** Maximum slowness factor counted against a server. */
const MAX_SLOWNESS = 6
/** Consecutive failures counted for one connection that could not be established. */
const FAILURES_PER_UNREACHED = 3

/** Outcome of an attempt on a server. */
export type AttemptOutcome =
	/** With the time of a complete answer; undefined for a stream, whose length varies. */
	| { readonly kind: 'good'; readonly tookMs: number | undefined }
	| { readonly kind: 'failed' }
	/** No connection could be established. */
	| { readonly kind: 'unreached' }

/** Records the outcome of an attempt. */
export function recordAttempt(
	table: ServerTable,
	row: number,
	outcome: AttemptOutcome,
	now: number,
): void {
	decayFailureRate(table, row, now)
	const rate = table.failureRate[row]!
	const failed = outcome.kind === 'good' ? 0 : 1
	table.failureRate[row] = rate + RESULT_WEIGHT * (failed - rate)
	switch (outcome.kind) {
		case 'good':
			if (outcome.tookMs !== undefined)
				recordServiceTime(table, row, outcome.tookMs)
			recordResult(table, row, true, now)
			return
		case 'failed':
			recordResult(table, row, false, now)
			return
		case 'unreached':
			for (let count = 0; count < FAILURES_PER_UNREACHED; count++)
				recordResult(table, row, false, now)
			return
		default:
			outcome satisfies never
	}
}

function recordServiceTime(
	table: ServerTable,
	row: number,
	tookMs: number,
): void {
	const smoothed = table.serviceMs[row]! || tookMs
	table.serviceMs[row] = smoothed + RESULT_WEIGHT * (tookMs - smoothed)
}

/** Decays the failure rate, so that a server that failed is tried again. */
function decayFailureRate(table: ServerTable, row: number, now: number): void {
	const age = now - table.smoothedAt[row]!
	table.smoothedAt[row] = now
	table.failureRate[row]! *= 0.5 ** (age / PENALTY_HALF_LIFE_MS)
}

/** Best of the servers that penalties compare with. */
export interface PenaltyBaseline {
	readonly lowestFailureRate: number
	/** Shortest service time observed, ms; infinite if none is. */
	readonly fastestMs: number
}

/** Returns the best failure rate and service time of `rows`. */
export function penaltyBaseline(
	table: ServerTable,
	rows: readonly number[],
	now: number,
): PenaltyBaseline {
	let lowestFailureRate = Number.POSITIVE_INFINITY
	let fastestMs = Number.POSITIVE_INFINITY
	for (const row of rows) {
		const rate = currentFailureRate(table, row, now)
		if (rate < lowestFailureRate) lowestFailureRate = rate
		const time = table.serviceMs[row]!
		if (time > 0 && time < fastestMs) fastestMs = time
	}
	return { lowestFailureRate, fastestMs }
}

/** Returns a server's failure and slowness penalties as load. */
export function penaltyLoad(
	table: ServerTable,
	row: number,
	{ lowestFailureRate, fastestMs }: PenaltyBaseline,
	now: number,
): number {
	const rate = currentFailureRate(table, row, now)
	const failing = FAILURE_LOAD * (rate - lowestFailureRate)
	return failing + slownessLoad(table, row, fastestMs, now)
}

function currentFailureRate(
	table: ServerTable,
	row: number,
	now: number,
): number {
	const rate = table.failureRate[row]!
	if (rate === 0) return 0
	const age = now - table.smoothedAt[row]!
	return rate * 0.5 ** (age / PENALTY_HALF_LIFE_MS)
}

function slownessLoad(
	table: ServerTable,
	row: number,
	fastest: number,
	now: number,
): number {
	const time = table.serviceMs[row]!
	if (time === 0) return 0
	const ratio = Math.min(MAX_SLOWNESS, time / fastest)
	const age = now - table.smoothedAt[row]!
	return SLOW_LOAD * (ratio - 1) * 0.5 ** (age / PENALTY_HALF_LIFE_MS)
}
