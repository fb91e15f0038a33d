/**
 * Installs the dependencies, or those of one workspace, unless they are complete and fit
 * this machine: `install.mjs [WORKSPACE]`.
 */

import { install } from './installation.mjs'

try {
	await install('.', process.argv[2])
} catch (error) {
	process.stderr.write(`${error.message}\n`)
	process.exitCode = 1
}
