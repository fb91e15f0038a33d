/** Bundles the two daemons and the stand-ins; commands stay in own chunks. */

import { rmSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const REQUIRE_FOR_CJS = [
	"import { createRequire as createRequireForCjs } from 'node:module'",
	'const require = createRequireForCjs(import.meta.url)',
].join('\n')

/** The daemons' bundles take the small part of undici that they use. */
const SLIM_UNDICI = {
	name: 'slim-undici',
	setup(bundle) {
		const path = fileURLToPath(new URL('undiciSlim.mjs', import.meta.url))
		bundle.onResolve({ filter: /^undici$/ }, () => ({ path }))
	},
}

const SHARED = {
	bundle: true,
	splitting: true,
	format: 'esm',
	platform: 'node',
	target: 'node20',
	external: ['@oclif/core', 'msgpackr-extract'],
	banner: { js: REQUIRE_FOR_CJS },
	minify: true,
	keepNames: true,
	plugins: [SLIM_UNDICI],
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
