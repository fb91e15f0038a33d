/** Schema of received gossip messages. */

import { TOPICS } from '@juniperhook/core'
import * as v from 'valibot'

const topic = v.picklist(TOPICS)
const integer = v.pipe(v.number(), v.integer())
const patch = v.object({
	prefix: integer,
	suffix: integer,
	middle: v.string(),
	hash: v.number(),
})
const validValue = v.object({ revision: integer, text: v.string() })

/** Parameters of the method `spread`: a gossip message and its sender. */
export const GossipParamsSchema = v.object({
	from: v.string(),
	message: v.variant('type', [
		v.object({ type: v.literal('notice'), topic, revision: integer }),
		v.object({ type: v.literal('fetch'), topic, have: integer }),
		v.object({
			type: v.literal('patches'),
			topic,
			revision: integer,
			base: integer,
			patches: v.array(patch),
		}),
		v.object({
			type: v.literal('value'),
			topic,
			revision: integer,
			text: v.string(),
			good: v.optional(validValue),
		}),
		v.object({
			type: v.literal('compare'),
			revisions: v.array(integer),
			answer: v.boolean(),
		}),
		v.object({ type: v.literal('look') }),
		v.object({ type: v.literal('contact'), ageMs: v.number() }),
	]),
})
