/** Common esbuild options of all bundles. */

import { fileURLToPath } from 'node:url'

const REQUIRE_FOR_CJS = [
	"import { createRequire as createRequireForCjs } from 'node:module'",
	'const require = createRequireForCjs(import.meta.url)',
].join('\n')

/** Resolves undici to the small part of it that the daemons use. */
const SLIM_UNDICI = {
	name: 'slim-undici',
	setup(bundle) {
		const path = fileURLToPath(new URL('undiciSlim.mjs', import.meta.url))
		bundle.onResolve({ filter: /^undici$/ }, () => ({ path }))
	},
}

/** Options of all bundles. */
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
