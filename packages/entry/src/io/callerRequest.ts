/** Reads and validates callers' requests: team, target, body, priority and deadline. */

import { createHash, randomBytes } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Config, TeamConfig } from '@juniperhook/core'
import {
	estimateParsedBytes,
	hashPrefix,
	makeKey,
	readKeyTime,
} from '@juniperhook/core'
import { awaitBody, fail, removeHopByHopHeaders } from '@juniperhook/runtime'
import * as v from 'valibot'

/** Maximum size of a request body, bytes. */
export const MAX_BODY_BYTES = 10_485_760
/** Priority of a request to a model without a priority header. */
const DEFAULT_MODEL_PRIORITY = 6
const MAX_MODEL_DEADLINE_MS = 600_000
const MODEL_START_BUDGET_MS = 30_000
const DEFAULT_COMPLETION_TOKENS = 256
const CHARS_PER_TOKEN = 4
const KEY_BYTES = 16
const MS_PER_SECOND = 1_000
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const PRIORITY_HEADER = 'x-priority'
const REPEATABLE_HEADER = 'x-repeatable'
const DEADLINE_HEADER = 'x-deadline-ms'
/** Request header with the key of a request that may not be repeated. */
export const KEY_HEADER = 'idempotency-key'

/** Request headers that are not forwarded to the backend server. */
const ENTRY_HEADERS = new Set([
	'authorization',
	KEY_HEADER,
	PRIORITY_HEADER,
	REPEATABLE_HEADER,
	DEADLINE_HEADER,
])

/** Model or service that a request is addressed to. */
export type Target =
	| { readonly kind: 'model'; readonly model: string }
	| { readonly kind: 'service'; readonly service: string }

/** The key of a request that may not be repeated. */
export interface RequestKey {
	readonly value: string
	/** Whether this entry has just created it: no earlier request can have used it. */
	readonly isNew: boolean
}

/** A request that has been read and checked. */
export interface CallerRequest {
	readonly teamName: string
	readonly team: TeamConfig
	readonly target: Target
	readonly method: string
	/** Path towards the backend server. */
	readonly path: string
	readonly headers: Record<string, string>
	readonly body: Buffer
	readonly repeatable: boolean
	/** Only for a request to a service that may not be repeated. */
	readonly key: RequestKey | undefined
	readonly priority: number
	readonly deadlineMs: number
	readonly startBudgetMs: number
	/** Expected token cost; 0 for a service. */
	readonly tokens: number
	/** Hash of the prompt's prefix; `undefined` for a service. */
	readonly prefix: number | undefined
}

/** Team names by digest of their API keys. */
export type TeamIndex = ReadonlyMap<string, string>

const TextPartSchema = v.looseObject({ text: v.optional(v.string()) })
const ContentSchema = v.union([v.string(), v.array(TextPartSchema), v.null()])
const MessageSchema = v.looseObject({
	role: v.string(),
	content: v.optional(ContentSchema),
})
const maxTokens = v.optional(
	v.nullable(v.pipe(v.number(), v.integer(), v.minValue(1))),
)
const shared = {
	model: v.string(),
	stream: v.optional(v.nullable(v.boolean())),
	max_tokens: maxTokens,
	max_completion_tokens: maxTokens,
}
const ChatSchema = v.looseObject({
	...shared,
	messages: v.pipe(v.array(MessageSchema), v.minLength(1)),
})
const CompletionSchema = v.looseObject({
	...shared,
	prompt: v.union([v.string(), v.array(v.union([v.string(), v.number()]))]),
})

/** Creates the team index of a configuration. */
export function indexTeams(config: Config): TeamIndex {
	const index = new Map<string, string>()
	for (const [name, team] of Object.entries(config.team))
		for (const digest of team.keyDigests) index.set(digest, name)
	return index
}

/**
 * Reads a request to a model; throws if it is invalid, or would take more than
 * `maxParsedBytes` once it is parsed.
 */
export async function readModelRequest(
	req: IncomingMessage,
	config: Config,
	teams: TeamIndex,
	maxParsedBytes: number,
): Promise<CallerRequest> {
	const caller = authenticate(req, config, teams)
	if (req.method !== 'POST') fail('wrongMethod', 'Use POST.')
	const path = pathOf(req)
	const deadlineMs = readDeadline(req, MAX_MODEL_DEADLINE_MS)
	const body = await awaitBody(req, deadlineMs)
	if (estimateParsedBytes(body) > maxParsedBytes)
		fail('tooLarge', 'It has too many values.')
	const parsed = parseModelBody(path, body)
	if (!Object.hasOwn(config.model, parsed.model))
		fail('unknownModel', parsed.model)
	const prompt = readPrompt(parsed)
	const completionTokens = parsed.max_completion_tokens ?? parsed.max_tokens
	const promptTokens = Math.ceil(prompt.length / CHARS_PER_TOKEN)
	return {
		...caller,
		target: { kind: 'model', model: parsed.model },
		method: 'POST',
		path,
		headers: forwardHeaders(req),
		body,
		repeatable: req.headers[REPEATABLE_HEADER] !== 'no',
		key: undefined,
		priority: readPriority(req, caller.team, DEFAULT_MODEL_PRIORITY),
		deadlineMs,
		startBudgetMs: Math.min(deadlineMs, MODEL_START_BUDGET_MS),
		tokens: promptTokens + (completionTokens ?? DEFAULT_COMPLETION_TOKENS),
		prefix: hashPrefix(prompt),
	}
}

/** Reads a request to a plain service; throws if it is invalid. */
export async function readServiceRequest(
	req: IncomingMessage,
	config: Config,
	teams: TeamIndex,
): Promise<CallerRequest> {
	const caller = authenticate(req, config, teams)
	const url = req.url ?? ''
	const [, , service = '', ...rest] = url.split('?', 1)[0]!.split('/')
	const isKnown = Object.hasOwn(config.service, service)
	if (!isKnown) fail('unknownService', service)
	const settings = config.service[service]!
	const method = req.method ?? 'GET'
	const repeatable = isRepeatable(req, settings.repeat, method)
	const key = repeatable ? undefined : readKey(req)
	const deadlineMs = readDeadline(req, settings.deadlineSeconds * MS_PER_SECOND)
	const body = await awaitBody(req, deadlineMs)
	const query = url.includes('?') ? url.slice(url.indexOf('?')) : ''
	return {
		...caller,
		target: { kind: 'service', service },
		method,
		path: `/${rest.join('/')}${query}`,
		headers: forwardHeaders(req),
		body,
		repeatable,
		key,
		priority: readPriority(req, caller.team, settings.priority),
		deadlineMs,
		startBudgetMs: deadlineMs,
		tokens: 0,
		prefix: undefined,
	}
}

function authenticate(
	req: IncomingMessage,
	config: Config,
	teams: TeamIndex,
): { teamName: string; team: TeamConfig } {
	const [scheme, key] = (req.headers.authorization ?? '').split(' ')
	if (scheme?.toLowerCase() !== 'bearer' || !key)
		fail('unauthorized', 'Send Authorization: Bearer KEY.')
	const digest = createHash('sha256').update(key).digest('hex')
	const teamName = teams.get(digest)
	const team = teamName === undefined ? undefined : config.team[teamName]
	if (teamName === undefined || !team) return fail('unauthorized', '')
	return { teamName, team }
}

function parseModelBody(path: string, body: Buffer) {
	let json: unknown
	try {
		json = JSON.parse(body.toString('utf8'))
	} catch (err) {
		return fail('badJson', err instanceof Error ? err.message : '')
	}
	const chat = path.startsWith('/v1/chat/completions')
	const schema = chat ? ChatSchema : CompletionSchema
	const parsed = v.safeParse(schema, json, { abortEarly: true })
	if (parsed.success) return parsed.output
	const [issue] = parsed.issues
	const field = issue.path?.map(item => String(item.key)).join('.') ?? 'body'
	return fail('badRequest', `${field}: ${issue.message}.`)
}

function readPrompt(
	parsed: v.InferOutput<typeof ChatSchema | typeof CompletionSchema>,
): string {
	if ('messages' in parsed && Array.isArray(parsed.messages))
		return parsed.messages.map(readMessage).join('\n')
	const { prompt } = parsed
	return Array.isArray(prompt) ? prompt.join(' ') : String(prompt)
}

function readMessage(message: v.InferOutput<typeof MessageSchema>): string {
	const { content } = message
	if (typeof content === 'string') return content
	return content?.map(part => part.text ?? '').join('') ?? ''
}

/** Whether a request may be repeated; the header can only restrict the configuration. */
function isRepeatable(
	req: IncomingMessage,
	repeat: 'always' | 'safe' | 'never',
	method: string,
): boolean {
	if (req.headers[REPEATABLE_HEADER] === 'no') return false
	switch (repeat) {
		case 'always':
			return true
		case 'safe':
			return SAFE_METHODS.has(method)
		case 'never':
			return false
		default:
			return repeat satisfies never
	}
}

/** Returns the caller's key, or a new one, which the response header returns. */
function readKey(req: IncomingMessage): RequestKey {
	const given = req.headers[KEY_HEADER]
	if (given === undefined)
		return { value: makeKey(Date.now(), randomBytes(KEY_BYTES)), isNew: true }
	const value = String(given).toLowerCase()
	if (readKeyTime(value) === undefined) fail('badKey', '')
	return { value, isNew: false }
}

function readPriority(
	req: IncomingMessage,
	team: TeamConfig,
	defaultPriority: number,
): number {
	const given = req.headers[PRIORITY_HEADER]
	const priority = given === undefined ? defaultPriority : Number(given)
	if (!Number.isInteger(priority) || priority < 0 || priority > 9)
		fail('badRequest', `${PRIORITY_HEADER}: a whole number from 0 to 9.`)
	return Math.max(priority, team.bestPriority)
}

function readDeadline(req: IncomingMessage, maxDeadlineMs: number): number {
	const given = req.headers[DEADLINE_HEADER]
	if (given === undefined) return maxDeadlineMs
	const deadlineMs = Number(given)
	if (!(deadlineMs > 0)) fail('badRequest', `${DEADLINE_HEADER}: milliseconds.`)
	return Math.min(deadlineMs, maxDeadlineMs)
}

function pathOf(req: IncomingMessage): string {
	return req.url ?? '/'
}

function forwardHeaders(req: IncomingMessage): Record<string, string> {
	const headers: Record<string, string> = {}
	for (const [name, value] of Object.entries(
		removeHopByHopHeaders(req.headers),
	)) {
		if (ENTRY_HEADERS.has(name)) continue
		headers[name] = Array.isArray(value) ? value.join(', ') : value
	}
	return headers
}
