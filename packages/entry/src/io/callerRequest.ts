/** Reads a caller's request: who asks, for what, how, and what it may cost. */

import { createHash, randomBytes } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { Config, TeamConfig } from '@juniperhook/core'
import { hashPrefix, makeKey, readKeyTime } from '@juniperhook/core'
import { fail, readBody, removeHopByHopHeaders } from '@juniperhook/runtime'
import * as v from 'valibot'

/** Largest body taken from a caller, in bytes. */
export const MAX_BODY_BYTES = 10_485_760
/** Priority of a model's request when the caller names none. */
const MODEL_PRIORITY = 6
const MODEL_DEADLINE_MS = 600_000
const MODEL_START_MS = 30_000
const DEFAULT_TOKENS = 256
const CHARS_PER_TOKEN = 4
const KEY_BYTES = 16
const MS = 1_000
const SAFE_METHODS = new Set(['GET', 'HEAD', 'OPTIONS'])
const PRIORITY_HEADER = 'x-priority'
const REPEATABLE_HEADER = 'x-repeatable'
const DEADLINE_HEADER = 'x-deadline-ms'
/** Names a request that may not be repeated. */
export const KEY_HEADER = 'idempotency-key'

/** Headers that stay at the entry. */
const OWN_HEADERS = new Set([
	'authorization',
	KEY_HEADER,
	PRIORITY_HEADER,
	REPEATABLE_HEADER,
	DEADLINE_HEADER,
])

/** What is asked for. */
export type Target =
	| { readonly kind: 'model'; readonly model: string }
	| { readonly kind: 'service'; readonly service: string }

/** The key of a request that may not be repeated. */
export interface RequestKey {
	readonly value: string
	/** Made here, just now: no one can have offered it before. */
	readonly fresh: boolean
}

/** A request that has been read and checked. */
export interface Intake {
	readonly teamName: string
	readonly team: TeamConfig
	readonly target: Target
	readonly method: string
	/** Path towards the backend server. */
	readonly path: string
	readonly headers: Record<string, string>
	readonly body: Buffer
	readonly repeatable: boolean
	/** For a service's request that may not be repeated. */
	readonly key: RequestKey | undefined
	readonly priority: number
	readonly deadlineMs: number
	readonly startBudgetMs: number
	/** Tokens that it is expected to cost; 0 for a service. */
	readonly tokens: number
	/** Hash of the prompt's prefix; `undefined` for a service. */
	readonly prefix: number | undefined
}

/** Teams by the digest of their keys. */
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

/** Makes the index of a configuration. */
export function indexTeams(config: Config): TeamIndex {
	const index = new Map<string, string>()
	for (const [name, team] of Object.entries(config.team))
		for (const digest of team.keyDigests) index.set(digest, name)
	return index
}

/** Reads a request to a model. */
export async function readModelRequest(
	req: IncomingMessage,
	config: Config,
	teams: TeamIndex,
): Promise<Intake> {
	const who = authenticate(req, config, teams)
	if (req.method !== 'POST') fail('wrongMethod', 'Use POST.')
	const path = pathOf(req)
	const body = await readWhole(req)
	const asked = parseModelBody(path, body)
	if (!Object.hasOwn(config.model, asked.model))
		fail('unknownModel', asked.model)
	const prompt = readPrompt(asked)
	const most = asked.max_completion_tokens ?? asked.max_tokens
	const given = Math.ceil(prompt.length / CHARS_PER_TOKEN)
	const deadlineMs = readDeadline(req, MODEL_DEADLINE_MS)
	return {
		...who,
		target: { kind: 'model', model: asked.model },
		method: 'POST',
		path,
		headers: forwardHeaders(req),
		body,
		repeatable: req.headers[REPEATABLE_HEADER] !== 'no',
		key: undefined,
		priority: readPriority(req, who.team, MODEL_PRIORITY),
		deadlineMs,
		startBudgetMs: Math.min(deadlineMs, MODEL_START_MS),
		tokens: given + (most ?? DEFAULT_TOKENS),
		prefix: hashPrefix(prompt),
	}
}

/** Reads a request to a plain service. */
export async function readServiceRequest(
	req: IncomingMessage,
	config: Config,
	teams: TeamIndex,
): Promise<Intake> {
	const who = authenticate(req, config, teams)
	const url = req.url ?? ''
	const [, , service = '', ...rest] = url.split('?', 1)[0]!.split('/')
	const found = Object.hasOwn(config.service, service)
	if (!found) fail('unknownService', service)
	const settings = config.service[service]!
	const method = req.method ?? 'GET'
	const repeatable = mayRepeat(req, settings.repeat, method)
	const key = repeatable ? undefined : readKey(req)
	const deadlineMs = readDeadline(req, settings.deadlineSeconds * MS)
	const body = await readWhole(req)
	const query = url.includes('?') ? url.slice(url.indexOf('?')) : ''
	return {
		...who,
		target: { kind: 'service', service },
		method,
		path: `/${rest.join('/')}${query}`,
		headers: forwardHeaders(req),
		body,
		repeatable,
		key,
		priority: readPriority(req, who.team, settings.priority),
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

async function readWhole(req: IncomingMessage): Promise<Buffer> {
	const length = Number(req.headers['content-length'] ?? 0)
	if (length > MAX_BODY_BYTES)
		fail('tooLarge', `At most ${MAX_BODY_BYTES} bytes.`)
	const body = await readBody(req, MAX_BODY_BYTES)
	return body ?? fail('tooLarge', `At most ${MAX_BODY_BYTES} bytes.`)
}

function parseModelBody(path: string, body: Buffer) {
	let json: unknown
	try {
		json = JSON.parse(body.toString('utf8'))
	} catch (err) {
		return fail('badJson', err instanceof Error ? err.message : '')
	}
	const chat = path.startsWith('/v1/chat/completions')
	const parsed = v.safeParse(chat ? ChatSchema : CompletionSchema, json)
	if (parsed.success) return parsed.output
	const [issue] = parsed.issues
	const field = issue.path?.map(item => String(item.key)).join('.') ?? 'body'
	return fail('badRequest', `${field}: ${issue.message}.`)
}

function readPrompt(
	asked: v.InferOutput<typeof ChatSchema | typeof CompletionSchema>,
): string {
	if ('messages' in asked && Array.isArray(asked.messages))
		return asked.messages.map(readMessage).join('\n')
	const { prompt } = asked
	return Array.isArray(prompt) ? prompt.join(' ') : String(prompt)
}

function readMessage(message: v.InferOutput<typeof MessageSchema>): string {
	const { content } = message
	if (typeof content === 'string') return content
	return content?.map(part => part.text ?? '').join('') ?? ''
}

/** The caller's mark may narrow what the configuration allows, never widen. */
function mayRepeat(
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

/** The caller's key, or a new one that the caller is told. */
function readKey(req: IncomingMessage): RequestKey {
	const given = req.headers[KEY_HEADER]
	if (given === undefined)
		return { value: makeKey(Date.now(), randomBytes(KEY_BYTES)), fresh: true }
	const value = String(given).toLowerCase()
	if (readKeyTime(value) === undefined) fail('badKey', '')
	return { value, fresh: false }
}

function readPriority(
	req: IncomingMessage,
	team: TeamConfig,
	usual: number,
): number {
	const given = req.headers[PRIORITY_HEADER]
	const asked = given === undefined ? usual : Number(given)
	if (!Number.isInteger(asked) || asked < 0 || asked > 9)
		fail('badRequest', `${PRIORITY_HEADER}: a whole number from 0 to 9.`)
	return Math.max(asked, team.bestPriority)
}

function readDeadline(req: IncomingMessage, usual: number): number {
	const given = req.headers[DEADLINE_HEADER]
	if (given === undefined) return usual
	const asked = Number(given)
	if (!(asked > 0)) fail('badRequest', `${DEADLINE_HEADER}: milliseconds.`)
	return Math.min(asked, usual)
}

function pathOf(req: IncomingMessage): string {
	return req.url ?? '/'
}

function forwardHeaders(req: IncomingMessage): Record<string, string> {
	const headers: Record<string, string> = {}
	for (const [name, value] of Object.entries(removeHopByHopHeaders(req.headers))) {
		if (OWN_HEADERS.has(name)) continue
		headers[name] = Array.isArray(value) ? value.join(', ') : value
	}
	return headers
}
