/**
 * Reads and judges a configuration document. A pure function of the text, so
 * every node reaches the same verdict.
 */

import { parse as parseIni } from 'ini'
import * as v from 'valibot'
import type { Config, Fault, LineIndex } from '../internal.ts'
import { ConfigSchema, findLine, indexLines } from '../internal.ts'

/** The verdict on a document. */
export type ConfigResult =
	| { readonly valid: true; readonly config: Config }
	| { readonly valid: false; readonly faults: readonly Fault[] }

/** The platform's bound on a value, in bytes. */
export const MAX_DOCUMENT_BYTES = 1_048_576

/** Judges `text`; lists all faults at once, in order of their lines. */
export function readConfig(text: string): ConfigResult {
	return readDocument(text, ConfigSchema, findLooseEnds)
}

/** Judges an INI text by `schema`; `check` sees it if each value is right. */
export function readDocument<T extends v.GenericSchema>(
	text: string,
	schema: T,
	check: (config: v.InferOutput<T>, index: LineIndex) => Fault[] = () => [],
):
	| { valid: true; config: v.InferOutput<T> }
	| { valid: false; faults: readonly Fault[] } {
	if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) {
		const expected = `at most ${MAX_DOCUMENT_BYTES} bytes`
		return {
			valid: false,
			faults: [{ line: 0, section: '', key: '', expected }],
		}
	}
	const index = indexLines(text)
	const parsed = v.safeParse(schema, parseIni(text))
	const found = parsed.success
		? check(parsed.output, index)
		: parsed.issues.map(issue => describeIssue(issue, index))
	// A line that cannot be read is one fault, not two.
	const unread = new Set(index.faults.map(fault => fault.line))
	const faults = [
		...index.faults,
		...found.filter(fault => !unread.has(fault.line)),
	]
	faults.sort((a, b) => a.line - b.line)
	if (faults.length > 0 || !parsed.success) return { valid: false, faults }
	return { valid: true, config: parsed.output }
}

function describeIssue(issue: v.BaseIssue<unknown>, index: LineIndex): Fault {
	const path = (issue.path ?? []).map(item => String(item.key))
	const deep = path.length > 2
	const section = deep ? path.slice(0, 2).join('.') : path.join('.')
	// Below the key stand the places of a list.
	const key = deep ? path[2]! : ''
	const line = findLine(index, section, key)
	return { line, section, key, expected: describeExpectation(issue, key) }
}

function describeExpectation(issue: v.BaseIssue<unknown>, key: string): string {
	if (issue.type !== 'strict_object') return issue.message
	if (issue.expected === 'never') return `no ${key || 'section'} of this name`
	return `${key || 'this section'} to be given`
}

/** Names that point nowhere, and doubled addresses. */
function findLooseEnds(config: Config, index: LineIndex): Fault[] {
	const faults: Fault[] = []
	const fail = (section: string, key: string, expected: string) => {
		const line = findLine(index, section, key)
		faults.push({ line, section, key, expected })
	}
	checkServers(config, fail)
	checkGroups(config, fail)
	return faults
}

type Fail = (section: string, key: string, expected: string) => void

function checkServers(config: Config, fail: Fail): void {
	const agents = new Map<string, string>()
	for (const [name, server] of Object.entries(config.server)) {
		const section = `server.${name}`
		if (!config.dataCentre[server.dataCentre])
			fail(section, 'dataCentre', 'the name of a [dataCentre.…]')
		const twin = agents.get(server.agent)
		if (twin) fail(section, 'agent', `an address other than that of ${twin}`)
		agents.set(server.agent, name)
		switch (server.kind) {
			case 'service':
				if (!server.service || !config.service[server.service])
					fail(section, 'service', 'the name of a [service.…]')
				break
			case 'engine':
				if (server.model && !config.model[server.model])
					fail(section, 'model', 'the name of a [model.…]')
				break
		}
	}
}

function checkGroups(config: Config, fail: Fail): void {
	const groupOf = new Map<string, string>()
	for (const [name, group] of Object.entries(config.group)) {
		const section = `group.${name}`
		if (!config.model[group.model])
			fail(section, 'model', 'the name of a [model.…]')
		if (group.ranks.length === 0)
			fail(section, 'ranks', 'at least one backend server')
		for (const rank of group.ranks) {
			const other = groupOf.get(rank)
			if (config.server[rank]?.kind !== 'engine')
				fail(section, 'ranks', `a [server.${rank}] of kind engine`)
			if (other)
				fail(section, 'ranks', `${rank} once; group ${other} has it too`)
			groupOf.set(rank, name)
		}
	}
	for (const [name, placement] of Object.entries(config.placement)) {
		const section = `placement.${name}`
		const group = config.group[name]
		if (!group) {
			fail(section, '', `a [group.${name}]`)
			continue
		}
		checkPlacement(section, placement, group, fail)
	}
}

function checkPlacement(
	section: string,
	placement: Record<string, string>,
	group: Config['group'][string],
	fail: Fail,
): void {
	const placed = new Set<number>()
	const slots = Math.ceil(group.experts / group.ranks.length) + group.spareSlots
	for (const [key, text] of Object.entries(placement)) {
		const rank = Number(key.slice('rank'.length))
		const experts = readExperts(text)
		if (rank >= group.ranks.length)
			fail(section, key, `a rank below ${group.ranks.length}`)
		if (experts.some(expert => !(expert < group.experts)))
			fail(section, key, `experts below ${group.experts}`)
		if (experts.length > slots) fail(section, key, `at most ${slots} experts`)
		for (const expert of experts) placed.add(expert)
	}
	const missing = group.experts - placed.size
	if (missing > 0) fail(section, '', `every expert placed; ${missing} are not`)
}

/** Reads a list such as `0-7, 12`; an unreadable part gives `NaN`. */
export function readExperts(text: string): number[] {
	const experts = new Set<number>()
	for (const part of text.split(/[\s,]+/)) {
		if (part === '') continue
		const [first, last = first, ...rest] = part.split('-').map(Number)
		if (first === undefined || last === undefined || rest.length > 0)
			return [Number.NaN]
		for (let expert = first; expert <= last; expert++) experts.add(expert)
	}
	return [...experts]
}

/** Splits a checked `IP:port`. */
export function splitAddress(address: string): { ip: string; port: number } {
	const at = address.lastIndexOf(':')
	return { ip: address.slice(0, at), port: Number(address.slice(at + 1)) }
}
