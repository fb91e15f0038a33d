/**
 * Forecasts whether a stream can end before its timeout. While a group's passes take many
 * times longer than usual, long answers hold their slots until the timeout cuts them, and
 * callers with short answers, which could end, are refused for want of slots.
 */

import type { EngineProfile, PaceEstimate } from '../internal.ts'

/** What is left of a stream that is to be sent. */
export interface RemainingStream {
	/** Least number of events still to come. */
	readonly events: number
	/** Time until its timeout, ms. */
	readonly leftMs: number
}

/** Whether a stream can end in time at a group. */
export type CompletionForecast =
	/** Also at any pace near the usual one: no request is refused for its size. */
	| { readonly kind: 'possible' }
	/** The group's pace is not known, or no usual one is published. */
	| { readonly kind: 'unknown' }
	| { readonly kind: 'impossible'; readonly neededMs: number }

/**
 * Factor on the pace of full engines from which on a group counts as slowed. Imbalance
 * of the ranks and prompts that are read lengthen healthy passes by less.
 */
const SLOWED_FACTOR = 2
const TOKENS_PER_K = 1_000

/** Returns the time of a pass with all slots taken, as published, ms. */
export function fullPassMs(engine: EngineProfile): number {
	const contextTokens = engine.usualPromptTokens + engine.usualAnswerTokens
	const perRequestMs =
		engine.perRequestMs + (engine.contextMsPerK * contextTokens) / TOKENS_PER_K
	return engine.stepsPerPass * (engine.stepMs + engine.slots * perRequestMs)
}

/** Whether a pace is so much above the usual one that answers may not end in time. */
export function isSlowed(paceMs: number, usualPaceMs: number): boolean {
	return usualPaceMs > 0 && paceMs > SLOWED_FACTOR * usualPaceMs
}

/** Forecasts whether a stream can end in time at a group with this pace. */
export function forecastCompletion(
	{ events, leftMs }: RemainingStream,
	pace: PaceEstimate | undefined,
	usualPaceMs: number,
): CompletionForecast {
	if (!pace || usualPaceMs <= 0) return { kind: 'unknown' }
	if (!isSlowed(pace.paceMs, usualPaceMs)) return { kind: 'possible' }
	const neededMs = pace.firstEventMs + (events - 1) * pace.paceMs
	if (neededMs <= leftMs) return { kind: 'possible' }
	return { kind: 'impossible', neededMs }
}

/**
 * Returns the least number of events of an answer that are still to come after the last
 * event that its caller has; 0 if the event's id tells no number.
 */
export function remainingEvents(
	lowerEvents: number,
	lastEventId: string | undefined,
): number {
	if (lastEventId === undefined) return lowerEvents
	const received = Number(lastEventId)
	if (lastEventId.trim() === '' || !Number.isInteger(received) || received < 0)
		return 0
	return Math.max(0, lowerEvents - received)
}
