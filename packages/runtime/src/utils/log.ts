/**
 * Logs with `debug` namespaces; each record is one line of JSON. Keys and bodies are
 * never logged.
 */

import debug from 'debug'
import { openStandardOutput } from './lineOutput.ts'

/** A log record; its fields are short and contain no secrets. */
export interface LogRecord {
	readonly msg: string
	readonly reqId?: string
	readonly team?: string
	readonly kind?: string
	readonly server?: string
	readonly revision?: number
	readonly detail?: string
	readonly count?: number
}

/** Writes records to one namespace, such as `juniperhook:entry:request`. */
export type Log = (record: LogRecord) => void

/** Namespaces enabled by each log level of the settings file. */
export const LOG_LEVELS = {
	quiet: '',
	warn: 'juniperhook:*:warn',
	info: 'juniperhook:*,-juniperhook:*:request',
	request: 'juniperhook:*',
} as const

/** A log level of the settings file. */
export type LogLevel = keyof typeof LOG_LEVELS

/** Output of the records, and how many it has dropped since it last said so. */
const output = {
	lines: openStandardOutput(process.stderr, countDrop),
	dropped: 0,
}

/** The namespaces given by the operator; `debug` changes the variable itself. */
const override = process.env.DEBUG

/** Enables a level's namespaces; the variable DEBUG overrides the level. */
export function setLogLevel(level: LogLevel): void {
	debug.formatArgs = () => {}
	debug.log = writeLine
	debug.enable(override ?? LOG_LEVELS[level])
}

/** Passes waiting records on before the process exits; takes a limited time. */
export function flushLog(): Promise<void> {
	return output.lines.flush()
}

/** Creates the log of a namespace; records are not formatted while it is disabled. */
export function createLog(namespace: string): Log {
	const write = debug(`juniperhook:${namespace}`)
	return record => {
		if (!write.enabled) return
		write(formatRecord(namespace, record))
	}
}

function countDrop(): void {
	output.dropped++
}

function writeLine(line: string): void {
	if (output.dropped > 0) reportDrops()
	output.lines.write(`${line}\n`)
}

function reportDrops(): void {
	const count = output.dropped
	const record: LogRecord = { msg: 'log lines dropped', count }
	output.lines.write(`${formatRecord('juniperhook:log:warn', record)}\n`)
	const isWritten = output.dropped === count
	if (isWritten) output.dropped = 0
}

function formatRecord(namespace: string, record: LogRecord): string {
	const time = new Date().toISOString()
	return JSON.stringify({ time, ns: namespace, ...record })
}
