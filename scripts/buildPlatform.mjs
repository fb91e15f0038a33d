/**
 * Bundles the platform's program, for both of its processes, into `target/`. A process
 * that is started meanwhile finds the former program or the new one.
 */

import {
	mkdirSync,
	readdirSync,
	renameSync,
	rmSync,
	writeFileSync,
} from 'node:fs'
import { basename, join } from 'node:path'
import { build } from 'esbuild'
import { SHARED } from './bundle.mjs'

const FOLDER = 'target'
const PROGRAM = 'main.js'

const { outputFiles } = await build({
	...SHARED,
	entryPoints: ['platform/src/main.ts'],
	outdir: FOLDER,
	write: false,
})
mkdirSync(FOLDER, { recursive: true })
const names = outputFiles.map(({ path }) => basename(path))
// The program comes last, as it imports the other files.
outputFiles.sort((a, b) => rank(a) - rank(b))
for (const { path, contents } of outputFiles) {
	const written = `${path}.new`
	writeFileSync(written, contents)
	renameSync(written, path)
}
for (const name of readdirSync(FOLDER))
	if (!names.includes(name))
		rmSync(join(FOLDER, name), { recursive: true, force: true })

function rank({ path }) {
	return basename(path) === PROGRAM ? 1 : 0
}
