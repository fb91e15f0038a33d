/**
 * Forecasts the room of a service that cannot take all requests, for callers that are
 * refused and told when to come back: when it takes requests again, and how many it takes
 * from then on beyond the new ones.
 */

import type { RoomObservations } from '../internal.ts'
import {
	expectedError,
	expectedNewPerSecond,
	leastNewPerSecond,
} from '../internal.ts'

const SECOND_MS = 1_000
/** Length of the steps of a forecast, ms. */
export const QUARTER_MS = 250
/** Steps of a forecast: callers with longer deadlines than 30 s are rare. */
export const FORECAST_QUARTERS = 40
/** Time over which free slots are filled, ms: a herd would exceed what servers accept. */
const FILL_MS = 1_000

/** When and how a service takes requests; what restricts it decides the kind. */
export type RoomSource =
	/** It takes requests as slots become free. */
	| { readonly kind: 'open'; readonly freeSlots: number }
	/** Its groups are expected to open within `opensInMs`, with all `slots` free. */
	| {
			readonly kind: 'closed'
			readonly opensInMs: number
			/** Time after which they may be open already, ms. */
			readonly soonestMs: number
			readonly slots: number
	  }
	/** Its servers have asked for rest; then they get one probe an interval. */
	| {
			readonly kind: 'resting'
			readonly opensInMs: number
			/** Time before which it certainly takes none, ms. */
			readonly notBeforeMs: number
			readonly intervalMs: number
	  }
	/** Its servers are limited, and permits are valid from `opensInMs` on. */
	| { readonly kind: 'limited'; readonly opensInMs: number }

/** Room of a service in the next quarter seconds, over all entries. */
export interface RoomForecast {
	readonly kind: RoomSource['kind']
	/** Time until it takes requests, ms. */
	readonly availableInMs: number
	/** Time after which it may take requests already, ms. */
	readonly soonestMs: number
	/** Time before which it certainly takes none, ms. */
	readonly notBeforeMs: number
	/** Requests a second that it takes from then on, new ones included. */
	readonly perSecond: number
	/** How sure the forecast is, from 0 to 1. */
	readonly sure: number
	/** Requests beyond the new ones, by quarter second; what remains if it errs. */
	readonly rooms: readonly number[]
	/** The same if it errs to the other side: what may come true. */
	readonly hopes: readonly number[]
}

/** Forecasts the room of a service by its observed traffic. */
export function forecastRoom(
	observations: RoomObservations,
	source: RoomSource,
): RoomForecast {
	const perSecond = rateOf(observations, source)
	const availableInMs = availableInMsOf(source)
	const soonest = soonestOf(source)
	const steps = Array.from({ length: FORECAST_QUARTERS }, (_, at) => at)
	const rooms: number[] = []
	const hopes: number[] = []
	for (const at of steps) {
		const { capacity, margin, expected } = stepOf(observations, source, at)
		const hope = stepOf(observations, soonest, at)
		rooms.push(Math.max(0, capacity - expected - margin))
		hopes.push(Math.max(0, hope.capacity - Math.max(0, hope.least - margin)))
	}
	return {
		kind: source.kind,
		availableInMs,
		soonestMs: availableInMsOf(soonest),
		notBeforeMs: source.kind === 'resting' ? source.notBeforeMs : 0,
		perSecond,
		sure: 1 - expectedError(observations, availableInMs + SECOND_MS),
		rooms,
		hopes,
	}
}

/** Returns the source as it is if it takes requests as soon as it may. */
function soonestOf(source: RoomSource): RoomSource {
	return source.kind === 'closed'
		? { ...source, opensInMs: source.soonestMs }
		: source
}

/** Forecast of one quarter second. */
interface ForecastStep {
	/** Most requests that it takes, new ones included. */
	readonly capacity: number
	/** New requests that are expected, and the fewest that may come. */
	readonly expected: number
	readonly least: number
	/** By how much the forecast may err, in requests. */
	readonly margin: number
}

const NO_STEP: ForecastStep = { capacity: 0, expected: 0, least: 0, margin: 0 }

function stepOf(
	observations: RoomObservations,
	source: RoomSource,
	at: number,
): ForecastStep {
	const fromMs = at * QUARTER_MS
	const toMs = fromMs + QUARTER_MS
	const capacity =
		capacityBy(observations, source, toMs) -
		capacityBy(observations, source, fromMs)
	const openMs = toMs - Math.max(fromMs, availableInMsOf(source))
	if (openMs <= 0) return NO_STEP
	const openS = openMs / SECOND_MS
	return {
		capacity,
		expected: expectedNewPerSecond(observations, fromMs) * openS,
		least: leastNewPerSecond(observations, fromMs) * openS,
		margin: expectedError(observations, fromMs) * capacity,
	}
}

/** Returns how many requests the service takes within `byMs` from now. */
function capacityBy(
	observations: RoomObservations,
	source: RoomSource,
	byMs: number,
): number {
	const openMs = Math.max(0, byMs - availableInMsOf(source))
	const filled = Math.min(1, openMs / FILL_MS)
	const perMs = rateOf(observations, source) / SECOND_MS
	switch (source.kind) {
		case 'open':
			return source.freeSlots * filled + perMs * openMs
		case 'closed': {
			// The first requests complete only after their usual length.
			const lengthMs = perMs > 0 ? source.slots / perMs : FILL_MS
			const completedMs = Math.max(0, openMs - lengthMs)
			return source.slots * filled + perMs * completedMs
		}
		case 'resting':
		case 'limited':
			return perMs * openMs
		default:
			return source satisfies never
	}
}

function availableInMsOf(source: RoomSource): number {
	switch (source.kind) {
		case 'open':
			return 0
		case 'closed':
		case 'limited':
			return source.opensInMs
		case 'resting':
			return Math.max(source.opensInMs, source.notBeforeMs)
		default:
			return source satisfies never
	}
}

function rateOf(
	{ completionsPerSecond, usualPerSecond }: RoomObservations,
	source: RoomSource,
): number {
	switch (source.kind) {
		case 'open':
			return completionsPerSecond
		case 'closed':
		case 'limited':
			return usualPerSecond
		case 'resting':
			// The observed completions say nothing about a server that was at rest.
			return SECOND_MS / source.intervalMs
		default:
			return source satisfies never
	}
}
