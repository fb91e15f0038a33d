/** Bundles the platform's program, for both of its processes, into `target/`. */

import { rmSync } from 'node:fs'
import { build } from 'esbuild'
import { SHARED } from './bundle.mjs'

rmSync('target', { recursive: true, force: true })
await build({
	...SHARED,
	entryPoints: ['platform/src/main.ts'],
	outdir: 'target',
})
