/** Puts the files of a built program into place under running processes. */

import { randomUUID } from 'node:crypto'
import {
	mkdirSync,
	readdirSync,
	readFileSync,
	renameSync,
	rmSync,
	statSync,
	writeFileSync,
} from 'node:fs'
import { basename, join } from 'node:path'

const UNFINISHED = '.new'
/** A build that takes longer was cut off, ms. */
const BUILD_LIMIT_MS = 15 * 60_000
const IMPORT = /["']\.\/([\w.-]+\.js)["']/g

/**
 * Writes the files of a program, given as esbuild's outputs, into a folder. A process
 * that is started meanwhile finds all files of the former program or of the new one;
 * several builds may run at once.
 */
export function publish(folder, outputs, program) {
	mkdirSync(folder, { recursive: true })
	const former = readText(join(folder, program))
	const kept = listProgram(folder, program)
	// The program comes last, as it imports the other files.
	const rank = ({ path }) => (basename(path) === program ? 1 : 0)
	for (const { path, contents } of outputs.toSorted(
		(a, b) => rank(a) - rank(b),
	)) {
		const name = basename(path)
		kept.add(name)
		const unfinished = join(folder, `${name}.${randomUUID()}${UNFINISHED}`)
		writeFileSync(unfinished, contents)
		renameSync(unfinished, join(folder, name))
	}
	// Built again without a change: there may still be processes of the former program.
	if (readText(join(folder, program)) === former) return
	for (const name of readdirSync(folder))
		if (!kept.has(name) && !isRecent(folder, name))
			rmSync(join(folder, name), { recursive: true, force: true })
}

/** Names of a program's file and of all files that it imports, as far as they exist. */
function listProgram(folder, program) {
	const names = new Set([program])
	for (const name of names)
		for (const [, imported] of readText(join(folder, name)).matchAll(IMPORT))
			names.add(imported)
	return names
}

function readText(path) {
	try {
		return readFileSync(path, 'utf8')
	} catch {
		return ''
	}
}

/** Whether a file may belong to a build that has not put its program into place yet. */
function isRecent(folder, name) {
	const stat = statSync(join(folder, name), { throwIfNoEntry: false })
	return stat !== undefined && Date.now() - stat.mtimeMs < BUILD_LIMIT_MS
}
