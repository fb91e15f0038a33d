/**
 * The fixed list of error kinds and the table that maps each kind to its response.
 * The kind is also the label of its refusal counter.
 */

/** Whether the request may have run on a backend server. */
export type MayHaveRun = 'no' | 'maybe' | 'yes'

/** The response for an error kind. */
export interface ErrorAnswer {
	/** HTTP status sent to the caller. */
	readonly status: number
	/** What is known about execution if this kind is the final outcome. */
	readonly ran: MayHaveRun
	/** Default retry delay in milliseconds; 0 if the caller should not retry. */
	readonly retryAfterMs: number
	/** `type` field of the error body, as clients of model servers expect it. */
	readonly type: string
	/** Message for the caller, one sentence. */
	readonly text: string
}

const invalid = 'invalid_request_error'
const limited = 'rate_limit_error'
const busy = 'overloaded_error'
const server = 'server_error'

function row(
	status: number,
	ran: MayHaveRun,
	retryAfterMs: number,
	type: string,
	text: string,
): ErrorAnswer {
	return { status, ran, retryAfterMs, type, text }
}

/** One row per error kind. */
export const ERRORS = {
	badJson: row(400, 'no', 0, invalid, 'The body is not valid JSON.'),
	badRequest: row(400, 'no', 0, invalid, 'A field of the request is wrong.'),
	badKey: row(
		400,
		'no',
		0,
		invalid,
		'Idempotency-Key must be a UUIDv7 minted for this request.',
	),
	unauthorized: row(401, 'no', 0, 'authentication_error', 'Unknown API key.'),
	unknownModel: row(404, 'no', 0, invalid, 'No such model.'),
	unknownService: row(404, 'no', 0, invalid, 'No such service.'),
	notFound: row(404, 'no', 0, invalid, 'No such path.'),
	wrongMethod: row(405, 'no', 0, invalid, 'This method is not allowed here.'),
	requestTimeout: row(408, 'no', 0, invalid, 'The request came too slowly.'),
	tooLarge: row(413, 'no', 0, invalid, 'The body is too large.'),
	headersTooLarge: row(431, 'no', 0, invalid, 'The headers are too large.'),
	teamRate: row(429, 'no', 1000, limited, 'Your team is over its rate.'),
	teamConcurrency: row(
		429,
		'no',
		1000,
		limited,
		'Your team has too many requests in flight.',
	),
	teamTokens: row(429, 'no', 1000, limited, 'Your team is over its tokens.'),
	overloaded: row(
		503,
		'no',
		2000,
		busy,
		'No backend server can start this in time.',
	),
	cannotFinish: row(
		503,
		'no',
		2000,
		busy,
		'At the present pace its answer could not end in time.',
	),
	oversize: row(
		503,
		'no',
		0,
		busy,
		'It is larger than the memory of the servers that could run it.',
	),
	rateLimited: row(
		503,
		'no',
		1000,
		busy,
		'The servers that could run this take no more requests for now.',
	),
	resting: row(
		503,
		'no',
		1000,
		busy,
		'The servers that could run this have asked for rest.',
	),
	memoryShort: row(
		503,
		'no',
		1000,
		busy,
		'This entry holds too much for slow readers to take this.',
	),
	noServer: row(503, 'no', 2000, busy, 'No backend server is available.'),
	evacuated: row(
		503,
		'no',
		1000,
		busy,
		'All servers that could run this are in evacuated data centres.',
	),
	noConfig: row(503, 'no', 2000, busy, 'No configuration is in force yet.'),
	suspected: row(
		503,
		'no',
		1000,
		busy,
		'A server crashed under a part of this prompt; another request is trying it.',
	),
	quarantined: row(
		503,
		'no',
		0,
		busy,
		'Servers ended each time they ran this request; it is sent to none.',
	),
	configBehind: row(
		503,
		'no',
		500,
		busy,
		'A newer configuration has not reached this entry yet.',
	),
	// Another entry can serve it at once.
	entryLeaving: row(503, 'no', 10, busy, 'This entry is stopping.'),
	leaving: row(503, 'no', 1000, busy, 'The backend server is leaving.'),
	startBudget: row(503, 'no', 1000, busy, 'It could not start in time.'),
	paused: row(503, 'no', 1000, busy, 'The process was paused; not started.'),
	voided: row(503, 'no', 1000, busy, 'It was withdrawn before it started.'),
	unreachable: row(503, 'no', 1000, busy, 'The backend server did not answer.'),
	keyMemoryFull: row(503, 'no', 2000, busy, 'Too many keys are remembered.'),
	notHome: row(503, 'no', 1000, busy, 'Another server is home to this key.'),
	keyClock: row(400, 'no', 0, invalid, 'The key is dated in the future.'),
	keyForgotten: row(
		409,
		'maybe',
		0,
		server,
		'This key may have run before; its outcome is no longer known.',
	),
	keyBusy: row(
		409,
		'maybe',
		2000,
		server,
		'The first try of this key is still running.',
	),
	linkLost: row(502, 'maybe', 1000, server, 'The answer was lost on the way.'),
	noAnswer: row(504, 'maybe', 1000, server, 'No answer came in time.'),
	truncated: row(502, 'maybe', 1000, server, 'The answer ended too early.'),
	invalidAnswer: row(
		502,
		'maybe',
		1000,
		server,
		'The backend server sent an answer that cannot be trusted.',
	),
	backendFailed: row(502, 'maybe', 1000, server, 'The backend server failed.'),
	callerGone: row(499, 'maybe', 0, server, 'The caller went away.'),
	groupSplit: row(
		503,
		'no',
		2000,
		busy,
		'The ranks of this group disagree; it is out of routing.',
	),
	internal: row(500, 'maybe', 1000, server, 'A fault in juniperhook itself.'),
} as const satisfies Record<string, ErrorAnswer>

/** All kinds of request failure. */
export type ErrorKind = keyof typeof ERRORS

/** All kinds, for registering the counters. */
export const ERROR_KINDS = Object.keys(ERRORS) as readonly ErrorKind[]

/** Whether `value`, received from another process, is an error kind. */
export function isErrorKind(value: unknown): value is ErrorKind {
	return typeof value === 'string' && Object.hasOwn(ERRORS, value)
}
