/** Tells whether the installed packages are complete and fit this machine. */

import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'

const LOCKFILE = 'package-lock.json'
/** Written by npm at the end of an installation that was not cut off. */
const INSTALLED_LOCKFILE = 'node_modules/.package-lock.json'
const MODULES = 'node_modules/'

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
 * Returns why the packages of the project at `root`, or those that its `workspace`
 * needs, have to be installed on a machine; undefined if they need not.
 */
export function findInstallFault(root, machine, workspace) {
	const { packages } = readJson(join(root, LOCKFILE))
	const installed = readInstalled(root)
	if (installed === undefined) return 'not installed'
	const paths = workspace
		? listNeeded(packages, workspace)
		: Object.keys(packages)
	for (const path of paths) {
		const wanted = packages[path]
		if (!path.startsWith(MODULES)) continue
		if (!fits(wanted, machine)) continue
		if (installed[path]?.version !== wanted.version)
			return `${path} is not installed at ${wanted.version ?? 'its link'}`
		if (!existsSync(join(root, path, 'package.json')))
			return `${path} is incomplete`
	}
	return undefined
}

/** Lockfile paths of a workspace and of all that it needs, also to be built. */
export function listNeeded(packages, workspace) {
	const paths = new Set([workspace])
	for (const path of paths) {
		const { link, resolved, devDependencies, ...entry } = packages[path]
		if (link) paths.add(resolved)
		const own = path === workspace ? devDependencies : undefined
		const { dependencies, optionalDependencies } = entry
		const needed = { ...dependencies, ...optionalDependencies, ...own }
		for (const name of Object.keys(needed)) {
			const found = resolvePackage(packages, path, name)
			if (found !== undefined) paths.add(found)
		}
	}
	return paths
}

/** Path of the package that a package finds under a name: the nearest one above it. */
function resolvePackage(packages, from, name) {
	const parts = from.split('/')
	for (let depth = parts.length; depth >= 0; depth--) {
		const path = [...parts.slice(0, depth), `${MODULES}${name}`].join('/')
		if (path in packages) return path
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

/** Packages that npm has listed at its end; undefined without a whole list. */
function readInstalled(root) {
	try {
		return readJson(join(root, INSTALLED_LOCKFILE)).packages
	} catch {
		return undefined
	}
}

function readJson(path) {
	return JSON.parse(readFileSync(path, 'utf8'))
}
