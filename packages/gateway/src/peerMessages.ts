/** What entries tell each other, and what coordinators tell entries. */

import * as v from 'valibot'

/** A place in what the source has published. */
const TermRevisionSchema = v.object({
	term: v.number(),
	revision: v.number(),
})
/** Whether a lock-step group runs, its slow ranks and its limit. */
const GroupStatusSchema = v.object({
	/** Whether it refuses at every rank. */
	broken: v.optional(v.boolean(), false),
	/** How slow the slow ranks are, by address. */
	slow: v.record(v.string(), v.number()),
	/** Requests that each rank may hold. */
	limit: v.optional(v.number()),
})
const CountSchema = v.pipe(v.number(), v.finite())
/** News of servers; ages and what is left, for clocks differ. */
const WireUpdateSchema = v.variant('kind', [
	v.object({
		kind: v.literal('limit'),
		server: v.string(),
		/** Requests a second; absent for as many as come. */
		perSecond: v.optional(v.pipe(CountSchema, v.minValue(0))),
		/** Since the server said so, ms. */
		agoMs: CountSchema,
	}),
	v.object({ kind: v.literal('left'), server: v.string() }),
	v.object({
		kind: v.literal('end'),
		server: v.string(),
		/** Since it ended, ms. */
		agoMs: CountSchema,
		/** For how long each request had been there, ms, by fingerprint. */
		ran: v.record(v.string(), CountSchema),
	}),
	v.object({
		kind: v.literal('served'),
		fingerprint: v.string(),
		agoMs: CountSchema,
	}),
	v.object({
		kind: v.literal('rest'),
		server: v.string(),
		/** Control address of the entry that is to leave it alone. */
		entry: v.string(),
		leftMs: CountSchema,
	}),
])
/** See {@link UpdatesSchema}. */
export type WireUpdate = v.InferOutput<typeof WireUpdateSchema>
/** What an entry has learned of servers. */
export const UpdatesSchema = v.object({ items: v.array(WireUpdateSchema) })
/** Asks a server's home for permits. */
export const PermitQuerySchema = v.object({
	/** What the asker knows of the server's limit. */
	limit: v.optional(v.pipe(CountSchema, v.minValue(0))),
	/** Since the server said so, ms. */
	limitAgoMs: CountSchema,
	server: v.string(),
	count: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(1_000)),
	/** How long its callers can wait, ms. */
	withinMs: v.pipe(v.number(), v.finite()),
})
/** See {@link PermitQuerySchema}. */
export type PermitQuery = v.InferOutput<typeof PermitQuerySchema>
/** Permits, or why there are none. */
export const PermitReplySchema = v.variant('type', [
	v.object({
		type: v.literal('permits'),
		/** When each may be used, from now, ms. */
		dueMs: v.array(v.pipe(v.number(), v.finite())),
		/** Until more may be given, ms. */
		waitMs: v.pipe(v.number(), v.finite()),
	}),
	/** Another entry gives them, as far as the one that was asked knows. */
	v.object({ type: v.literal('notHome') }),
])
/** See {@link PermitReplySchema}. */
export type PermitReply = v.InferOutput<typeof PermitReplySchema>
/** What an entry holds, told to its peers. */
export const PeerStateSchema = v.object({
	name: v.string(),
	control: v.string(),
	config: v.number(),
	list: TermRevisionSchema,
	held: v.record(v.string(), v.number()),
	dataCentre: v.optional(v.string(), ''),
	/** Requests a second that come to it and that end, by service. */
	flows: v.optional(
		v.record(v.string(), v.object({ come: v.number(), end: v.number() })),
		{},
	),
	/** Whether it learns of servers from its peers alone. */
	sourceAway: v.optional(v.boolean(), false),
	/** Limits of servers; absent while none has one. */
	limits: v.optional(v.array(WireUpdateSchema), []),
	/** Control addresses of entries; not told each time. */
	peers: v.optional(v.array(v.string()), []),
})
/** What an entry holds at servers where that has changed since it last told. */
export const InFlightDeltaSchema = v.object({
	name: v.string(),
	/** By server; 0 for none any more. */
	changed: v.record(v.string(), v.number()),
})
/** See {@link InFlightDeltaSchema}. */
export type InFlightDelta = v.InferOutput<typeof InFlightDeltaSchema>
/** A coordinator's news of its group. */
export const GroupReportSchema = v.object({
	group: v.string(),
	/** Which coordinator tells it, and how many times it has told something. */
	by: v.string(),
	number: v.number(),
	/** Entries on the way from the coordinator to the one that is told. */
	hops: v.number(),
	...GroupStatusSchema.entries,
})
/** See {@link PeerStateSchema}. */
export type PeerState = v.InferOutput<typeof PeerStateSchema>

const ServerSchema = v.object({
	id: v.string(),
	name: v.string(),
	service: v.string(),
	address: v.string(),
	dataCentre: v.string(),
	slots: v.number(),
	leaving: v.boolean(),
	coldMs: v.number(),
	group: v.optional(v.string()),
})
/** Asks for a piece of a configuration's text. */
export const PieceRequestSchema = v.object({
	version: v.number(),
	/** Packed bytes that the asker has. */
	from: v.pipe(v.number(), v.integer(), v.minValue(0)),
})
/** See {@link PieceRequestSchema}. */
export type PieceRequest = v.InferOutput<typeof PieceRequestSchema>
/** A piece of a configuration's text, or why there is none. */
export const PieceSchema = v.variant('type', [
	v.object({
		type: v.literal('piece'),
		/** Gzip as base64. */
		data: v.string(),
		/** Bytes of the whole, packed. */
		size: v.number(),
	}),
	/** Others are being served: ask somebody else, or later. */
	v.object({ type: v.literal('busy') }),
	/** Another version is in force by now. */
	v.object({ type: v.literal('changed') }),
])
/** See {@link PieceSchema}. */
export type Piece = v.InferOutput<typeof PieceSchema>
/** Asks for records of servers that are newer than a revision. */
export const RecordsRequestSchema = v.object({ after: TermRevisionSchema })
const RecordSchema = v.object({
	name: v.string(),
	revision: TermRevisionSchema,
	server: v.optional(ServerSchema),
	fault: v.optional(v.string()),
})
/** Newer records, oldest first. */
export const RecordsSchema = v.object({
	/** Whether there are more after these. */
	hasMore: v.boolean(),
	records: v.array(RecordSchema),
})
/** Removals that were doubted for a while, for an entry without the source. */
export const RemovalsSchema = v.object({ records: v.array(RecordSchema) })
/** See {@link RecordsSchema}. */
export type Records = v.InferOutput<typeof RecordsSchema>
