/**
 * Where each section and key of an INI text stands. The INI library gives
 * values without positions and merges doubled sections silently.
 */

/** A fault of a document, for a person to mend. */
export interface Fault {
	/** Line number from 1; 0 when the fault is of the whole document. */
	readonly line: number
	readonly section: string
	readonly key: string
	/** What was expected there. */
	readonly expected: string
}

/** Positions in one document. */
export interface LineIndex {
	/** Line of each section's heading. */
	readonly sections: ReadonlyMap<string, number>
	/** Line of each key, under `section\nkey`. */
	readonly keys: ReadonlyMap<string, number>
	/** Doubled headings and keys, unreadable lines. */
	readonly faults: readonly Fault[]
}

const HEADING = /^\[([^\]]+)\]$/
const SECTION = /^[a-z]+(\.[a-z0-9][a-z0-9-]*)?$/i
const PAIR = /^([^=\s][^=]*?)\s*=/
// biome-ignore lint/suspicious/noControlCharactersInRegex: they are the fault
const CONTROL = /[\u0000-\u0008\u000b\u000c\u000e-\u001f\ufffd]/

/** Reads the positions in `text`. */
export function indexLines(text: string): LineIndex {
	const sections = new Map<string, number>()
	const keys = new Map<string, number>()
	const faults: Fault[] = []
	let section = ''
	const lines = text.split(/\r?\n/)
	for (const [at, raw] of lines.entries()) {
		const line = at + 1
		const content = raw.trim()
		const fail = (key: string, expected: string) =>
			faults.push({ line, section, key, expected })
		if (CONTROL.test(content)) {
			fail('', 'text without control characters')
			continue
		}
		if (content === '' || content.startsWith(';')) continue
		if (content.startsWith('#')) continue
		const heading = HEADING.exec(content)?.[1]
		if (heading !== undefined) {
			section = heading
			if (!SECTION.test(heading)) fail('', 'a section [kind] or [kind.name]')
			const first = sections.get(section)
			if (first === undefined) sections.set(section, line)
			else fail('', `one section [${section}]; the first is at line ${first}`)
			continue
		}
		const key = PAIR.exec(content)?.[1]
		if (key === undefined) {
			keys.set(`${section}\n${content}`, line)
			fail('', 'a section [kind.name] or a line key = value')
			continue
		}
		const path = `${section}\n${key}`
		const first = keys.get(path)
		if (first === undefined) keys.set(path, line)
		else fail(key, `one ${key}; the first is at line ${first}`)
	}
	return { sections, keys, faults }
}

/** The best known line of a key: its own, its section's, or 0. */
export function findLine(
	index: LineIndex,
	section: string,
	key: string,
): number {
	const own = index.keys.get(`${section}\n${key}`)
	return own ?? index.sections.get(section) ?? 0
}
