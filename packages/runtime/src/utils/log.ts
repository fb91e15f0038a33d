/**
 * Logs with `debug` namespaces; each record is one line of JSON. Keys and bodies are
 * never logged.
 */

import debug from 'debug'

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

/** Enables a level's namespaces; the variable DEBUG overrides the level. */
export function setLogLevel(level: LogLevel): void {
	debug.formatArgs = () => {}
	debug.log = (line: string) => process.stderr.write(`${line}\n`)
	debug.enable(process.env.DEBUG ?? LOG_LEVELS[level])
}

/** Creates the log of a namespace; records are not formatted while it is disabled. */
export function createLog(namespace: string): Log {
	const write = debug(`juniperhook:${namespace}`)
	return record => {
		if (!write.enabled) return
		const time = new Date().toISOString()
		write(JSON.stringify({ time, ns: namespace, ...record }))
	}
}
