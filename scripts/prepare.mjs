/** Installs dependencies if the lockfile is newer than the installation, then builds. */

import { execFileSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

const INSTALLED_LOCKFILE = 'node_modules/.package-lock.json'

function isInstalled() {
	if (!existsSync(INSTALLED_LOCKFILE)) return false
	return (
		statSync(INSTALLED_LOCKFILE).mtimeMs >=
		statSync('package-lock.json').mtimeMs
	)
}

const run = (command, args) => execFileSync(command, args, { stdio: 'inherit' })

if (!isInstalled()) run('npm', ['ci', '--no-audit', '--no-fund'])
run(process.execPath, ['scripts/build.mjs'])
