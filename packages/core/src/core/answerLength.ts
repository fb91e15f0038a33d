/**
 * Estimates how many events an answer will have. Callers of one service ask for answers
 * whose lengths differ tenfold; they state a hint that is right in the median and often
 * far off, or nothing. What complete answers had per hinted token corrects it.
 */

import type { EngineProfile, RecentSamples, RequestSize } from '../internal.ts'
import { addSample, createRecentSamples, quantileOf } from '../internal.ts'

/** Published figures about the answers of a service. */
export type UsualAnswer = Pick<
	EngineProfile,
	'stepsPerPass' | 'usualAnswerTokens'
>

/** Lengths of the complete answers of a service, as observed. */
export interface AnswerLengths {
	/** Events per hinted token. */
	readonly perHintToken: RecentSamples
	/** Events. */
	readonly events: RecentSamples
}

/** Estimated number of events of an answer. */
export interface EventEstimate {
	/** Nine of ten answers have at least as many. */
	readonly lower: number
	readonly likely: number
	/** Nine of ten answers have at most as many. */
	readonly upper: number
}

/** Observations from which on they replace the published figures. */
const MIN_SAMPLES = 16
const LOWER_SHARE = 0.1
const UPPER_SHARE = 0.9
/** Assumed factor between the likely length and both bounds until it is observed. */
const INITIAL_SPREAD = 4
/** A hint beyond the usual answer by this factor counts as not stated. */
const MAX_HINT_FACTOR = 100

/** Creates the record of a service without answers. */
export function createAnswerLengths(): AnswerLengths {
	return {
		perHintToken: createRecentSamples(),
		events: createRecentSamples(),
	}
}

/** Records the number of events of a complete answer. */
export function recordAnswerLength(
	{ perHintToken, events }: AnswerLengths,
	size: RequestSize,
	usual: UsualAnswer,
	count: number,
): void {
	if (count < 1) return
	addSample(events, count)
	const hint = readHint(size, usual)
	if (hint !== undefined) addSample(perHintToken, count / hint)
}

/** Estimates the events of a request's answer; never more than its maximum allows. */
export function estimateEvents(
	lengths: AnswerLengths,
	size: RequestSize,
	usual: UsualAnswer,
): EventEstimate {
	const hint = readHint(size, usual)
	const estimate =
		hint === undefined
			? estimateUnhinted(lengths, usual)
			: estimateHinted(lengths, hint, usual)
	const max = maxEvents(lengths, size, usual)
	const bound = (events: number) => Math.min(max, Math.max(1, events))
	return {
		lower: bound(Math.floor(estimate.lower)),
		likely: bound(Math.round(estimate.likely)),
		upper: bound(Math.ceil(estimate.upper)),
	}
}

/** Returns the likely number of events of a request's answer. */
export function likelyEvents(
	lengths: AnswerLengths,
	size: RequestSize,
	usual: UsualAnswer,
): number {
	return estimateEvents(lengths, size, usual).likely
}

/** Returns the events per hinted token in the median; undefined until observed. */
export function learnedEventsPerToken({
	perHintToken,
}: AnswerLengths): number | undefined {
	return isObserved(perHintToken) ? quantileOf(perHintToken, 0.5) : undefined
}

/**
 * Estimates from a hint. The lengths of all answers sharpen the lower bound up to what
 * the hint makes likely: the hints of equally long answers differ by more than the
 * answers do.
 */
function estimateHinted(
	lengths: AnswerLengths,
	hint: number,
	usual: UsualAnswer,
): EventEstimate {
	const { perHintToken, events } = lengths
	const likely = hint * eventsPerToken(lengths, usual)
	const shortest = isObserved(events) ? quantileOf(events, LOWER_SHARE)! : 1
	const byHint = isObserved(perHintToken)
		? hint * quantileOf(perHintToken, LOWER_SHARE)!
		: likely / INITIAL_SPREAD
	const upper = isObserved(perHintToken)
		? hint * quantileOf(perHintToken, UPPER_SHARE)!
		: likely * INITIAL_SPREAD
	return { lower: Math.max(byHint, Math.min(shortest, likely)), likely, upper }
}

function estimateUnhinted(
	lengths: AnswerLengths,
	usual: UsualAnswer,
): EventEstimate {
	const { events } = lengths
	if (isObserved(events))
		return {
			lower: quantileOf(events, LOWER_SHARE)!,
			likely: quantileOf(events, 0.5)!,
			upper: quantileOf(events, UPPER_SHARE)!,
		}
	const likely = usual.usualAnswerTokens * eventsPerToken(lengths, usual)
	return { lower: 1, likely, upper: likely * INITIAL_SPREAD }
}

function eventsPerToken(lengths: AnswerLengths, usual: UsualAnswer): number {
	return learnedEventsPerToken(lengths) ?? publishedEventsPerToken(usual)
}

/** A pass makes one event with a token for each of its steps. */
function publishedEventsPerToken({ stepsPerPass }: UsualAnswer): number {
	return 1 / Math.max(1, stepsPerPass)
}

/**
 * Returns the most events that a request's maximum allows. Hints that are too low make
 * the tokens of an event seem few, so no fewer than published are counted.
 */
function maxEvents(
	lengths: AnswerLengths,
	{ maxAnswerTokens }: RequestSize,
	usual: UsualAnswer,
): number {
	if (!isStatedTokens(maxAnswerTokens)) return Number.POSITIVE_INFINITY
	const perToken = Math.min(
		eventsPerToken(lengths, usual),
		publishedEventsPerToken(usual),
	)
	return Math.max(1, Math.ceil(maxAnswerTokens * perToken))
}

/** Returns the hinted tokens, limited to the maximum; undefined if unusable. */
function readHint(
	{ answerHintTokens, maxAnswerTokens }: RequestSize,
	{ usualAnswerTokens }: UsualAnswer,
): number | undefined {
	if (!isStatedTokens(answerHintTokens)) return undefined
	if (isStatedTokens(maxAnswerTokens))
		return Math.min(answerHintTokens, maxAnswerTokens)
	const most = MAX_HINT_FACTOR * Math.max(1, usualAnswerTokens)
	return answerHintTokens <= most ? answerHintTokens : undefined
}

/** Whether a number of tokens is stated and usable. */
export function isStatedTokens(tokens: number | undefined): tokens is number {
	return tokens !== undefined && Number.isFinite(tokens) && tokens > 0
}

function isObserved({ values }: RecentSamples): boolean {
	return values.length >= MIN_SAMPLES
}

/**
 * Whether a request surely exceeds an engine's memory, by its prompt and the maximum
 * that it may generate. An engine whose memory is not published takes any size.
 */
export function isOversize(
	{ promptTokens, maxAnswerTokens }: RequestSize,
	{ memoryTokens }: Pick<EngineProfile, 'memoryTokens'>,
): boolean {
	const tokens =
		(isStatedTokens(promptTokens) ? promptTokens : 0) +
		(isStatedTokens(maxAnswerTokens) ? maxAnswerTokens : 0)
	return memoryTokens > 0 && tokens > memoryTokens
}
