/** Installs the dependencies unless they are complete and fit this machine. */

import { execFileSync } from 'node:child_process'
import { describeMachine, findInstallFault } from './installFault.mjs'

/** With development dependencies also where NODE_ENV says otherwise: they build. */
const INSTALL = [
	'ci',
	'--include=dev',
	'--include=optional',
	'--loglevel=error',
	'--no-audit',
	'--no-fund',
]

const fault = findInstallFault('.', describeMachine())
if (fault !== undefined) {
	process.stdout.write(`installing dependencies: ${fault}\n`)
	execFileSync('npm', INSTALL, { stdio: 'inherit' })
}
