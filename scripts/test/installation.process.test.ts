/**
 * Guards against a build that fails for good because the registry, the cache or another
 * build did once: nothing would start.
 */

import { execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import {
	existsSync,
	mkdirSync,
	mkdtempSync,
	readdirSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs'
import type { ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { install } from '../installation.mjs'
import { describeMachine, findInstallFault } from '../installFault.mjs'

const INSTALL = fileURLToPath(new URL('../install.mjs', import.meta.url))
const REGISTRY_IP = '127.23.0.1'
const PACKAGE = 'node_modules/plain'
const STALL_MS = 1_000

type Answer = (response: ServerResponse) => void

const world = mkdtempSync(join(tmpdir(), 'juniperhook installation-'))
const { tarball, integrity } = pack()
/** Answers to the next requests; afterwards the registry works. */
let answers: Answer[] = []
const registry = createServer((_, response) => {
	const answer = answers.shift() ?? (good => good.end(tarball))
	answer(response)
})
registry.listen(0, REGISTRY_IP)
await once(registry, 'listening')
const { port } = registry.address() as AddressInfo
const url = `http://${REGISTRY_IP}:${port}/`
let projects = 0

function write(root: string, path: string, content: object) {
	mkdirSync(dirname(join(root, path)), { recursive: true })
	writeFileSync(join(root, path), JSON.stringify(content))
}

function pack() {
	const folder = join(world, 'plain')
	write(folder, 'package.json', { name: 'plain', version: '1.0.0' })
	const output = execFileSync('npm', ['pack', '--json', '--offline'], {
		cwd: folder,
	})
	const [{ filename, integrity: hash }] = JSON.parse(String(output))
	return {
		tarball: readFileSync(join(folder, filename)),
		integrity: hash as string,
	}
}

/** Creates a project whose workspace `own` needs a package; `other` needs one that is nowhere. */
function createProject() {
	const root = join(world, `project ${++projects}`)
	const own = { version: '0.1.0', dependencies: { plain: '1.0.0' } }
	const other = { version: '0.1.0', dependencies: { gone: '1.0.0' } }
	const project = { name: 'project', workspaces: ['own', 'other'] }
	write(root, 'package.json', project)
	write(root, 'own/package.json', { name: 'own', ...own })
	write(root, 'other/package.json', { name: 'other', ...other })
	const packages = {
		'': project,
		own,
		other,
		'node_modules/own': { resolved: 'own', link: true },
		'node_modules/other': { resolved: 'other', link: true },
		[PACKAGE]: { version: '1.0.0', resolved: `${url}plain.tgz`, integrity },
		'node_modules/gone': { version: '1.0.0', integrity: 'sha512-AA==' },
	}
	write(root, 'package-lock.json', {
		...project,
		lockfileVersion: 3,
		packages,
	})
	const env: NodeJS.ProcessEnv = {
		...process.env,
		npm_config_cache: join(root, 'cache'),
		npm_config_registry: url,
	}
	return { root, env }
}

function assertInstalled(root: string) {
	assert.is(findInstallFault(root, describeMachine(), 'own'), undefined)
	const left = readdirSync(root).filter(name => name.startsWith('.install-'))
	assert.equal(left, [])
}

const missing: Answer = response => response.writeHead(404).end()
const failing: Answer = response => response.writeHead(503).end()
const damaged: Answer = response =>
	response.end(Buffer.from(tarball).fill(0, 20, 40))
const cutOff: Answer = response => {
	response.writeHead(200, { 'content-length': tarball.length })
	response.write(tarball.subarray(0, 20), () => response.destroy())
}
const stalling: Answer = () => {}
const slow: Answer = response => {
	response.write(tarball.subarray(0, 20))
	setTimeout(() => response.end(tarball.subarray(20)), STALL_MS / 2)
}

type Project = ReturnType<typeof createProject>

interface Case {
	readonly name: string
	readonly answers?: readonly Answer[]
	/** Changes the project or the environment before the installation. */
	readonly change?: (project: Project) => void
}

const without = (...names: string[]) => ({
	change: ({ env }: Project) => {
		for (const name of names) delete env[name]
	},
})

const setting = (name: string, value: string): Case => ({
	name: `with ${name}=${value}`,
	change: ({ env }) => {
		env[name] = value
	},
})

const CASES: readonly Case[] = [
	{ name: 'from a registry that works' },
	{ name: 'once the registry lacks a package', answers: [missing] },
	{ name: 'once the registry fails', answers: [failing] },
	{
		name: 'once the registry sends a damaged package',
		answers: [damaged, damaged],
	},
	{ name: 'once the registry cuts a package off', answers: [cutOff] },
	{ name: 'once the registry stalls', answers: [stalling] },
	{ name: 'from a slow registry', answers: [slow] },
	{ name: 'without HOME', ...without('HOME') },
	{
		name: 'without npm in PATH',
		change: ({ root, env }) => {
			mkdirSync(join(root, 'empty'))
			env.PATH = join(root, 'empty')
		},
	},
	{
		name: 'with a cache that cannot be written',
		change: ({ root }) => writeFileSync(join(root, 'cache'), ''),
	},
	setting('NODE_ENV', 'production'),
	setting('npm_config_omit', 'optional'),
	setting('npm_config_dry_run', 'true'),
	setting('npm_config_global', 'true'),
	setting('npm_config_package_lock', 'false'),
	setting('npm_config_workspaces', 'false'),
	setting('npm_config_install_strategy', 'linked'),
	setting('npm_config_cpu', 'other'),
	{
		name: 'over an installation whose list is cut off',
		change: ({ root }) => {
			mkdirSync(join(root, 'node_modules'))
			writeFileSync(join(root, 'node_modules/.package-lock.json'), '{"pack')
		},
	},
]

for (const { name, answers: first = [], change } of CASES)
	test(`installation: ${name}`, async () => {
		const project = createProject()
		change?.(project)
		answers = [...first]
		const { root, env } = project
		await install(root, 'own', { env, pauseMs: 0, stallMs: STALL_MS })
		assertInstalled(root)
	})

// Guards against a build that goes on with packages that are not there.
test('installation: a registry that never has a package is named as the reason', async () => {
	const { root, env } = createProject()
	answers = Array.from({ length: 10 }, () => missing)
	try {
		await install(root, 'own', { env, pauseMs: 0, stallMs: STALL_MS })
		assert.unreachable()
	} catch (error) {
		assert.match(String(error), 'npm ended with code 1')
	}
	assert.not(existsSync(join(root, 'node_modules')))
})

const start = ({ root, env }: Project) =>
	spawn(process.execPath, [INSTALL, 'own'], { cwd: root, env, stdio: 'ignore' })

// Guards against builds that remove each other's packages.
test('installation: several in one folder at once all succeed', async () => {
	const project = createProject()
	answers = []
	const children = [project, project, project].map(start)
	const ends = await Promise.all(children.map(child => once(child, 'close')))
	assert.equal(
		ends.map(([code]) => code),
		[0, 0, 0],
	)
	assertInstalled(project.root)
})

// Guards against packages of which a part is there.
test('installation: one that is killed leaves no part of its packages', async () => {
	const project = createProject()
	const asked = new Promise<void>(resolve => {
		answers = [() => resolve()]
	})
	const child = start(project)
	await asked
	child.kill('SIGKILL')
	await once(child, 'close')
	assert.not(existsSync(join(project.root, 'node_modules')))
	answers = []
	const { root, env } = project
	await install(root, 'own', { env, pauseMs: 0, stallMs: STALL_MS })
	assert.is(findInstallFault(root, describeMachine(), 'own'), undefined)
})

test.after(() => {
	registry.closeAllConnections()
	registry.close()
	rmSync(world, { recursive: true, force: true, maxRetries: 10 })
})

test.run()
