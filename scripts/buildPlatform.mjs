/** Bundles the platform's program, for both of its processes, into `target/`. */

import { build } from 'esbuild'
import { SHARED } from './bundle.mjs'
import { publish } from './publish.mjs'

const FOLDER = 'target'
const PROGRAM = 'main.js'

const { outputFiles } = await build({
	...SHARED,
	entryPoints: ['platform/src/main.ts'],
	outdir: FOLDER,
	write: false,
})
publish(FOLDER, outputFiles, PROGRAM)
