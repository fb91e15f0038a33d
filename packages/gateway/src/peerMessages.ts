/** Schemas of the messages between entries, and from coordinators to entries. */

import * as v from 'valibot'

/** A position in the history of the source. */
const TermRevisionSchema = v.object({
	term: v.number(),
	revision: v.number(),
})
/** Status of a lock-step group. */
const GroupStatusSchema = v.object({
	/** Whether all ranks refuse requests. */
	broken: v.optional(v.boolean(), false),
	/** Slowdown factors of the slow ranks, by address. */
	slow: v.record(v.string(), v.number()),
	/** Maximum number of requests in flight per rank. */
	limit: v.optional(v.number()),
})
const CountSchema = v.pipe(v.number(), v.finite())
/** An update about a server; ages and remaining times, as the clocks of entries differ. */
const WireUpdateSchema = v.variant('kind', [
	v.object({
		kind: v.literal('limit'),
		server: v.string(),
		/** Requests a second; absent for no limit. */
		perSecond: v.optional(v.pipe(CountSchema, v.minValue(0))),
		/** Age of the server's statement, ms. */
		agoMs: CountSchema,
	}),
	v.object({ kind: v.literal('left'), server: v.string() }),
	v.object({
		kind: v.literal('end'),
		server: v.string(),
		/** Time since the crash, ms. */
		agoMs: CountSchema,
		/** How long each request and prompt part had been in flight, ms, by key. */
		ran: v.record(v.string(), CountSchema),
	}),
	v.object({
		kind: v.literal('served'),
		/** Key of a request or of a prompt part. */
		fingerprint: v.string(),
		agoMs: CountSchema,
	}),
	v.object({
		kind: v.literal('rest'),
		server: v.string(),
		/** Control address of the entry that has to back off. */
		entry: v.string(),
		leftMs: CountSchema,
	}),
	v.object({
		kind: v.literal('cold'),
		server: v.string(),
		leftMs: CountSchema,
	}),
	v.object({
		kind: v.literal('evacuation'),
		dataCentre: v.pipe(v.string(), v.minLength(1)),
		revision: TermRevisionSchema,
		isEvacuated: v.boolean(),
	}),
])
/** See {@link WireUpdateSchema}. */
export type WireUpdate = v.InferOutput<typeof WireUpdateSchema>
/** A batch of updates, each of them yet to be parsed. */
export const UpdatesSchema = v.object({ items: v.array(v.unknown()) })

/** Updates that could be parsed, and the kinds of those that could not. */
export interface ParsedUpdates {
	readonly updates: readonly WireUpdate[]
	readonly skippedKinds: readonly string[]
}

/**
 * Parses updates one by one: an entry of a newer version may send kinds that this one
 * does not know, next to others.
 */
export function parseUpdates(items: readonly unknown[]): ParsedUpdates {
	const updates: WireUpdate[] = []
	const skippedKinds: string[] = []
	for (const item of items) {
		const parsed = v.safeParse(WireUpdateSchema, item)
		if (parsed.success) updates.push(parsed.output)
		else skippedKinds.push(kindOf(item))
	}
	return { updates, skippedKinds }
}

function kindOf(item: unknown): string {
	const hasKind = typeof item === 'object' && item !== null && 'kind' in item
	return hasKind ? String(item.kind) : 'none'
}

/** A request for permits, sent to a server's permit home. */
export const PermitQuerySchema = v.object({
	/** The server's limit as known to the sender, requests a second. */
	limit: v.optional(v.pipe(CountSchema, v.minValue(0))),
	/** Age of the server's statement of it, ms. */
	limitAgoMs: CountSchema,
	server: v.string(),
	count: v.pipe(v.number(), v.integer(), v.minValue(1), v.maxValue(1_000)),
	/** How long the sender's callers can wait, ms. */
	withinMs: v.pipe(v.number(), v.finite()),
})
/** See {@link PermitQuerySchema}. */
export type PermitQuery = v.InferOutput<typeof PermitQuerySchema>
/** Granted permits, or the reason why there are none. */
export const PermitReplySchema = v.variant('type', [
	v.object({
		type: v.literal('permits'),
		/** Time until each permit becomes valid, ms. */
		dueMs: v.array(v.pipe(v.number(), v.finite())),
		/** Time until more may be granted, ms. */
		waitMs: v.pipe(v.number(), v.finite()),
	}),
	/** In the receiver's view of the membership, the permit home is another entry. */
	v.object({ type: v.literal('notHome') }),
])
/** See {@link PermitReplySchema}. */
export type PermitReply = v.InferOutput<typeof PermitReplySchema>
const RateSchema = v.pipe(v.number(), v.finite(), v.minValue(0))
/** Demand for a service at one entry, a second; see `RequestFlow`. */
const FlowSchema = v.object({
	come: v.number(),
	end: v.number(),
	byUrgency: v.optional(v.record(v.string(), RateSchema)),
	byTeam: v.optional(v.record(v.string(), v.record(v.string(), RateSchema))),
	teams: v.optional(v.record(v.string(), RateSchema)),
	returns: v.optional(v.pipe(v.array(RateSchema), v.readonly())),
})
/** A refused caller, so that other entries recognize it when it comes back. */
const ReturnSchema = v.object({
	fingerprint: v.pipe(v.number(), v.integer(), v.minValue(0)),
	dueInMs: CountSchema,
})
/** See {@link ReturnSchema}. */
export type WireReturn = v.InferOutput<typeof ReturnSchema>
/** Refused callers since the last message; absent while there are none. */
const RefusedSchema = v.optional(v.array(ReturnSchema))
/** An entry's state, sent to its peers. */
export const PeerStateSchema = v.object({
	name: v.string(),
	control: v.string(),
	config: v.number(),
	list: TermRevisionSchema,
	held: v.record(v.string(), v.number()),
	dataCentre: v.optional(v.string(), ''),
	/** Rates of arriving and finished requests, a second, by service. */
	flows: v.optional(v.record(v.string(), FlowSchema), {}),
	/** Whether it has lost the source and depends on its peers. */
	sourceAway: v.optional(v.boolean(), false),
	/** Rate limits of servers; absent while there are none. */
	limits: v.optional(v.array(WireUpdateSchema), []),
	refused: RefusedSchema,
	/** Evacuated data centres; absent while there are none. */
	evacuations: v.optional(v.array(v.unknown()), []),
	/** Ages of answers by prompt part, ms; only on a new link. */
	servedParts: v.optional(v.record(v.string(), CountSchema)),
	/** Control addresses of known entries; not part of every message. */
	peers: v.optional(v.array(v.string()), []),
})
/** Changes in an entry's in-flight requests since its last message. */
export const InFlightDeltaSchema = v.object({
	name: v.string(),
	/** Number of requests in flight by server id; 0 for none any more. */
	changed: v.record(v.string(), v.number()),
	refused: RefusedSchema,
})
/** See {@link InFlightDeltaSchema}. */
export type InFlightDelta = v.InferOutput<typeof InFlightDeltaSchema>
/** A coordinator's report on its group. */
export const GroupReportSchema = v.object({
	group: v.string(),
	/** The coordinator, and the sequence number of its report. */
	by: v.string(),
	number: v.number(),
	/** Number of entries that have forwarded the report. */
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
/** A request for a piece of a configuration's text. */
export const PieceRequestSchema = v.object({
	version: v.number(),
	/** Compressed bytes received so far. */
	from: v.pipe(v.number(), v.integer(), v.minValue(0)),
})
/** See {@link PieceRequestSchema}. */
export type PieceRequest = v.InferOutput<typeof PieceRequestSchema>
/** A piece of a configuration's text, or the reason why there is none. */
export const PieceSchema = v.variant('type', [
	v.object({
		type: v.literal('piece'),
		/** Gzip data in base64. */
		data: v.string(),
		/** Compressed size of the whole text, bytes. */
		size: v.number(),
	}),
	/** Too many transfers in progress; retry later or at another entry. */
	v.object({ type: v.literal('busy') }),
	/** Another version is active. */
	v.object({ type: v.literal('changed') }),
])
/** See {@link PieceSchema}. */
export type Piece = v.InferOutput<typeof PieceSchema>
/** A request for server records newer than a revision. */
export const RecordsRequestSchema = v.object({ after: TermRevisionSchema })
const RecordSchema = v.object({
	name: v.string(),
	revision: TermRevisionSchema,
	server: v.optional(ServerSchema),
	fault: v.optional(v.string()),
})
/** A page of newer records, oldest first. */
export const RecordsSchema = v.object({
	/** Whether another page follows. */
	hasMore: v.boolean(),
	records: v.array(RecordSchema),
})
/** Deferred removals that were confirmed, for an entry without the source. */
export const RemovalsSchema = v.object({ records: v.array(RecordSchema) })
/** See {@link RecordsSchema}. */
export type Records = v.InferOutput<typeof RecordsSchema>
