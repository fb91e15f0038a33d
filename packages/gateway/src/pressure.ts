/**
 * What an entry observes of a service that may be full: how fast places come
 * free, how long full spells last, and how soon answers begin. By it refusals are
 * given at once.
 */

import type {
	BlockageTracker,
	DispatchRate,
	RetryAfterSchedule,
} from '@juniperhook/core'
import {
	createBlockageTracker,
	createDispatchRate,
	createRetryAfterSchedule,
} from '@juniperhook/core'

/** How long a service is assumed to stay full before a spell was seen, ms. */
const FIRST_FULL_MS = 1_000
/** Weight of a new answer in the usual time to its beginning. */
const FIRST_WEIGHT = 0.1
/** Answers begin later than usual by this factor often enough to count on it. */
const SLOW_BEGINNING = 1.25

/** Observations of one service. */
export interface Pressure {
	readonly flow: DispatchRate
	readonly full: BlockageTracker
	readonly returns: RetryAfterSchedule
	/** From the sending to the beginning of an answer, smoothed, ms. */
	firstByteMs: number
}

/** The observations of a service. */
export function pressureOf(
	pressures: Map<string, Pressure>,
	service: string,
): Pressure {
	const known = pressures.get(service)
	if (known) return known
	const pressure = {
		flow: createDispatchRate(),
		full: createBlockageTracker(FIRST_FULL_MS),
		returns: createRetryAfterSchedule(),
		firstByteMs: 0,
	}
	pressures.set(service, pressure)
	return pressure
}

/** Notes how long an answer took to begin, from its sending. */
export function recordFirstByte(pressure: Pressure, tookMs: number): void {
	const { firstByteMs: firstMs } = pressure
	pressure.firstByteMs =
		firstMs === 0 ? tookMs : firstMs + FIRST_WEIGHT * (tookMs - firstMs)
}

/** How long a request may wait and still be answered in time, ms. */
export function waitBudgetMs(
	{ firstByteMs: firstMs }: Pressure,
	targetMs: number,
	elapsedMs: number,
): number {
	return targetMs - elapsedMs - SLOW_BEGINNING * firstMs
}
