/**
 * Logs: `debug` namespaces, each record one line of JSON. Never a key, never a
 * body.
 */

import debug from 'debug'

/** What a record may carry; all fields are short and free of secrets. */
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

/** Writes records of one namespace, such as `juniperhook:entry:request`. */
export type Log = (record: LogRecord) => void

/** Log levels of the settings file and the namespaces they switch on. */
export const LOG_LEVELS = {
	quiet: '',
	warn: 'juniperhook:*:warn',
	info: 'juniperhook:*,-juniperhook:*:request',
	request: 'juniperhook:*',
} as const

/** A log level of the settings file. */
export type LogLevel = keyof typeof LOG_LEVELS

/** Switches namespaces on; the variable DEBUG goes before the settings. */
export function setLogLevel(level: LogLevel): void {
	debug.formatArgs = () => {}
	debug.log = (line: string) => process.stderr.write(`${line}\n`)
	debug.enable(process.env.DEBUG ?? LOG_LEVELS[level])
}

/** Makes the log of a namespace; a record costs nothing while it is off. */
export function createLog(namespace: string): Log {
	const write = debug(`juniperhook:${namespace}`)
	return record => {
		if (!write.enabled) return
		const time = new Date().toISOString()
		write(JSON.stringify({ time, ns: namespace, ...record }))
	}
}
