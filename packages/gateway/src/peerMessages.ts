/** What entries tell each other, and what coordinators tell entries. */

import * as v from 'valibot'

/** Slow ranks and limit of a lock-step group. */
const GroupStatusSchema = v.object({
	/** How slow the slow ranks are, by address. */
	slow: v.record(v.string(), v.number()),
	/** Requests that each rank may hold. */
	limit: v.optional(v.number()),
})
/** What an entry holds, told to its peers. */
export const StateSchema = v.object({
	name: v.string(),
	control: v.string(),
	config: v.number(),
	list: v.number(),
	held: v.record(v.string(), v.number()),
	peers: v.array(v.string()),
	/** Groups with slow ranks or a limit, by name, as the teller was told directly. */
	groups: v.optional(v.record(v.string(), GroupStatusSchema), {}),
})
/** A coordinator's news of its group. */
export const PacesSchema = v.object({
	group: v.string(),
	...GroupStatusSchema.entries,
})
/** See {@link StateSchema}. */
export type State = v.InferOutput<typeof StateSchema>

const ServerSchema = v.object({
	id: v.string(),
	service: v.string(),
	address: v.string(),
	dataCentre: v.string(),
	slots: v.number(),
	leaving: v.boolean(),
	coldMs: v.number(),
	group: v.optional(v.string()),
})
/** What an entry that is behind is given. */
export const PullSchema = v.object({
	config: v.optional(v.string()),
	records: v.array(
		v.object({
			id: v.string(),
			revision: v.number(),
			server: v.optional(ServerSchema),
		}),
	),
})
/** What an entry that is behind has. */
export const PullRequestSchema = v.object({
	config: v.number(),
	list: v.number(),
})
