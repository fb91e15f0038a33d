/** Tells whether the installed packages are complete and fit this machine. */

import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const LOCKFILE = 'package-lock.json'
/** Written by npm at the end of an installation that was not cut off. */
const INSTALLED_LOCKFILE = 'node_modules/.package-lock.json'

/** The kind of this machine, in npm's terms. */
export function describeMachine() {
	const { glibcVersionRuntime } = process.report.getReport().header
	return {
		os: process.platform,
		cpu: process.arch,
		libc: glibcVersionRuntime ? 'glibc' : 'musl',
	}
}

/**
 * Returns why the packages of the project at `root` have to be installed on a machine;
 * undefined if they need not.
 */
export function findInstallFault(root, machine) {
	if (!existsSync(join(root, INSTALLED_LOCKFILE))) return 'not installed'
	const { packages } = readJson(join(root, LOCKFILE))
	const installed = readJson(join(root, INSTALLED_LOCKFILE)).packages
	for (const [path, wanted] of Object.entries(packages)) {
		if (path === '' || !path.startsWith('node_modules/')) continue
		if (!fits(wanted, machine)) continue
		if (installed[path]?.version !== wanted.version)
			return `${path} is not installed at ${wanted.version ?? 'its link'}`
		if (!existsSync(join(root, path, 'package.json')))
			return `${path} is incomplete`
	}
	return undefined
}

/** Whether a package of the lockfile is for this kind of machine. */
function fits({ os, cpu, libc }, machine) {
	return (
		isAllowed(os, machine.os) &&
		isAllowed(cpu, machine.cpu) &&
		isAllowed(libc, machine.libc)
	)
}

/** Names after an exclamation mark are excluded. */
function isAllowed(names, own) {
	if (!names) return true
	if (names.includes(`!${own}`)) return false
	return names.includes(own) || names.every(name => name.startsWith('!'))
}

function readJson(path) {
	return JSON.parse(readFileSync(path, 'utf8'))
}
