/**
 * Bundles the daemons, the fakes and the platform's program; commands get chunks of
 * their own.
 */

import { rmSync } from 'node:fs'
import { build } from 'esbuild'
import { SHARED } from './bundle.mjs'

const FOLDERS = {
	'packages/entry': ['bin.ts', 'commands.ts'],
	'packages/agent': ['bin.ts', 'command.ts'],
	'packages/fakes': ['main.ts'],
	platform: ['main.ts'],
}

for (const [folder, files] of Object.entries(FOLDERS)) {
	rmSync(`${folder}/dist`, { recursive: true, force: true })
	await build({
		...SHARED,
		entryPoints: files.map(file => `${folder}/src/${file}`),
		outdir: `${folder}/dist`,
	})
}
