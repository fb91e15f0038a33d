/** Messages between entries about team limits. */

import { ERRORS } from '@juniperhook/core'
import * as v from 'valibot'

const name = v.pipe(v.string(), v.maxLength(256))
const held = v.pipe(v.number(), v.integer(), v.minValue(0))
const kinds = Object.keys(ERRORS) as (keyof typeof ERRORS)[]

/** Request to the team home for the admission of one request. */
export const TeamAdmissionSchema = v.object({
	entry: name,
	team: name,
	held,
	tokens: v.pipe(v.number(), v.minValue(0)),
})

/** Report to the team home of an entry's requests in flight. */
export const TeamInFlightSchema = v.object({ entry: name, team: name, held })

/** The team home's answer. */
export const TeamReplySchema = v.variant('type', [
	v.object({ type: v.literal('admitted') }),
	v.object({
		type: v.literal('refused'),
		kind: v.picklist(kinds),
		retryAfterMs: v.pipe(v.number(), v.minValue(0)),
	}),
	/** The receiver is not the team home by its own list, or does not know the team. */
	v.object({ type: v.literal('notHome') }),
])

/** See {@link TeamReplySchema}. */
export type TeamReply = v.InferOutput<typeof TeamReplySchema>
