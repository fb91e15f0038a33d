/**
 * Line numbers of the sections and keys of an INI text. The INI parser reports no
 * positions and silently merges duplicate sections.
 */

/** A fault in a document, reported to the operator. */
export interface Fault {
	/** Line number from 1; 0 if the fault concerns the whole document. */
	readonly line: number
	readonly section: string
	readonly key: string
	/** What was expected there. */
	readonly expected: string
}

/** Line numbers and syntax faults of a document. */
export interface LineIndex {
	/** Line of each section heading, by section name. */
	readonly sections: ReadonlyMap<string, number>
	/** Line of each key, by `section\nkey`. */
	readonly keys: ReadonlyMap<string, number>
	/** Duplicate headings and keys, and malformed lines. */
	readonly faults: readonly Fault[]
}

const HEADING = /^\[([^\]]+)\]$/
const SECTION = /^[a-z]+(\.[a-z0-9][a-z0-9-]*)?$/i
const PAIR = /^([^=\s][^=]*?)\s*=/
// biome-ignore lint/suspicious/noControlCharactersInRegex: it detects them
const CONTROL = /[\u0000-\u0008\u000b\u000c\u000e-\u001f\ufffd]/

/** Indexes the lines of `text`. */
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

/** Returns the line of a key, else that of its section, else 0. */
export function findLine(
	index: LineIndex,
	section: string,
	key: string,
): number {
	const own = index.keys.get(`${section}\n${key}`)
	return own ?? index.sections.get(section) ?? 0
}
