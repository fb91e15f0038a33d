/**
 * Load observations of a service: how fast slots become free, how long the service
 * stays full and how long responses take to start. With them, a request that cannot be
 * served in time is refused at once.
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

/** Assumed length of a blockage before one has been observed, ms. */
const INITIAL_BLOCKAGE_MS = 1_000
/** Smoothing weight of a new sample of the time to first byte. */
const FIRST_BYTE_WEIGHT = 0.1
/** Safety factor: responses often take longer to start than the smoothed time. */
const FIRST_BYTE_MARGIN = 1.25

/** Load observations of one service. */
export interface Pressure {
	readonly dispatchRate: DispatchRate
	readonly blockage: BlockageTracker
	readonly retryAfterSchedule: RetryAfterSchedule
	/** Time from sending a request to the first byte of its response, smoothed, ms. */
	firstByteMs: number
}

/** Returns the observations of a service, creating them on first use. */
export function pressureOf(
	pressures: Map<string, Pressure>,
	service: string,
): Pressure {
	const known = pressures.get(service)
	if (known) return known
	const pressure = {
		dispatchRate: createDispatchRate(),
		blockage: createBlockageTracker(INITIAL_BLOCKAGE_MS),
		retryAfterSchedule: createRetryAfterSchedule(),
		firstByteMs: 0,
	}
	pressures.set(service, pressure)
	return pressure
}

/** Records the time to first byte of a response, ms. */
export function recordFirstByte(pressure: Pressure, tookMs: number): void {
	const { firstByteMs } = pressure
	pressure.firstByteMs =
		firstByteMs === 0
			? tookMs
			: firstByteMs + FIRST_BYTE_WEIGHT * (tookMs - firstByteMs)
}

/** Returns how long a request may wait and still be answered in time, ms. */
export function waitBudgetMs(
	{ firstByteMs }: Pressure,
	targetMs: number,
	elapsedMs: number,
): number {
	return targetMs - elapsedMs - FIRST_BYTE_MARGIN * firstByteMs
}
