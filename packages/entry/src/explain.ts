/**
 * Traces a request through the logs of all processes: the decisions about it in order, the
 * state on which they were based, and the likely cause of its outcome in a sentence.
 */

import type { LogLine } from './logLines.ts'
import { readLogLine } from './logLines.ts'

/** Maximum time from transient state to an outcome that it may have caused, ms. */
const STATE_WINDOW_MS = 3_000

/** Log lines about a request and the likely cause of its outcome. */
export interface RequestTrace {
	/** Lines that name the request, in order. */
	readonly requestLines: readonly LogLine[]
	/** Lines before its outcome with the state on which decisions were based, in order. */
	readonly stateLines: readonly LogLine[]
	readonly cause: string
}

/** Traces the request with id `id`; returns undefined if no line names it. */
export function explainRequest(
	id: string,
	texts: readonly string[],
): RequestTrace | undefined {
	const lines = texts
		.map(readLogLine)
		.filter(line => line !== undefined)
		.sort((a, b) => a.time - b.time)
	const requestLines = lines.filter(line => line.req === id)
	// Without a logged outcome, the last line about the request takes its place.
	const outcomeLine = requestLines.findLast(isOutcome) ?? requestLines.at(-1)
	if (!outcomeLine) return undefined
	const stateLines = findStateLines(lines, requestLines, outcomeLine)
	return {
		requestLines,
		stateLines,
		cause:
			findCause(outcomeLine, requestLines, stateLines) +
			describeReturn(lines, outcomeLine),
	}
}

/** Whether a line is a request's outcome; an attempt may be logged after it. */
function isOutcome({ event, outcome }: LogLine): boolean {
	if (event === 'attempt') return outcome === 'answered'
	return event === 'request failed' || event === 'request refused'
}

/** Returns the newest line of each kind of state that applied to the request. */
function findStateLines(
	lines: readonly LogLine[],
	requestLines: readonly LogLine[],
	outcomeLine: LogLine,
): LogLine[] {
	const servers = new Set(requestLines.map(line => line.server))
	const newest = new Map<string, LogLine>()
	for (const line of lines) {
		if (line.time > outcomeLine.time) break
		const key = stateKeyOf(line, outcomeLine, servers)
		if (key === undefined) continue
		// If several entries applied a newer configuration, the first one counts.
		if (isNewerElsewhere(line, outcomeLine) && newest.has(key)) continue
		newest.set(key, line)
	}
	return [...newest.values()].sort((a, b) => a.time - b.time)
}

/** Whether another entry had applied a newer configuration than this request's entry. */
function isNewerElsewhere(line: LogLine, outcomeLine: LogLine): boolean {
	const { event, node, version } = line
	if (event !== 'configuration in force' || node === outcomeLine.node)
		return false
	return version !== undefined && version > (outcomeLine.config ?? version)
}

/** Returns a key for the state in a line; undefined if it did not apply to the request. */
function stateKeyOf(
	line: LogLine,
	outcomeLine: LogLine,
	servers: ReadonlySet<string | undefined>,
): string | undefined {
	if (isNewerElsewhere(line, outcomeLine)) return `version ${line.version}`
	const { event, node, group, server, time, fingerprint, part, parts } = line
	const isHere = node === outcomeLine.node
	const isRecent = outcomeLine.time - time <= STATE_WINDOW_MS
	switch (event) {
		case 'configuration in force':
		case 'source lost':
		case 'source back':
			return isHere ? event : undefined
		case 'source went back':
		case 'source call failed':
		case 'peer asked':
			return isHere && isRecent ? event : undefined
		case 'group closed':
		case 'group open':
			return isHere ? `group ${group}` : undefined
		case 'paces told':
			return isHere && isRecent ? `paces ${group}` : undefined
		case 'server limit':
			return isHere ? `limit ${server}` : undefined
		case 'server cold':
		case 'server warm':
			return isHere ? `cold ${server}` : undefined
		case 'rationing started':
		case 'rationing ended':
			return isHere && line.service === outcomeLine.service
				? 'rationing'
				: undefined
		case 'group slowed':
		case 'group pace usual':
			return isHere && isRecent ? `pace ${group}` : undefined
		case 'evacuation':
			return isHere ? `evacuation ${line.dataCentre}` : undefined
		case 'server rests':
			return isHere ? `rest ${server}` : undefined
		case 'server ended':
			return servers.has(server) ? `ended ${server}` : undefined
		case 'request quarantined':
			return fingerprint === outcomeLine.fingerprint ? event : undefined
		case 'part quarantined':
			return part !== undefined && part === outcomeLine.part ? event : undefined
		case 'parts suspected':
			return outcomeLine.part !== undefined && parts?.includes(outcomeLine.part)
				? event
				: undefined
		case 'server':
			return isHere && servers.has(server) ? `server ${server}` : undefined
		case 'demand shifted':
		case 'map planned':
		case 'round over':
		case 'passes seen':
			return isRecent ? event : undefined
		default:
			return undefined
	}
}

function findCause(
	outcomeLine: LogLine,
	requestLines: readonly LogLine[],
	stateLines: readonly LogLine[],
): string {
	const { error, event, outcome } = outcomeLine
	if (event === 'attempt' && outcome === 'answered')
		return 'It was answered by its server; nothing failed here.'
	switch (error) {
		case undefined:
			return `No outcome is logged; the last event is "${event}".`
		case 'unauthorized':
		case 'notFound':
			return `Configuration ${outcomeLine.config} has no such ${error === 'notFound' ? 'route' : 'key'}${describeNewerConfig(outcomeLine, stateLines)}.`
		case 'configBehind':
			return `Configuration ${outcomeLine.config} does not contain it${describeNewerConfig(outcomeLine, stateLines)}.`
		case 'overloaded':
			return explainOverload(outcomeLine, stateLines)
		case 'rateLimited':
			return explainRateLimits(stateLines)
		case 'resting':
			return explainBackoffs(outcomeLine, stateLines)
		case 'cannotFinish':
			return `At the pace of its groups, ${outcomeLine.paceMs} ms an event, its ${outcomeLine.events} events or more could not end in the ${outcomeLine.leftMs} ms that it had left.`
		case 'oversize':
			return 'Its prompt and maximum exceed the memory of an engine.'
		case 'memoryShort':
			return 'This entry held as much as it may for slow readers.'
		case 'evacuated':
			return 'All servers of its service were in evacuated data centres.'
		case 'noServer':
			return 'No server of its service was listed as serving.'
		case 'noAnswer':
			return `Its server had not answered by the deadline${describeAttempts(requestLines)}${describeRollback(outcomeLine, stateLines)}.`
		case 'linkLost':
		case 'truncated':
			return `The connection to its server broke after it may have run${describeAttempts(requestLines)}${describeCrashes(stateLines)}${describeRollback(outcomeLine, stateLines)}.`
		case 'invalidAnswer':
			return `No answer that it got from a server could be passed on${describeAttempts(requestLines)}.`
		case 'quarantined':
			return explainQuarantine(outcomeLine, stateLines)
		case 'suspected':
			return explainSuspicion(outcomeLine, stateLines)
		case 'unreachable':
			return `No server that it was sent to accepted it${describeAttempts(requestLines)}${describeRollback(outcomeLine, stateLines)}.`
		default:
			return `It was refused by this entry: ${error}.`
	}
}

/** Lists the servers that had asked this entry to back off, and for how much longer. */
function explainBackoffs(
	outcomeLine: LogLine,
	stateLines: readonly LogLine[],
): string {
	const backoffs = stateLines
		.filter(({ event }) => event === 'server rests')
		.map(({ server, time, forMs = 0 }) => ({
			server,
			remainingMs: Math.round(time + forMs - outcomeLine.time),
		}))
		.filter(({ remainingMs }) => remainingMs > 0)
		.map(({ server, remainingMs }) => `${server} for ${remainingMs} ms more`)
	return `All servers of its service had asked this entry to back off (${backoffs.join(', ')}).`
}

/** Lists the servers that limited requests per second. */
function explainRateLimits(stateLines: readonly LogLine[]): string {
	const limits = stateLines
		.filter(line => line.event === 'server limit')
		.filter(({ perSecond }) => perSecond !== undefined)
		.map(({ server, perSecond }) => `${server} ${perSecond}`)
	const cold = stateLines
		.filter(({ event }) => event === 'server cold')
		.map(({ server, perSecond }) => `${server} ${perSecond} while cold`)
	return `All servers of its service limit requests per second (${[...limits, ...cold].join(', ')}), and none had a permit in time.`
}

/** Joins a refused request with its caller's return, by fingerprint; '' without one. */
function describeReturn(
	lines: readonly LogLine[],
	{ fingerprint, returned, time, event, req }: LogLine,
): string {
	if (fingerprint === undefined) return ''
	const isOther = (line: LogLine) =>
		line.fingerprint === fingerprint && line.req !== req
	if (returned) {
		const refusal = lines.findLast(
			line =>
				isOther(line) &&
				line.time < time &&
				line.event === 'request failed' &&
				line.returnInMs !== undefined,
		)
		if (!refusal) return ''
		return ` It came back after ${refusal.req} was refused (${refusal.error}) ${time - refusal.time} ms before and told to return in ${refusal.returnInMs} ms.`
	}
	if (event !== 'request failed') return ''
	const comeback = lines.find(
		line => isOther(line) && line.time > time && line.returned === true,
	)
	if (!comeback) return ''
	return ` Its caller came back as ${comeback.req}.`
}

/** Describes a rollback of the source, after which the server list may be outdated. */
function describeRollback(
	outcomeLine: LogLine,
	stateLines: readonly LogLine[],
): string {
	const rollback = stateLines.find(({ event }) => event === 'source went back')
	if (!rollback) return ''
	return `; the source had rolled back from ${rollback.backFrom} to ${rollback.backTo} ${outcomeLine.time - rollback.time} ms before`
}

/** Describes how far this entry was behind another, and its last failed source call. */
function describeNewerConfig(
	outcomeLine: LogLine,
	stateLines: readonly LogLine[],
): string {
	const newer = stateLines.findLast(line => isNewerElsewhere(line, outcomeLine))
	if (!newer) return ''
	const failed = stateLines.findLast(
		({ event }) => event === 'source call failed',
	)
	const reason = failed ? `; its last call of the source: ${failed.reason}` : ''
	return `, version ${newer.version} had been in force elsewhere for ${outcomeLine.time - newer.time} ms${reason}`
}

function explainOverload(
	outcomeLine: LogLine,
	stateLines: readonly LogLine[],
): string {
	const closed = stateLines.find(line => line.event === 'group closed')
	if (closed) {
		const forMs = outcomeLine.time - closed.time
		return `Its group ${closed.group} had refused at every rank for ${forMs} ms.`
	}
	const rationing = stateLines.find(line => line.event === 'rationing started')
	if (rationing) return explainRationing(outcomeLine, rationing)
	const groupReport = stateLines.find(line => line.event === 'paces told')
	if (groupReport?.limit === undefined)
		return 'Every server had as many requests in flight as it accepts.'
	const shift = stateLines.find(line => line.event === 'demand shifted')
	const reason = shift
		? `: demand had shifted ${outcomeLine.time - shift.time} ms before`
		: ' so that passes stay short enough'
	return `Its group was to hold ${groupReport.limit} requests a rank${reason}.`
}

/** Names the fraction that the service admitted of the request's urgency. */
function explainRationing(
	{ time, urgency }: LogLine,
	{ fractions = [], roomPerSecond, time: since }: LogLine,
): string {
	const own = fractions.find(one => one.startsWith(`${urgency}:`))
	const fraction = own?.split(':')[1] ?? 'a part'
	return `Its service had room for ${roomPerSecond} requests a second and admitted ${fraction} of those of urgency ${urgency} when it began to ration ${time - since} ms before.`
}

function explainQuarantine(
	outcomeLine: LogLine,
	stateLines: readonly LogLine[],
): string {
	const { part, fingerprint } = outcomeLine
	const event = part ? 'part quarantined' : 'request quarantined'
	const quarantine = stateLines.find(line => line.event === event)
	const servers = quarantine?.servers?.join(', ') ?? 'servers'
	return part
		? `${servers} crashed while they ran prompts with the part ${part}; it is quarantined.`
		: `${servers} crashed while they ran it (${fingerprint}); it is quarantined.`
}

function explainSuspicion(
	{ part, time }: LogLine,
	stateLines: readonly LogLine[],
): string {
	const suspicion = stateLines.find(({ event }) => event === 'parts suspected')
	const since = suspicion ? ` ${time - suspicion.time} ms before` : ''
	return `A server crashed${since} while it ran a prompt with the part ${part}; one request at a time tries the part.`
}

/** Lists its servers that crashed, with how many requests each had in flight. */
function describeCrashes(stateLines: readonly LogLine[]): string {
	const crashes = stateLines
		.filter(({ event }) => event === 'server ended')
		.map(({ server, requests = [] }) => `${server} with ${requests.length}`)
	if (crashes.length === 0) return ''
	return `; servers that crashed, with their requests in flight: ${crashes.join(', ')}`
}

function describeAttempts(requestLines: readonly LogLine[]): string {
	const attempts = requestLines.filter(line => line.event === 'attempt')
	if (attempts.length === 0) return ''
	const descriptions = attempts.map(({ server, outcome, reason }) =>
		[server, outcome, reason].filter(Boolean).join(' '),
	)
	return ` (${descriptions.join('; ')})`
}

/** Formats a trace as text lines; times are relative to its first line. */
export function formatTrace({
	requestLines,
	stateLines,
	cause,
}: RequestTrace): string[] {
	const startTime = requestLines[0]!.time
	const formatLine = (line: LogLine) => {
		const { time, node, event, ...rest } = line
		const fields = Object.entries(rest)
			.filter(([name]) => name !== 'req')
			.map(([name, value]) => `${name}=${JSON.stringify(value)}`)
		return `${String(time - startTime).padStart(8)} ms  ${node ?? ''}  ${event}  ${fields.join(' ')}`
	}
	return [
		'the request',
		...requestLines.map(formatLine),
		'',
		'what it was decided by',
		...stateLines.map(formatLine),
		'',
		`likely cause: ${cause}`,
	]
}
