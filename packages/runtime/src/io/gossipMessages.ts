/** Schema of the spread protocol's messages, as they arrive. */

import { TOPICS } from '@juniperhook/core'
import * as v from 'valibot'

const topic = v.picklist(TOPICS)
const whole = v.pipe(v.number(), v.integer())
const patch = v.object({
	prefix: whole,
	suffix: whole,
	middle: v.string(),
	hash: v.number(),
})
const good = v.object({ revision: whole, text: v.string() })

/** A message and who sent it. */
export const SpreadParamsSchema = v.object({
	from: v.string(),
	message: v.variant('type', [
		v.object({ type: v.literal('notice'), topic, revision: whole }),
		v.object({ type: v.literal('fetch'), topic, have: whole }),
		v.object({
			type: v.literal('patches'),
			topic,
			revision: whole,
			base: whole,
			patches: v.array(patch),
		}),
		v.object({
			type: v.literal('value'),
			topic,
			revision: whole,
			text: v.string(),
			good: v.optional(good),
		}),
		v.object({
			type: v.literal('compare'),
			revisions: v.array(whole),
			answer: v.boolean(),
		}),
		v.object({ type: v.literal('look') }),
		v.object({ type: v.literal('contact'), ageMs: v.number() }),
	]),
})
