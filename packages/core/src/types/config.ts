/**
 * Schema of the configuration document, and the types inferred from it. All values are
 * text in INI, so each field parses its own.
 */

import * as v from 'valibot'

const NAME = /^[a-z0-9][a-z0-9-]*$/i
const IPV4 = /^(25[0-5]|2[0-4]\d|1?\d?\d)(\.(25[0-5]|2[0-4]\d|1?\d?\d)){3}$/
const ADDRESS = /^(.+):(\d{1,5})$/
const DIGEST = /^[0-9a-f]{64}$/
const DECIMAL = /^\d+(\.\d+)?$/
const MAX_PORT = 65_535

/** Whether `text` is `IP:port` with an IPv4 address, not a host name. */
export function isAddress(text: string): boolean {
	const parts = ADDRESS.exec(text)
	if (!parts?.[1] || !parts[2]) return false
	const port = Number(parts[2])
	return IPV4.test(parts[1]) && port > 0 && port <= MAX_PORT
}

const text = v.string('a value')
const name = v.pipe(text, v.regex(NAME, 'a name of letters, digits and -'))
const address = v.pipe(
	text,
	v.check(isAddress, 'an address IP:port with an IP number'),
)
const digest = v.pipe(text, v.regex(DIGEST, 'a SHA-256 digest, 64 hex digits'))

function number(min: number, max: number, unit: string) {
	const expected = `a number from ${min} to ${max} (${unit})`
	return v.pipe(
		text,
		v.regex(DECIMAL, expected),
		v.transform(Number),
		v.minValue(min, expected),
		v.maxValue(max, expected),
	)
}

function whole(min: number, max: number, unit: string) {
	const expected = `a whole number from ${min} to ${max} (${unit})`
	return v.pipe(number(min, max, unit), v.integer(expected))
}

const flag = v.pipe(
	text,
	v.picklist(['yes', 'no'], 'yes or no'),
	v.transform(value => value === 'yes'),
)

function list<T extends string>(item: v.GenericSchema<string, T>) {
	const split = v.transform((value: string) =>
		value.split(/[\s,]+/).filter(part => part !== ''),
	)
	return v.pipe(text, split, v.array(item))
}

/** A data centre. */
export const DataCentreSchema = v.strictObject({ region: name })

/** A model, by the name that callers use. */
export const ModelSchema = v.strictObject({
	/** Version that the engines must run. */
	version: v.optional(text, '1'),
	/** Maximum context length, tokens. */
	maxTokens: v.optional(whole(1, 10_000_000, 'tokens'), '131072'),
})

/** A lock-step group of ranks. */
export const GroupSchema = v.strictObject({
	model: name,
	/** Backend servers in rank order. */
	ranks: list(name),
	layers: whole(1, 1000, 'layers'),
	experts: whole(1, 10_000, 'experts a layer'),
	/** Expert slots per rank and layer in addition to an even share. */
	spareSlots: v.optional(whole(0, 1000, 'slots a rank a layer'), '2'),
	bytesPerExpert: v.optional(whole(1, 1e12, 'bytes'), '44000000'),
	/** Whether the engines refuse orders with a lower fencing token. */
	checksFences: v.optional(flag, 'yes'),
	/** Weight of the step time saved by a rebalance. */
	skewWeight: v.optional(number(0, 1000, 'weight'), '1'),
	/** Weight of the capacity lost to moving experts. */
	moveWeight: v.optional(number(0, 1000, 'weight'), '1'),
	/** Share of the step time spent in the experts. */
	expertShare: v.optional(number(0.01, 1, 'share'), '0.7'),
	/** Share of the group's capacity lost while experts are being loaded. */
	loadLoss: v.optional(number(0, 1, 'share'), '0.05'),
	/** Bandwidth of the weight store for this group. */
	storeBytesPerSecond: v.optional(number(1, 1e12, 'bytes/s'), '400000000'),
	/** Interval between rebalancing plans. */
	planSeconds: v.optional(number(0.1, 86_400, 's'), '60'),
})

/** Initial placement of a group's experts in every layer, such as `rank0 = 0-7 64`. */
export const PlacementSchema = v.record(
	v.pipe(text, v.regex(/^rank\d+$/, 'rankN = list of experts')),
	v.pipe(text, v.regex(/^[\d\s,-]*$/, 'experts such as 0-7, 12')),
)

/** A customer of the operators' fleet. */
export const TeamSchema = v.strictObject({
	/** Digests of the team's API keys; the keys themselves are never stored. */
	keyDigests: list(digest),
	ratePerSecond: v.optional(number(0.01, 1e6, 'requests a second'), '100'),
	concurrency: v.optional(whole(1, 1e6, 'requests in flight'), '100'),
	tokensPerSecond: v.optional(number(1, 1e9, 'tokens a second'), '100000'),
	/** Weight against other teams at a contended backend server. */
	weight: v.optional(number(0.01, 1000, 'weight'), '1'),
	/** Most urgent priority that this team may request; 0 is the most urgent. */
	bestPriority: v.optional(whole(0, 9, 'priority, 0 first'), '0'),
})

/** A plain service. */
export const ServiceSchema = v.strictObject({
	/** Which requests may be repeated; `safe`: those with a safe HTTP method. */
	repeat: v.optional(
		v.pipe(
			text,
			v.picklist(['always', 'safe', 'never'], 'always, safe or never'),
		),
		'safe',
	),
	priority: v.optional(whole(0, 9, 'priority, 0 first'), '4'),
	deadlineSeconds: v.optional(number(0.1, 3600, 's'), '30'),
	/** Retention time of the idempotency keys of requests that must not be repeated. */
	keyWindowSeconds: v.optional(number(1, 86_400, 's'), '600'),
})

/** A backend server and its agent. */
export const ServerSchema = v.strictObject({
	kind: v.pipe(text, v.picklist(['engine', 'service'], 'engine or service')),
	dataCentre: name,
	/** Address on which the agent serves the entries. */
	agent: address,
	/** Address on which the backend server serves its agent. */
	backend: address,
	/** Name of the service, if the kind is `service`. */
	service: v.optional(name),
	/** Name of the model, for an engine outside a group. */
	model: v.optional(name),
	/** Maximum number of requests that the backend server runs concurrently. */
	slots: v.optional(whole(1, 100_000, 'requests at once'), '64'),
})

function table<T extends v.GenericSchema>(row: T) {
	return v.optional(v.record(name, row), {})
}

/** The complete document. */
export const ConfigSchema = v.strictObject({
	dataCentre: v.record(name, DataCentreSchema),
	model: table(ModelSchema),
	group: table(GroupSchema),
	placement: table(PlacementSchema),
	team: table(TeamSchema),
	service: table(ServiceSchema),
	server: table(ServerSchema),
})

export type Config = v.InferOutput<typeof ConfigSchema>
export type TeamConfig = v.InferOutput<typeof TeamSchema>
export type ServiceConfig = v.InferOutput<typeof ServiceSchema>
export type ServerConfig = v.InferOutput<typeof ServerSchema>
export type GroupConfig = v.InferOutput<typeof GroupSchema>
export type ModelConfig = v.InferOutput<typeof ModelSchema>
