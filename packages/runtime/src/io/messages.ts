/** The messages between entries and agents, typed by schema. */

import * as v from 'valibot'

const count = v.pipe(v.number(), v.minValue(0))

/** An agent's load, sent with every answer and in reports. */
export const LoadSchema = v.object({
	/** Requests running and waiting. */
	load: count,
	/** Smoothed time that a request holds its slot, in ms. */
	serviceMs: count,
	/** Own step time over the group's mean; 1 outside a group. */
	stepShare: count,
	/** For how long the server takes nothing: it rests, or its limit is used up, ms. */
	heldMs: v.optional(count, 0),
})

/** See {@link LoadSchema}. */
export type LoadFields = v.InferOutput<typeof LoadSchema>

/** Header that carries an {@link OfferMeta} as JSON in base64url. */
export const OFFER_HEADER = 'x-juniperhook-offer'

/** What an entry says of a request when it offers it to an agent. */
export const OfferSchema = v.object({
	reqId: v.pipe(v.string(), v.maxLength(100)),
	attempt: v.pipe(v.number(), v.integer()),
	/** The agent incarnation that the offer is meant for. */
	incarnation: v.string(),
	team: v.string(),
	weight: v.pipe(v.number(), v.minValue(0.001)),
	priority: count,
	startBudgetMs: count,
	/** Whether it may wait for a server that takes nothing for now: none is better. */
	mayWait: v.optional(v.boolean(), true),
	method: v.string(),
	path: v.string(),
	headers: v.record(v.string(), v.string()),
	service: v.optional(v.string()),
	key: v.optional(v.string()),
	/** See `KeyClaim.fresh`. */
	freshKey: v.optional(v.boolean()),
})

/** See {@link OfferSchema}. */
export type OfferMeta = v.InferOutput<typeof OfferSchema>

/** First message on a control connection, both ways. */
export const HelloSchema = v.object({
	name: v.string(),
	kind: v.picklist(['entry', 'agent']),
	incarnation: v.string(),
	revision: v.pipe(v.number(), v.integer()),
})

/** See {@link HelloSchema}. */
export type Hello = v.InferOutput<typeof HelloSchema>

/** What an agent tells its entries of itself. */
export const ReportSchema = v.object({
	server: v.string(),
	incarnation: v.string(),
	state: v.picklist(['serving', 'leaving', 'suspect']),
	slots: count,
	revision: v.pipe(v.number(), v.integer()),
	...LoadSchema.entries,
})

/** See {@link ReportSchema}. */
export type Report = v.InferOutput<typeof ReportSchema>

const agoMs = v.pipe(v.number(), v.minValue(0))

/** A backend server's end, as its agent and entries tell it. */
export const ServerCrashSchema = v.object({
	/** Names its life. */
	server: v.string(),
	agoMs,
	/** For how long it had run each request, ms, by fingerprint. */
	ran: v.record(v.string(), v.number()),
})

/** See {@link ServerCrashSchema}. */
export type ServerCrashNotice = v.InferOutput<typeof ServerCrashSchema>

/** What entries tell each other of requests under which backend servers ended. */
export const CrashUpdatesSchema = v.object({
	ends: v.array(ServerCrashSchema),
	served: v.array(v.object({ fingerprint: v.string(), agoMs })),
})

/** See {@link CrashUpdatesSchema}. */
export type CrashUpdatesNotice = v.InferOutput<typeof CrashUpdatesSchema>

/** Names a try at an incarnation of an agent. */
export const AttemptRefSchema = v.object({
	reqId: v.string(),
	attempt: v.pipe(v.number(), v.integer()),
	incarnation: v.string(),
})

/** See {@link AttemptRefSchema}. */
export type AttemptRef = v.InferOutput<typeof AttemptRefSchema>

/** Answer to a void order. */
export interface VoidReply {
	readonly answer: 'void' | 'started' | 'unknown'
}

/** Header that carries a {@link ResumeMeta} as JSON in base64url. */
export const RESUME_HEADER = 'x-juniperhook-resume'

/** Asks for the rest of an answer, from chunk `from` on. */
export const ResumeSchema = v.object({
	...AttemptRefSchema.entries,
	from: v.pipe(v.number(), v.integer(), v.minValue(0)),
})

/** See {@link ResumeSchema}. */
export type ResumeMeta = v.InferOutput<typeof ResumeSchema>

/** Encodes a message for a header. */
export function packHeader(value: OfferMeta | ResumeMeta): string {
	return Buffer.from(JSON.stringify(value)).toString('base64url')
}
