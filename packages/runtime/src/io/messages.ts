/** Schemas and types of the messages between entries and agents. */

import * as v from 'valibot'

const count = v.pipe(v.number(), v.minValue(0))

/** An agent's load, sent with every response and in reports. */
export const LoadSchema = v.object({
	/** Requests running and waiting. */
	load: count,
	/** Smoothed time that a request occupies its slot, ms. */
	serviceMs: count,
	/** Ratio of the rank's step time to its group's mean; 1 outside a group. */
	stepShare: count,
	/** Time in which the server accepts no requests: backoff or exhausted limit, ms. */
	heldMs: v.optional(count, 0),
})

/** See {@link LoadSchema}. */
export type LoadFields = v.InferOutput<typeof LoadSchema>

/** Header that carries an {@link OfferMeta} as JSON in base64url. */
export const OFFER_HEADER = 'x-juniperhook-offer'

/** Description of a request that an entry offers to an agent. */
export const OfferSchema = v.object({
	reqId: v.pipe(v.string(), v.maxLength(100)),
	attempt: v.pipe(v.number(), v.integer()),
	/** Incarnation of the agent that the offer is addressed to. */
	incarnation: v.string(),
	team: v.string(),
	weight: v.pipe(v.number(), v.minValue(0.001)),
	priority: count,
	startBudgetMs: count,
	/**
	 * Whether the request may wait for a server that accepts none at the moment; set when
	 * the entry has no better server.
	 */
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

/** First message on a control connection, in both directions. */
export const HelloSchema = v.object({
	name: v.string(),
	kind: v.picklist(['entry', 'agent']),
	incarnation: v.string(),
	revision: v.pipe(v.number(), v.integer()),
})

/** See {@link HelloSchema}. */
export type Hello = v.InferOutput<typeof HelloSchema>

/** Periodic report of an agent to its entries. */
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

/** Crash of a backend server, as reported by its agent and by entries. */
export const ServerCrashSchema = v.object({
	/** Id of the incarnation that crashed. */
	server: v.string(),
	agoMs,
	/** How long it had been running each of its requests, ms, by fingerprint. */
	ran: v.record(v.string(), v.number()),
})

/** See {@link ServerCrashSchema}. */
export type ServerCrashNotice = v.InferOutput<typeof ServerCrashSchema>

/** Crash evidence that entries exchange: crashes, and requests served without one. */
export const CrashUpdatesSchema = v.object({
	ends: v.array(ServerCrashSchema),
	served: v.array(v.object({ fingerprint: v.string(), agoMs })),
})

/** See {@link CrashUpdatesSchema}. */
export type CrashUpdatesNotice = v.InferOutput<typeof CrashUpdatesSchema>

/** Identifies an attempt at an incarnation of an agent. */
export const AttemptRefSchema = v.object({
	reqId: v.string(),
	attempt: v.pipe(v.number(), v.integer()),
	incarnation: v.string(),
})

/** See {@link AttemptRefSchema}. */
export type AttemptRef = v.InferOutput<typeof AttemptRefSchema>

/** Reply to a void request. */
export interface VoidReply {
	readonly answer: 'void' | 'started' | 'unknown'
}

/** Header that carries a {@link ResumeMeta} as JSON in base64url. */
export const RESUME_HEADER = 'x-juniperhook-resume'

/** Requests the remainder of a response, starting at chunk `from`. */
export const ResumeSchema = v.object({
	...AttemptRefSchema.entries,
	from: v.pipe(v.number(), v.integer(), v.minValue(0)),
})

/** See {@link ResumeSchema}. */
export type ResumeMeta = v.InferOutput<typeof ResumeSchema>

/** Encodes a message as a header value. */
export function packHeader(value: OfferMeta | ResumeMeta): string {
	return Buffer.from(JSON.stringify(value)).toString('base64url')
}
