/** Bundles the two daemons and the stand-ins; commands stay in own chunks. */

import { rmSync } from 'node:fs'
import { build } from 'esbuild'

const REQUIRE_FOR_CJS = [
	"import { createRequire as createRequireForCjs } from 'node:module'",
	'const require = createRequireForCjs(import.meta.url)',
].join('\n')

const SHARED = {
	bundle: true,
	splitting: true,
	format: 'esm',
	platform: 'node',
	target: 'node20',
	external: ['@oclif/core', 'msgpackr-extract'],
	banner: { js: REQUIRE_FOR_CJS },
	logLevel: 'warning',
}

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
