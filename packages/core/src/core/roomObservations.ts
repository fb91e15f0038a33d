/**
 * What is learned of a service's room while its load exceeds it: the rate at which it
 * completes requests, the level and trend of new requests, and how far forecasts of the
 * difference were off. The measured error makes later forecasts more cautious.
 */

const SECOND_MS = 1_000
/** Time by which the measured rates lag behind, ms: they are smoothed over a second. */
const RATE_LAG_MS = 1_000
/** How far ahead the trend of new requests is extended, ms; then it is level. */
const TREND_HORIZON_MS = 1_500
/** Time constant of the smoothed trend, ms. */
const TREND_SMOOTHING_MS = 700
/** Time constant of the completion rate at which the service was busiest, ms. */
const USUAL_SMOOTHING_MS = 20_000
/** Time constant of the smoothed forecast errors, ms. */
const ERROR_SMOOTHING_MS = 8_000
/** Time constant of the demand to which a burst may fall back, ms. */
const LONG_TERM_MS = 10_000
/** Interval between two forecasts that are checked, ms. */
const CHECK_INTERVAL_MS = 250
/** Error of a forecast that was never checked, as a share of the completion rate. */
const INITIAL_ERROR = 0.05

/** Lead times at which forecasts are checked, ms: those of usual retry times. */
export const FORECAST_LEADS_MS = [250, 1_000, 3_000] as const

/** Traffic of a service over all entries, requests a second. */
export interface RoomTraffic {
	/** Requests that arrive for the first time. */
	readonly newPerSecond: number
	readonly completionsPerSecond: number
	/** Whether the service takes requests; errors are measured only then. */
	readonly isOpen: boolean
}

/** A forecast that is checked when its time has come. */
interface PendingCheck {
	readonly lead: number
	readonly dueAt: number
	/** Completions less new requests, a second. */
	readonly perSecond: number
}

/** Observations of one service. */
export interface RoomObservations {
	/** Time of the last update, ms; undefined before the first. */
	updatedAt: number | undefined
	/** New requests a second. */
	level: number
	/** New requests a second over a longer time. */
	longTermLevel: number
	/** Change of the level, requests a second in a second. */
	trend: number
	/** Completions a second, now. */
	completionsPerSecond: number
	/** Completions a second while the service is busy, remembered through outages. */
	usualPerSecond: number
	/** Smoothed errors as shares of the usual completions, by lead time. */
	readonly errors: number[]
	pending: PendingCheck[]
	checkedAt: number
}

/** Creates observations of a service without traffic. */
export function createRoomObservations(): RoomObservations {
	return {
		updatedAt: undefined,
		level: 0,
		longTermLevel: 0,
		trend: 0,
		completionsPerSecond: 0,
		usualPerSecond: 0,
		errors: FORECAST_LEADS_MS.map(() => INITIAL_ERROR),
		pending: [],
		checkedAt: Number.NEGATIVE_INFINITY,
	}
}

/** Updates the observations with measured rates. */
export function observeTraffic(
	observations: RoomObservations,
	traffic: RoomTraffic,
	now: number,
): void {
	const { updatedAt } = observations
	observations.updatedAt = now
	const elapsedMs = updatedAt === undefined ? 0 : now - updatedAt
	// After a jump of the clock the difference to the last rates says nothing.
	const isComparable = elapsedMs > 0 && elapsedMs < 2 * RATE_LAG_MS
	if (isComparable) updateTrend(observations, traffic.newPerSecond, elapsedMs)
	else observations.trend = 0
	observations.level = traffic.newPerSecond
	observations.longTermLevel = followSlowly(
		updatedAt === undefined ? traffic.newPerSecond : observations.longTermLevel,
		traffic.newPerSecond,
		elapsedMs / LONG_TERM_MS,
	)
	if (!traffic.isOpen) {
		observations.pending = []
		return
	}
	observations.completionsPerSecond = traffic.completionsPerSecond
	updateUsual(observations, Math.max(0, elapsedMs))
	checkForecasts(observations, now)
}

function updateTrend(
	observations: RoomObservations,
	newPerSecond: number,
	elapsedMs: number,
): void {
	const slope = ((newPerSecond - observations.level) * SECOND_MS) / elapsedMs
	observations.trend = followSlowly(
		observations.trend,
		slope,
		elapsedMs / TREND_SMOOTHING_MS,
	)
}

/** Follows increases at once, and decreases slowly: those may be lack of demand. */
function updateUsual(observations: RoomObservations, elapsedMs: number): void {
	const { completionsPerSecond, usualPerSecond } = observations
	const lower = followSlowly(
		usualPerSecond,
		completionsPerSecond,
		elapsedMs / USUAL_SMOOTHING_MS,
	)
	observations.usualPerSecond = Math.max(completionsPerSecond, lower)
}

/** Moves a smoothed value towards a new one, by an age in time constants. */
function followSlowly(smoothed: number, value: number, age: number): number {
	const weight = 1 - Math.exp(-Math.max(0, age))
	return smoothed + weight * (value - smoothed)
}

/** Returns the new requests a second that are expected `aheadMs` from now. */
export function expectedNewPerSecond(
	{ level, trend }: Pick<RoomObservations, 'level' | 'trend'>,
	aheadMs: number,
): number {
	const trendMs = RATE_LAG_MS + Math.min(aheadMs, TREND_HORIZON_MS)
	return Math.max(0, level + (trend * trendMs) / SECOND_MS)
}

/** Returns the fewest new requests a second that may come: a burst may end. */
export function leastNewPerSecond(
	observations: Pick<RoomObservations, 'level' | 'trend' | 'longTermLevel'>,
	aheadMs: number,
): number {
	return Math.min(
		observations.level,
		observations.longTermLevel,
		expectedNewPerSecond(observations, aheadMs),
	)
}

function checkForecasts(observations: RoomObservations, now: number): void {
	const { completionsPerSecond, level, pending } = observations
	const seen = completionsPerSecond - level
	const due = pending.filter(({ dueAt }) => dueAt <= now)
	for (const check of due) recordError(observations, check, seen)
	observations.pending = pending.filter(({ dueAt }) => dueAt > now)
	if (now - observations.checkedAt < CHECK_INTERVAL_MS) return
	observations.checkedAt = now
	for (const [lead, leadMs] of FORECAST_LEADS_MS.entries()) {
		// Measured rates show a moment only after their lag.
		const expected = expectedNewPerSecond(observations, leadMs - RATE_LAG_MS)
		const perSecond = completionsPerSecond - expected
		observations.pending.push({ lead, dueAt: now + leadMs, perSecond })
	}
}

function recordError(
	observations: RoomObservations,
	{ lead, perSecond }: PendingCheck,
	seen: number,
): void {
	const { errors, usualPerSecond } = observations
	if (usualPerSecond <= 0) return
	const error = Math.min(1, Math.abs(perSecond - seen) / usualPerSecond)
	errors[lead] = followSlowly(
		errors[lead]!,
		error,
		CHECK_INTERVAL_MS / ERROR_SMOOTHING_MS,
	)
}

/** Returns the error to expect of a forecast, as a share of the usual completions. */
export function expectedError(
	{ errors }: Pick<RoomObservations, 'errors'>,
	aheadMs: number,
): number {
	const lead = FORECAST_LEADS_MS.findIndex(leadMs => aheadMs <= leadMs)
	return errors.at(lead)!
}
