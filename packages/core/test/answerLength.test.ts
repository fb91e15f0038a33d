/** Tests the estimate of an answer's events, and requests beyond an engine's memory. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { AnswerLengths, RequestSize } from '../src/index.ts'
import {
	createAnswerLengths,
	createRandom,
	estimateEvents,
	isOversize,
	learnedEventsPerToken,
	likelyEvents,
	recordAnswerLength,
} from '../src/index.ts'

const USUAL = { stepsPerPass: 6, usualAnswerTokens: 120 }
const NOTHING: RequestSize = {
	promptTokens: undefined,
	maxAnswerTokens: undefined,
	answerHintTokens: undefined,
}

/** Records answers of 2 to 50 events; returns which shares lay beyond the bounds. */
function learn(
	lengths: AnswerLengths,
	toHint: (tokens: number, normal: number) => number | undefined,
): { below: number; above: number } {
	const random = createRandom(7)
	const outside = { below: 0, above: 0 }
	const count = 600
	for (let at = 0; at < count; at++) {
		const events = Math.floor(2 * 25 ** random())
		const normal = [1, 2, 3, 4].reduce(sum => sum + random() - 0.5, 0) * 1.73
		const size = {
			...NOTHING,
			answerHintTokens: toHint(events * 6, normal),
		}
		const { lower, upper } = estimateEvents(lengths, size, USUAL)
		if (events < lower) outside.below += 1 / count
		if (events > upper) outside.above += 1 / count
		recordAnswerLength(lengths, size, USUAL, events)
	}
	return outside
}

const HINTS: {
	name: string
	toHint: (tokens: number, normal: number) => number | undefined
	/** Learned events per hinted token. */
	perToken: number | undefined
}[] = [
	{
		name: 'right in the median, off by a factor of two',
		toHint: (tokens, normal) => tokens * 2 ** normal,
		perToken: 1 / 6,
	},
	{
		name: 'ten times too low',
		toHint: (tokens, normal) => (tokens / 10) * 2 ** normal,
		perToken: 10 / 6,
	},
	{ name: 'missing', toHint: () => undefined, perToken: undefined },
	{
		name: 'absurd in one of five',
		toHint: (tokens, normal) =>
			Math.abs(normal) > 1.28 ? 1e9 : tokens * 2 ** (normal / 2),
		perToken: 1 / 6,
	},
]

for (const { name, toHint, perToken } of HINTS)
	test(`answer length learned from hints that are ${name}`, () => {
		const lengths = createAnswerLengths()
		const { below, above } = learn(lengths, toHint)
		assert.ok(below < 0.2, `${below} shorter than the lower bound`)
		assert.ok(above < 0.2, `${above} longer than the upper bound`)
		const learned = learnedEventsPerToken(lengths)
		if (perToken === undefined) assert.is(learned, undefined)
		else assert.ok(learned! / perToken > 0.7 && learned! / perToken < 1.4)
	})

const ABSURD: { name: string; size: Partial<RequestSize> }[] = [
	{ name: 'nothing stated', size: {} },
	{ name: 'negative', size: { answerHintTokens: -5, maxAnswerTokens: -1 } },
	{ name: 'not a number', size: { answerHintTokens: Number.NaN } },
	{ name: 'infinite', size: { answerHintTokens: Number.POSITIVE_INFINITY } },
	{ name: 'zero', size: { answerHintTokens: 0, maxAnswerTokens: 0 } },
	{ name: 'a hint of 10^9', size: { answerHintTokens: 1e9 } },
]

for (const { name, size } of ABSURD)
	test(`answer length from the published figures: ${name}`, () => {
		const lengths = createAnswerLengths()
		const estimate = estimateEvents(lengths, { ...NOTHING, ...size }, USUAL)
		assert.equal(estimate, { lower: 1, likely: 20, upper: 80 })
	})

for (const answerHintTokens of [undefined, 1, 120, 1e9])
	test(`answer length never exceeds the maximum: hint ${answerHintTokens}`, () => {
		const size = { ...NOTHING, answerHintTokens, maxAnswerTokens: 30 }
		const lengths = createAnswerLengths()
		learn(lengths, tokens => tokens / 10)
		for (const known of [createAnswerLengths(), lengths]) {
			const { lower, likely, upper } = estimateEvents(known, size, USUAL)
			assert.ok(lower >= 1 && lower <= likely && likely <= upper)
			assert.ok(upper <= 5, `${upper}`)
		}
	})

test('answer length: hints that become right are followed within a window', () => {
	const lengths = createAnswerLengths()
	learn(lengths, tokens => tokens / 10)
	learn(lengths, tokens => tokens)
	const size = { ...NOTHING, answerHintTokens: 60 }
	assert.is(likelyEvents(lengths, size, USUAL), 10)
})

const SIZES = [
	{ prompt: 2_900, max: 350, memory: 217_000, oversize: false },
	{ prompt: 900, max: 101, memory: 1_000, oversize: true },
	{ prompt: 900, max: 100, memory: 1_000, oversize: false },
	{ prompt: 1e9, max: undefined, memory: 217_000, oversize: true },
	{ prompt: undefined, max: undefined, memory: 1_000, oversize: false },
	{ prompt: -1e9, max: 1_001, memory: 1_000, oversize: true },
	{ prompt: 1e9, max: 1, memory: 0, oversize: false },
]

for (const { prompt, max, memory, oversize } of SIZES)
	test(`prompt of ${prompt}, maximum ${max}, memory ${memory}: oversize ${oversize}`, () => {
		const size = { ...NOTHING, promptTokens: prompt, maxAnswerTokens: max }
		assert.is(isOversize(size, { memoryTokens: memory }), oversize)
	})

test.run()
