/** A process's own settings: a small INI file, judged like a configuration. */

import { readFileSync } from 'node:fs'
import type { Fault } from '@juniperhook/core'
import { isAddress, readDocument } from '@juniperhook/core'
import * as v from 'valibot'

const address = v.pipe(
	v.string('a value'),
	v.check(isAddress, 'an address IP:port with an IP number'),
)
const addresses = v.pipe(
	v.string('a value'),
	v.transform(text => text.split(/[\s,]+/).filter(part => part !== '')),
	v.array(
		v.pipe(v.string(), v.check(isAddress, 'addresses IP:port with IP numbers')),
	),
)

/** The sections `[process]`, `[listen]`, `[platform]` and `[log]`. */
export const SettingsSchema = v.strictObject({
	process: v.strictObject({
		/** For an agent: its backend server's name in the configuration. */
		name: v.pipe(v.string('a value'), v.regex(/^[\w-]+$/, 'a name')),
		dataCentre: v.string('the name of a data centre'),
	}),
	listen: v.strictObject({
		/** Callers (entry) or entries (agent). */
		data: address,
		/** The system's other processes. */
		control: address,
		/** Operators: health, metrics, status. */
		operators: address,
	}),
	platform: v.strictObject({
		/** The configuration service. */
		service: address,
		/** The weight store; agents of engines need it. */
		weights: v.optional(address),
		/** Processes to ask while the service is down. */
		peers: v.optional(addresses, ''),
	}),
	log: v.optional(
		v.strictObject({
			level: v.optional(
				v.picklist(
					['quiet', 'warn', 'info', 'request'],
					'quiet, warn, info or request',
				),
				'warn',
			),
		}),
		{},
	),
})

/** A process's checked settings. */
export type Settings = v.InferOutput<typeof SettingsSchema>

/** Judges the text of a settings file. */
export function readSettings(text: string) {
	return readDocument(text, SettingsSchema)
}

/** Reads a settings file, or ends the process with all its faults. */
export function loadSettings(path: string): Settings {
	const result = readSettings(readFileSync(path, 'utf8'))
	if (result.valid) return result.config
	for (const fault of result.faults)
		process.stderr.write(`${formatFault(path, fault)}\n`)
	process.exit(1)
}

/** One line for a person: file, line, section, key, what was expected. */
export function formatFault(path: string, fault: Fault): string {
	const section = fault.section ? ` [${fault.section}]` : ''
	const key = fault.key ? ` ${fault.key}` : ''
	return `${path}:${fault.line}:${section}${key}: expected ${fault.expected}`
}
