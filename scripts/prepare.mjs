/** Installs when the lockfile is newer than the install, then builds. */

import { execFileSync } from 'node:child_process'
import { existsSync, statSync } from 'node:fs'

const MARK = 'node_modules/.package-lock.json'

function isInstalled() {
	if (!existsSync(MARK)) return false
	return statSync(MARK).mtimeMs >= statSync('package-lock.json').mtimeMs
}

const run = (command, args) => execFileSync(command, args, { stdio: 'inherit' })

if (!isInstalled()) run('npm', ['ci', '--no-audit', '--no-fund'])
run(process.execPath, ['scripts/build.mjs'])
