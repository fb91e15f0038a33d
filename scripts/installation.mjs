/** Installs packages so that a build never meets a part of an installation. */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import {
	cpSync,
	existsSync,
	mkdtempSync,
	readdirSync,
	readFileSync,
	renameSync,
	rmSync,
	statSync,
} from 'node:fs'
import { dirname, join, resolve } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { describeMachine, findInstallFault } from './installFault.mjs'

/** Together with their pauses, the attempts end within the 15 minutes of a build. */
const ATTEMPTS = 3
const ATTEMPT_LIMIT_MS = 4 * 60_000
const PAUSE_MS = 5_000
/** An answer of the registry that stops for longer is asked for again. */
const STALL_MS = 20_000
/** An installation that takes longer was cut off. */
const ABANDONED_MS = 15 * 60_000
const FOLDER = '.install-'
const MODULES = 'node_modules'
const PROJECT_FILES = ['package.json', 'package-lock.json', '.npmrc']
/** Settings in the environment that tell how the registry and the cache are reached. */
const REACHING =
	/^npm_config_(\/\/|@|_|registry|replace_registry|(https?_|no)?proxy|ca$|cafile|cert|key|strict_ssl|cache$|userconfig|globalconfig|offline)/i
const NPM_SETTING = /^npm_config_/i
const NPM_BESIDE_NODE = '../lib/node_modules/npm/bin/npm-cli.js'

/**
 * Installs the packages of the project at `root`, or those that its `workspace` needs,
 * unless they are complete and fit this machine. It is done in a folder of its own and
 * moved into place as a whole, so installations may be cut off or run at once.
 */
export async function install(root, workspace, options = {}) {
	const { pauseMs = PAUSE_MS, stallMs = STALL_MS } = options
	const { env = process.env } = options
	const machine = describeMachine()
	const findFault = () => findInstallFault(root, machine, workspace)
	let fault = findFault()
	for (let attempt = 1; fault !== undefined; attempt++) {
		process.stdout.write(`installing dependencies: ${fault}\n`)
		const folder = prepareFolder(root)
		const settings = ['--fetch-timeout', stallMs]
		if (workspace)
			settings.push('--workspace', workspace, '--no-include-workspace-root')
		// The cache may be what cannot be read or written.
		if (attempt === ATTEMPTS) settings.push('--cache', join(folder, 'cache'))
		const failure =
			(await runNpm(folder, machine, settings, env)) ??
			findInstallFault(folder, machine, workspace)
		if (failure === undefined && findFault() !== undefined)
			moveIntoPlace(folder, root)
		remove(folder)
		fault = findFault()
		if (fault === undefined) return
		process.stdout.write(`attempt ${attempt} of ${ATTEMPTS}: ${failure}\n`)
		if (attempt === ATTEMPTS)
			throw new Error(`the dependencies cannot be installed: ${failure}`)
		await pause(pauseMs * attempt)
	}
}

/** Returns a new folder with all that npm reads of the project. */
function prepareFolder(root) {
	for (const name of readdirSync(root)) {
		const path = join(root, name)
		if (name.startsWith(FOLDER) && isAbandoned(path)) remove(path)
	}
	const folder = mkdtempSync(join(resolve(root), FOLDER))
	const lockfile = readFileSync(join(root, 'package-lock.json'), 'utf8')
	const workspaces = Object.keys(JSON.parse(lockfile).packages)
		.filter(path => path !== '' && !path.startsWith(`${MODULES}/`))
		.map(path => join(path, 'package.json'))
	for (const path of [...PROJECT_FILES, ...workspaces])
		if (existsSync(join(root, path)))
			cpSync(join(root, path), join(folder, path))
	return folder
}

/** Returns why npm has failed; undefined if it hasn't. */
async function runNpm(cwd, { os, cpu, libc }, settings, env) {
	const args = [
		'ci',
		// Also where NODE_ENV says otherwise: they build.
		'--include=dev',
		'--include=optional',
		// Scripts of packages would compile what is here already.
		'--ignore-scripts',
		'--prefer-offline',
		'--fetch-retry-mintimeout=1000',
		'--fetch-retry-maxtimeout=10000',
		'--loglevel=error',
		'--no-audit',
		'--no-fund',
		...['--os', os, '--cpu', cpu, '--libc', libc],
		...settings.map(String),
	]
	const own = Object.entries(env).filter(
		([name]) => !NPM_SETTING.test(name) || REACHING.test(name),
	)
	const options = {
		cwd,
		env: Object.fromEntries(own),
		stdio: 'inherit',
		signal: AbortSignal.timeout(ATTEMPT_LIMIT_MS),
		killSignal: 'SIGKILL',
	}
	try {
		return await run('npm', args, options)
	} catch (error) {
		if (error.code !== 'ENOENT') return `npm: ${error.message}`
		const npm = resolve(dirname(process.execPath), NPM_BESIDE_NODE)
		return run(process.execPath, [npm, ...args], options)
	}
}

/** Returns how npm has failed; rejects if it cannot be started. */
async function run(command, args, options) {
	const [code, signal] = await once(spawn(command, args, options), 'close')
	return code === 0 ? undefined : `npm ended with ${signal ?? `code ${code}`}`
}

/** Replaces the packages of a project; another installation may have done so just now. */
function moveIntoPlace(folder, root) {
	const modules = join(root, MODULES)
	// Within the same folder, as that needs no right to write to the packages.
	const former = `${folder}.former`
	try {
		if (existsSync(modules)) renameSync(modules, former)
		renameSync(join(folder, MODULES), modules)
	} catch (error) {
		if (!['ENOENT', 'ENOTEMPTY', 'EEXIST'].includes(error.code)) throw error
	}
	remove(former)
}

function isAbandoned(path) {
	const stat = statSync(path, { throwIfNoEntry: false })
	return stat !== undefined && Date.now() - stat.mtimeMs > ABANDONED_MS
}

/** What cannot be removed, such as a read-only folder, stays: it harms no build. */
function remove(path) {
	try {
		rmSync(path, { recursive: true, force: true })
	} catch {}
}
