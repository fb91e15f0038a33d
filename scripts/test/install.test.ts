/**
 * Guards against a build that takes over installed packages which do not fit: those of
 * another kind of machine, of an installation that was cut off, or of another lockfile.
 */

import {
	mkdirSync,
	mkdtempSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs'
import { isBuiltin } from 'node:module'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { build } from 'esbuild'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { SHARED as BUNDLE } from '../bundle.mjs'
import {
	describeMachine,
	findInstallFault,
	listNeeded,
} from '../installFault.mjs'

const ARM = { os: 'linux', cpu: 'arm64', libc: 'glibc' }
const X86 = { os: 'linux', cpu: 'x64', libc: 'glibc' }

interface LockEntry {
	readonly version?: string
	readonly link?: boolean
	readonly optional?: boolean
	readonly os?: readonly string[]
	readonly cpu?: readonly string[]
	readonly libc?: readonly string[]
}

type Packages = Record<string, LockEntry>

const PACKAGES: Packages = {
	'': {},
	'packages/own': { version: '0.1.0' },
	'node_modules/own': { link: true },
	'node_modules/plain': { version: '1.0.0' },
	'node_modules/native-arm64': {
		version: '1.0.0',
		optional: true,
		os: ['linux'],
		cpu: ['arm64'],
		libc: ['glibc'],
	},
	'node_modules/native-x64': {
		version: '1.0.0',
		optional: true,
		os: ['linux'],
		cpu: ['x64'],
	},
	'node_modules/native-musl': {
		version: '1.0.0',
		optional: true,
		libc: ['musl'],
	},
	'node_modules/not-here': { version: '1.0.0', optional: true, os: ['!linux'] },
}
const SHARED = ['node_modules/own', 'node_modules/plain']
const ON_ARM = [...SHARED, 'node_modules/native-arm64']
const ON_X86 = [...SHARED, 'node_modules/native-x64']

interface Case {
	readonly name: string
	readonly machine: typeof ARM
	/** Packages that are installed. */
	readonly paths: readonly string[]
	/** Changes the project at `root` after the installation. */
	readonly change?: (root: string) => void
	readonly fault: RegExp | undefined
}

const write = (root: string, path: string, content: object) => {
	mkdirSync(dirname(join(root, path)), { recursive: true })
	writeFileSync(join(root, path), JSON.stringify(content))
}

const CASES: readonly Case[] = [
	{ name: 'complete, arm64', machine: ARM, paths: ON_ARM, fault: undefined },
	{ name: 'complete, x86-64', machine: X86, paths: ON_X86, fault: undefined },
	{
		name: 'of an x86-64 machine on arm64',
		machine: ARM,
		paths: ON_X86,
		fault: /native-arm64/,
	},
	{
		name: 'of an arm64 machine on x86-64',
		machine: X86,
		paths: ON_ARM,
		fault: /native-x64/,
	},
	{
		name: 'cut off before the end',
		machine: ARM,
		paths: ON_ARM,
		change: root => rmSync(join(root, 'node_modules/.package-lock.json')),
		fault: /not installed/,
	},
	{
		name: 'without one of its folders',
		machine: ARM,
		paths: ON_ARM,
		change: root => rmSync(join(root, 'node_modules/plain/package.json')),
		fault: /plain is incomplete/,
	},
	{
		name: 'of an earlier lockfile',
		machine: ARM,
		paths: ON_ARM,
		change: root => {
			const plain = { version: '1.1.0' }
			const packages = { ...PACKAGES, 'node_modules/plain': plain }
			write(root, 'package-lock.json', { packages })
		},
		fault: /plain is not installed at 1\.1\.0/,
	},
	{ name: 'none', machine: ARM, paths: [], fault: /own|plain/ },
]

for (const { name, machine, paths, change, fault } of CASES)
	test(`install: packages ${name}`, () => {
		const root = mkdtempSync(join(tmpdir(), 'juniperhook-install-'))
		write(root, 'package-lock.json', { packages: PACKAGES })
		const entries = paths.map(path => [path, PACKAGES[path]] as const)
		const packages = Object.fromEntries(entries)
		write(root, 'node_modules/.package-lock.json', { packages })
		for (const path of paths) write(root, `${path}/package.json`, {})
		change?.(root)
		const found = findInstallFault(root, machine)
		if (fault) assert.match(found ?? '', fault)
		else assert.is(found, undefined)
		rmSync(root, { recursive: true, force: true })
	})

test('install: the packages of this project fit this machine', () => {
	assert.is(findInstallFault('.', describeMachine()), undefined)
})

test('install: the lockfile has the same native packages for x86-64 and arm64', () => {
	const lock = JSON.parse(readFileSync('package-lock.json', 'utf8'))
	const packages = lock.packages as Packages
	const listNative = (cpu: string) =>
		Object.entries(packages)
			.filter(
				([, { os, cpu: cpus }]) => os?.[0] === 'linux' && cpus?.[0] === cpu,
			)
			.map(([path, { version }]) => `${path.replace(cpu, 'CPU')}@${version}`)
			.sort()
	assert.ok(listNative('x64').length > 0)
	assert.equal(listNative('x64'), listNative('arm64'))
})

// Guards against a build that needs a package which only a whole installation has.
test('install: the platform declares all that its bundle and its build need', async () => {
	const lock = JSON.parse(readFileSync('package-lock.json', 'utf8'))
	const needed = listNeeded(lock.packages, 'platform')
	const { metafile } = await build({
		...BUNDLE,
		entryPoints: ['platform/src/main.ts'],
		outdir: 'target',
		write: false,
		metafile: true,
	})
	const bundled = Object.values(metafile.outputs)
		.flatMap(({ inputs }) => Object.keys(inputs))
		.map(path => /^.*node_modules\/(@[^/]+\/)?[^/]+/.exec(path)?.[0])
		.filter(path => path !== undefined)
	assert.ok(bundled.length > 0)
	for (const path of [...bundled, 'node_modules/esbuild'])
		assert.ok(needed.has(path), path)
})

// Guards against a process that loads a native addon of another kind of machine.
test('install: the platform bundles load no native addon', async () => {
	const { metafile } = await build({
		...BUNDLE,
		entryPoints: ['platform/src/main.ts'],
		outdir: 'target',
		write: false,
		metafile: true,
	})
	const external = Object.values(metafile.outputs)
		.flatMap(({ imports }) => imports)
		.filter(imported => imported.external)
		.map(({ path }) => path.replace('node:', ''))
	for (const path of external) assert.ok(isBuiltin(path), path)
})

test.run()
