/** Bundles the two daemons and the stand-ins; commands stay in own chunks. */

import { rmSync } from 'node:fs'
import { build } from 'esbuild'
import { SHARED } from './bundle.mjs'

const PACKAGES = {
	entry: ['bin.ts', 'commands.ts'],
	agent: ['bin.ts', 'command.ts'],
	fakes: ['main.ts'],
}

for (const [name, files] of Object.entries(PACKAGES)) {
	const folder = `packages/${name}`
	rmSync(`${folder}/dist`, { recursive: true, force: true })
	await build({
		...SHARED,
		entryPoints: files.map(file => `${folder}/src/${file}`),
		outdir: `${folder}/dist`,
	})
}
