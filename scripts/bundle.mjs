/** Options that all bundles of the daemons share. */

import { fileURLToPath } from 'node:url'

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

/** Options for esbuild. */
export const SHARED = {
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
