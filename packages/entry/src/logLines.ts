/** Parses juniperhook's log lines for the operators' commands. */

import { readFileSync } from 'node:fs'
import * as v from 'valibot'

const optionalText = v.optional(v.string())
const optionalTexts = v.optional(v.array(v.string()))
const optionalNumber = v.optional(v.number())

/** Fields of a line that the commands use; all others are ignored. */
const LogLineSchema = v.object({
	/** Unix ms. */
	time: v.number(),
	event: v.string(),
	/** VM of the process that wrote the line. */
	node: optionalText,
	/** Caller's id of the request that the line is about. */
	req: optionalText,
	route: optionalText,
	service: optionalText,
	server: optionalText,
	group: optionalText,
	dataCentre: optionalText,
	state: optionalText,
	error: optionalText,
	outcome: optionalText,
	/** `inTime`, or which part of an answer was late. */
	timeliness: optionalText,
	reason: optionalText,
	/** Identifies a repeated request. */
	fingerprint: optionalText,
	/** Prompt part because of which a request was refused. */
	part: optionalText,
	/** Prompt parts that became suspected. */
	parts: optionalTexts,
	/** Servers that crashed while they ran the request or a prompt with the part. */
	servers: optionalTexts,
	/** Requests in flight at a server when it crashed, by the callers' ids. */
	requests: optionalTexts,
	host: optionalText,
	phase: optionalText,
	send: optionalNumber,
	sends: optionalNumber,
	/** Time from a request's arrival to the first byte of its answer, ms. */
	startMs: optionalNumber,
	longestPauseMs: optionalNumber,
	/** Versions of the state on which a decision was based. */
	config: optionalNumber,
	list: optionalNumber,
	version: optionalNumber,
	/** Position of a source before and after a rollback, as `term:revision`. */
	backFrom: optionalText,
	backTo: optionalText,
	limit: optionalNumber,
	/** Urgency and team of a request; only where room is allocated by them. */
	urgency: optionalNumber,
	team: optionalText,
	/** Whether a request came back after a refusal, when it was told to. */
	returned: v.optional(v.boolean()),
	/** Place that a refused caller was given, and when it was told to return, ms. */
	place: optionalText,
	returnInMs: optionalNumber,
	/** Fractions admitted while a service rations, as `urgency:fraction`. */
	fractions: optionalTexts,
	roomPerSecond: optionalNumber,
	/** Least events of an answer, time between events and time left, ms. */
	events: optionalNumber,
	paceMs: optionalNumber,
	leftMs: optionalNumber,
	/** A server's limit of requests per second. */
	perSecond: optionalNumber,
	forMs: optionalNumber,
	/** Addresses of slow ranks. */
	slow: v.optional(v.unknown()),
	agreement: optionalNumber,
	factor: optionalNumber,
	copies: optionalNumber,
	tookMs: optionalNumber,
	closedMs: optionalNumber,
	passMs: optionalNumber,
	predictedMs: optionalNumber,
})

/** A parsed log line. */
export type LogLine = v.InferOutput<typeof LogLineSchema>

/** Parses a line; returns undefined if it is not a log line of juniperhook. */
export function readLogLine(line: string): LogLine | undefined {
	const start = line.indexOf('{')
	if (start < 0) return undefined
	try {
		const parsed = v.safeParse(LogLineSchema, JSON.parse(line.slice(start)))
		return parsed.success ? parsed.output : undefined
	} catch {
		// Output of another program; the report counts lines that could not be parsed.
		return undefined
	}
}

/** Reads all non-empty lines of some files. */
export function readLogFiles(paths: readonly string[]): string[] {
	return paths.flatMap(path =>
		readFileSync(path, 'utf8')
			.split('\n')
			.filter(line => line !== ''),
	)
}
