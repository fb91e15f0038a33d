/** Backend servers and a catalog for tests of the gateway, on loopback. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer, request } from 'node:http'
import type { AddressInfo } from 'node:net'
import type {
	EngineProfile,
	ListedServer,
	TermRevision,
	TrafficConfig,
	TrafficRoute,
} from '@juniperhook/core'
import type {
	CatalogSnapshot,
	CatalogSource,
	ServerWire,
	Signal,
	WireNames,
} from '../src/index.ts'

/** Header names of the stand-ins; no platform's own. */
export const WIRE: WireNames = {
	requestId: 'x-id',
	deadlineMs: 'x-deadline',
	keyScheme: 'Key',
	team: 'x-team',
	expectServer: 'x-expect',
	notRun: 'x-not-run',
	atFault: 'x-fault',
	seal: 'x-seal',
	lastEventId: 'last-event-id',
	priority: 'x-priority',
	tokens: 'x-tokens',
	promptParts: 'x-prompt',
}

/** Headers in which the stand-ins speak of themselves. */
export const SIGNALS = {
	load: 'x-load',
	perSecond: 'x-rate-limit',
	restMs: 'retry-after',
	leaving: 'x-leaving',
}

/** How gateways and the stand-ins speak. */
export const SERVER_WIRE: ServerWire = {
	names: WIRE,
	readStatement(status, headers) {
		const read = <T>(name: string, toValue: (text: string) => T): Signal<T> => {
			const text = headers[name]?.toString()
			return text === undefined
				? { kind: 'untold' }
				: { kind: 'told', value: toValue(text) }
		}
		const rest = read(SIGNALS.restMs, text => Number(text) * 1_000)
		return {
			signals: {
				load: read(SIGNALS.load, text => {
					const [running = 0, waiting = 0] = text.split(',').map(Number)
					return { running, waiting }
				}),
				perSecond: read(SIGNALS.perSecond, Number),
				restMs: status === 503 ? rest : { kind: 'untold' },
				leaving: read(SIGNALS.leaving, () => true as const),
			},
			unknown: Object.keys(headers).filter(name => name.startsWith('x-new')),
		}
	},
}

/** What a backend server does with one arrival. */
export type BackendAction =
	| 'serve'
	/** A 503 that says that it was not run. */
	| 'refuse'
	/** A 421: another server is here. */
	| 'misdirected'
	/** Runs it and answers 500. */
	| 'fail'
	/** Closes the connection without a byte. */
	| 'reset'
	/** Closes it in the middle of the body. */
	| 'cut'
	/** Resets the connection in the middle of a body without a length. */
	| 'unframedReset'
	/** A body without a length, whole when the connection ends. */
	| 'unframed'
	/** Never answers. */
	| 'hang'
	/** Answers with another request's id. */
	| 'otherId'
	/** A success without its seal. */
	| 'unsealed'
	/** A stream of five events from the id after the last one. */
	| 'stream'
	/** Such a stream that breaks off in the middle of the third event. */
	| 'brokenStream'

/** Events of a whole stream. */
export const STREAM_EVENTS = 5
const BROKEN_AFTER = 2

/** Backend servers that follow one script together. */
export interface Backends {
	readonly servers: Server[]
	readonly listed: ListedServer[]
	/** Deeds for the next arrivals; then `serve`. */
	script: BackendAction[]
	/** Arrivals so far. */
	readonly arrivals: IncomingMessage[]
	/** Ids of requests that were run, in order. */
	readonly runs: string[]
	/** Requests whose connection closed before their answer was whole. */
	abandoned: number
}

/** Starts `count` backend servers. */
export async function startBackends(count: number): Promise<Backends> {
	const backends: Backends = {
		servers: [],
		listed: [],
		script: [],
		arrivals: [],
		runs: [],
		abandoned: 0,
	}
	for (let at = 0; at < count; at++) {
		const server = createServer((req, res) => act(backends, req, res))
		await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
		const { port } = server.address() as AddressInfo
		backends.servers.push(server)
		backends.listed.push({
			id: `s${at}`,
			name: `s${at}`,
			service: 'plain',
			address: `127.0.0.1:${port}`,
			dataCentre: 'north',
			slots: 4,
			leaving: false,
			coldMs: 0,
		})
	}
	return backends
}

function act(backends: Backends, req: IncomingMessage, res: ServerResponse) {
	backends.arrivals.push(req)
	const deed = backends.script.shift() ?? 'serve'
	const id = String(req.headers[WIRE.requestId])
	const sealed = { [WIRE.requestId]: id, [WIRE.seal]: 'sealed' }
	res.on('close', () => {
		if (!res.writableFinished) backends.abandoned++
	})
	if (deed !== 'refuse' && deed !== 'misdirected') backends.runs.push(id)
	req.resume()
	switch (deed) {
		case 'serve':
			res.writeHead(200, sealed).end(`answer to ${id}`)
			return
		case 'refuse':
			res.writeHead(503, { [WIRE.notRun]: '1' }).end()
			return
		case 'misdirected':
			res.writeHead(421).end()
			return
		case 'fail':
			res.writeHead(500, sealed).end('failed')
			return
		case 'reset':
			req.socket.destroy()
			return
		case 'cut':
			res.writeHead(200, { ...sealed, 'content-length': 99 }).write('half')
			setTimeout(() => req.socket.destroy(), 5)
			return
		case 'unframedReset':
			writeUnframed(req, id, 'half')
			setTimeout(() => req.socket.resetAndDestroy(), 20)
			return
		case 'unframed':
			writeUnframed(req, id, `answer to ${id}`)
			req.socket.end()
			return
		case 'hang':
			return
		case 'otherId':
			res.writeHead(200, { ...sealed, [WIRE.requestId]: 'other' }).end('theirs')
			return
		case 'unsealed':
			res.writeHead(200, { [WIRE.requestId]: id }).end('unsealed')
			return
		case 'stream':
		case 'brokenStream':
			stream(req, res, sealed, deed === 'brokenStream')
			return
		default:
			deed satisfies never
	}
}

function writeUnframed(req: IncomingMessage, id: string, body: string): void {
	const head = [
		'HTTP/1.1 200 OK',
		`${WIRE.requestId}: ${id}`,
		`${WIRE.seal}: sealed`,
		'connection: close',
	]
	req.socket.write(`${head.join('\r\n')}\r\n\r\n${body}`)
}

function stream(
	req: IncomingMessage,
	res: ServerResponse,
	sealed: Record<string, string>,
	broken: boolean,
): void {
	res.writeHead(200, { ...sealed, 'content-type': 'text/event-stream' })
	const from = Number(req.headers[WIRE.lastEventId] ?? 0) + 1
	const last = broken ? from + BROKEN_AFTER - 1 : STREAM_EVENTS
	for (let id = from; id <= last; id++)
		res.write(`id: ${id}\ndata: event ${id}\n\n`)
	if (!broken) {
		res.end()
		return
	}
	res.write(`id: ${last + 1}\nda`)
	setTimeout(() => req.socket.destroy(), 5)
}

const ROUTE: TrafficRoute = {
	name: 'repeatable',
	host: 'huts.example',
	pathPrefix: '/r/',
	shares: [{ service: 'plain', weight: 1 }],
	kind: 'repeatable',
	timeoutMs: 600,
	targetMs: 200,
	priority: 5,
	maxAttempts: 2,
	anonymous: false,
	resumable: false,
	maxPauseMs: 0,
}

/** Routes `/r/` repeatable, `/o/` once, `/s/` stream, `/p/` open to all. */
export const CONFIG: TrafficConfig = {
	version: 4,
	routes: [
		ROUTE,
		{ ...ROUTE, name: 'once', pathPrefix: '/o/', kind: 'once' },
		{
			...ROUTE,
			name: 'stream',
			pathPrefix: '/s/',
			kind: 'stream',
			resumable: true,
		},
		{ ...ROUTE, name: 'frail', pathPrefix: '/f/', kind: 'stream' },
		{ ...ROUTE, name: 'open', pathPrefix: '/p/', anonymous: true },
		{
			...ROUTE,
			name: 'lost',
			pathPrefix: '/n/',
			shares: [{ service: 'nobody', weight: 1 }],
		},
	],
	services: [
		{ name: 'plain', healthPath: '/', maxConnections: 99, engine: undefined },
	],
	teams: [{ name: 'rangers', keys: ['key-1'], priority: 1 }],
	limits: {
		maxHeaderBytes: 2_000,
		maxBodyBytes: 1_000,
		headerTimeoutMs: 3_000,
		idleTimeoutMs: 5_000,
	},
}

/** An engine whose group forms within 2 s. */
export const ENGINE: EngineProfile = {
	slots: 8,
	memoryTokens: 100_000,
	stepsPerPass: 1,
	stepMs: 1,
	perRequestMs: 0.1,
	contextMsPerK: 0,
	prefillTokensPerSecond: 1_000,
	chunkTokens: 512,
	linkMbps: 1_000,
	usualPromptTokens: 100,
	usualAnswerTokens: 10,
	experts: {
		sets: 1,
		experts: 4,
		places: 2,
		maxNew: 1,
		expertMb: 1,
		expertShare: 0.85,
		reformMs: 2_000,
	},
}

/** A catalog whose answers a test sets; watches end when something is told. */
export interface FakeCatalog extends CatalogSource {
	snapshot: CatalogSnapshot
	/** Answers every call with a failure while set. */
	isDown: boolean
	/** How long the last watch was to wait, ms. */
	watchMs: number
	/** How often everything was read. */
	reads: number
	/** Tells of changes. */
	publish(changes: Partial<CatalogSnapshot>): void
}

/** A revision of the only term that stand-in catalogs have. */
export function revisionOf(revision: number): TermRevision {
	return { term: 1, revision }
}

/** The revision after a catalog's. */
export function nextRevision({ snapshot }: FakeCatalog): TermRevision {
	return revisionOf(snapshot.revision.revision + 1)
}

const DOWN = {
	ok: false,
	lostHistory: false,
	reason: 'down',
	bytes: 0,
} as const

/** Makes a catalog of `config` and servers. */
export function createCatalog(
	config: TrafficConfig | undefined,
	listed: readonly ListedServer[],
): FakeCatalog {
	const published = (held: TrafficConfig) => ({
		config: held,
		text: JSON.stringify(held),
	})
	let wake = () => {}
	let changes: Partial<CatalogSnapshot> | undefined
	const none = { config: undefined, servers: [], faults: [] }
	const catalog: FakeCatalog = {
		isDown: false,
		watchMs: 0,
		reads: 0,
		snapshot: {
			revision: revisionOf(1),
			config: config && published(config),
			servers: listed.map(server => ({
				name: server.name,
				revision: revisionOf(1),
				server,
			})),
			faults: [],
		},
		publish(told) {
			const revision = nextRevision(catalog)
			catalog.snapshot = { ...catalog.snapshot, ...told, revision }
			changes = told
			wake()
		},
		async read() {
			if (catalog.isDown) return DOWN
			catalog.reads++
			return { ok: true, value: catalog.snapshot, bytes: 0 }
		},
		async watch(revision, waitMs) {
			catalog.watchMs = waitMs
			if (!changes)
				await new Promise<void>(resolve => {
					wake = resolve
					setTimeout(resolve, Math.min(waitMs, 50))
				})
			if (catalog.isDown) return DOWN
			const told = changes
			changes = undefined
			const now = told ? catalog.snapshot.revision : revision
			const value = { ...none, ...told, revision: now }
			return { ok: true, value, bytes: 0 }
		},
		decode: text => published(JSON.parse(text) as TrafficConfig),
	}
	return catalog
}

/** What a caller got. */
export interface CallerResponse {
	readonly status: number
	readonly headers: IncomingMessage['headers']
	readonly body: string
	/** Whether the answer ended as its framing says. */
	readonly whole: boolean
}

/** Calls a gateway; a connection that ends without an answer gives status 0. */
export function callGateway(
	address: string,
	path: string,
	headers: Record<string, string> = {},
	method = 'GET',
	body = '',
): Promise<CallerResponse> {
	const [host, port] = address.split(':')
	return new Promise(resolve => {
		const none = { status: 0, headers: {}, body: '', whole: false }
		const req = request({
			host,
			port,
			path,
			method,
			agent: false,
			headers: {
				host: 'huts.example',
				authorization: 'Key key-1',
				...headers,
			},
		})
		req.on('error', () => resolve(none))
		req.on('response', res => {
			let text = ''
			res.setEncoding('utf8')
			res.on('data', part => {
				text += part
			})
			res.on('error', () => {})
			res.on('close', () =>
				resolve({
					status: res.statusCode ?? 0,
					headers: res.headers,
					body: text,
					whole: res.complete,
				}),
			)
		})
		req.end(body)
	})
}
