/** Settings of a process: a small INI file, validated like a configuration. */

import { readFileSync } from 'node:fs'
import type { Fault } from '@juniperhook/core'
import { isAddress, readDocument } from '@juniperhook/core'
import * as v from 'valibot'
import type { Attempt } from '../io/waits.ts'
import { messageOf } from '../utils/fail.ts'

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

/** Memory of a VM that is not stated, MB. */
const DEFAULT_MEMORY_MB = 512
const MIN_MEMORY_MB = 128

/** The sections `[process]`, `[listen]`, `[platform]`, `[limits]` and `[log]`. */
export const SettingsSchema = v.strictObject({
	process: v.strictObject({
		/** For an agent, the name of its backend server in the configuration. */
		name: v.pipe(v.string('a value'), v.regex(/^[\w-]+$/, 'a name')),
		dataCentre: v.string('the name of a data centre'),
	}),
	listen: v.strictObject({
		/** Address for callers (entry) or entries (agent). */
		data: address,
		/** Address for the system's other processes. */
		control: address,
		/** Address for operators: health, metrics, status. */
		operators: address,
	}),
	platform: v.strictObject({
		/** Address of the configuration service. */
		service: address,
		/** Address of the weight store; required by agents of engines. */
		weights: v.optional(address),
		/** Addresses of processes to fetch values from while the service is down. */
		peers: v.optional(addresses, ''),
	}),
	limits: v.optional(
		v.strictObject({
			/** Memory of the process, MB; a share of it holds bodies of requests. */
			memoryMb: v.optional(
				v.pipe(
					v.string(),
					v.regex(/^\d+$/, 'a number of MB'),
					v.transform(Number),
					v.minValue(MIN_MEMORY_MB, `at least ${MIN_MEMORY_MB}`),
				),
				String(DEFAULT_MEMORY_MB),
			),
		}),
		{},
	),
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

/** Validated settings of a process. */
export type Settings = v.InferOutput<typeof SettingsSchema>

/** Validates the text of a settings file. */
export function readSettings(text: string) {
	return readDocument(text, SettingsSchema)
}

/** Reads and validates a settings file. */
export function readSettingsFile(path: string): Attempt<Settings> {
	try {
		const result = readSettings(readFileSync(path, 'utf8'))
		if (result.valid) return { ok: true, value: result.config }
		const faults = result.faults.map(fault => formatFault(path, fault))
		return { ok: false, reason: faults.join('\n') }
	} catch (err) {
		// The path is part of the message.
		return { ok: false, reason: messageOf(err) }
	}
}

/** Formats a fault as one line: file, line, section, key and what was expected. */
export function formatFault(path: string, fault: Fault): string {
	const section = fault.section ? ` [${fault.section}]` : ''
	const key = fault.key ? ` ${fault.key}` : ''
	return `${path}:${fault.line}:${section}${key}: expected ${fault.expected}`
}
