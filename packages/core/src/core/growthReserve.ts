/**
 * Expects growth of urgent demand. Answers a wave of urgent requests: a stream holds its
 * slot for seconds and is not interrupted, so slots that less urgent requests take now
 * are missing when the wave is higher. Steady or falling demand keeps nothing empty.
 */

/** Demand of one level, followed over time, requests per second. */
export interface DemandTrend {
	/** Latest demand. */
	current: number
	/** Demand smoothed over {@link TREND_MS}; undefined before the first update. */
	smoothed: number | undefined
}

/**
 * Time constant of the smoothed demand, ms: a few streams long, so that it lags behind
 * a rise for as long as the slots taken now are held.
 */
const TREND_MS = 4_000
/**
 * Time over which the reported demand is averaged, ms; its random fluctuations shrink
 * with the number of requests in it.
 */
const AVERAGED_MS = 1_000
/** A rise counts from this many standard deviations of the fluctuations on. */
const NOISE_DEVIATIONS = 2
/** Maximum mean duration of a stream, ms; longer ones mean that slots do not become free. */
const MAX_STREAM_MS = 10_000
/** Completions per second below which the duration of a stream is unknown. */
const MIN_COMPLETIONS = 0.5
const SECOND_MS = 1_000

/** Creates a trend without observations. */
export function createDemandTrend(): DemandTrend {
	return { current: 0, smoothed: undefined }
}

/** Records demand over all entries, `elapsedMs` after the last update. */
export function updateDemandTrend(
	trend: DemandTrend,
	perSecond: number,
	elapsedMs: number,
): void {
	const before = trend.smoothed ?? perSecond
	const weight = 1 - Math.exp(-elapsedMs / TREND_MS)
	trend.current = perSecond
	trend.smoothed = before + weight * (perSecond - before)
}

/**
 * Returns the growth expected within the duration of a stream, requests per second; at
 * most as much as the demand is now; 0 if the duration is unknown. The smoothed demand
 * lags behind the averaged one by its time constant, and that behind the arrivals by the
 * time over which it is averaged.
 */
export function expectedGrowth(
	{ current, smoothed = current }: DemandTrend,
	streamMs: number,
): number {
	const deviation = Math.sqrt((current * SECOND_MS) / (2 * AVERAGED_MS))
	const rise = current - smoothed
	if (rise <= NOISE_DEVIATIONS * deviation) return 0
	if (streamMs <= 0) return 0
	return Math.min(current, (rise * (AVERAGED_MS + streamMs)) / TREND_MS)
}

/**
 * Estimates how long a stream holds its slot, ms, from the requests in flight and the
 * completions (Little's law); 0 if unknown.
 */
export function estimateStreamMs(
	inFlight: number,
	completionsPerSecond: number,
): number {
	if (completionsPerSecond < MIN_COMPLETIONS) return 0
	const streamMs = (inFlight * SECOND_MS) / completionsPerSecond
	return Math.min(MAX_STREAM_MS, Math.max(0, streamMs))
}
