/**
 * Guards against a build that takes away files which a starting process is about to
 * import, and against builds in one folder that break each other.
 */

import { spawn } from 'node:child_process'
import { once } from 'node:events'
import {
	existsSync,
	mkdtempSync,
	readdirSync,
	rmSync,
	utimesSync,
	writeFileSync,
} from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { publish } from '../publish.mjs'

const PUBLISHING = fileURLToPath(
	new URL('files/publishing.ts', import.meta.url),
)
const PROGRAM = 'main.js'
const ROUNDS = 300
const BUILDERS = 3
const DAY_S = 86_400

const folder = mkdtempSync(join(tmpdir(), 'juniperhook-publish-'))
writeFileSync(join(folder, 'package.json'), '{"type":"module"}')
const target = join(folder, 'target')

/** A program that imports its role once it has read a byte, and the role a chunk. */
const describeProgram = (version: string) => [
	{
		path: PROGRAM,
		contents: `process.stdout.write('read;')
await new Promise(resolve => process.stdin.once('data', resolve))
await import("./role-${version}.js")
process.exit()`,
	},
	{
		path: `role-${version}.js`,
		contents: `import"./chunk-${version}.js"`,
	},
	{
		path: `chunk-${version}.js`,
		contents: `process.stdout.write('version ${version}')`,
	},
]

const names = (...versions: string[]) =>
	[
		...versions.flatMap(version => [
			`chunk-${version}.js`,
			`role-${version}.js`,
		]),
		PROGRAM,
	].sort()

function run(command: readonly string[]) {
	const child = spawn(process.execPath, command, {
		stdio: ['pipe', 'pipe', 'pipe'],
	})
	let output = ''
	for (const stream of [child.stdout, child.stderr])
		stream.on('data', data => {
			output += data
		})
	const ended = once(child, 'close').then(([code]) => ({ code, output }))
	return { child, ended }
}

// Guards against ERR_MODULE_NOT_FOUND in a process that had read the former program.
test('publish: a process that has read the former program finds its files', async () => {
	publish(target, describeProgram('a'), PROGRAM)
	const { child, ended } = run([join(target, PROGRAM)])
	await once(child.stdout, 'data')
	publish(target, describeProgram('b'), PROGRAM)
	child.stdin.write('x')
	assert.equal(await ended, { code: 0, output: 'read;version a' })
})

/** Makes all files of the folder as old as those of yesterday's builds. */
function age(): void {
	const dayAgo = Date.now() / 1_000 - DAY_S
	for (const name of readdirSync(target))
		utimesSync(join(target, name), dayAgo, dayAgo)
}

// Guards against a folder that grows with each build.
test('publish: only the files of the program and the former one stay', () => {
	for (const version of ['c', 'd', 'e', 'e']) {
		age()
		publish(target, describeProgram(version), PROGRAM)
	}
	assert.equal(readdirSync(target).sort(), names('d', 'e'))
	age()
	publish(target, describeProgram('f'), PROGRAM)
	assert.equal(readdirSync(target).sort(), names('e', 'f'))
})

// Guards against a program whose files another build has removed meanwhile.
test('publish: the files of a build that has yet to end stay', () => {
	const other = describeProgram('other').filter(({ path }) => path !== PROGRAM)
	for (const { path, contents } of other)
		writeFileSync(join(target, path), contents)
	publish(target, describeProgram('i'), PROGRAM)
	for (const { path } of other) assert.ok(existsSync(join(target, path)))
	age()
	publish(target, describeProgram('j'), PROGRAM)
	for (const { path } of other) assert.not(existsSync(join(target, path)))
})

// Guards against files of a build that was cut off staying for ever.
test('publish: what a build that was cut off has left goes', () => {
	const left = join(target, 'main.js.1.new')
	writeFileSync(left, '')
	publish(target, describeProgram('g'), PROGRAM)
	assert.ok(existsSync(left), 'another build may be writing it')
	const dayAgo = Date.now() / 1_000 - DAY_S
	utimesSync(left, dayAgo, dayAgo)
	publish(target, describeProgram('h'), PROGRAM)
	assert.not(existsSync(left))
})

// Guards against a build that ends with ENOENT as another one has moved its files.
test('publish: builds in one folder at once all succeed', async () => {
	const shared = join(folder, 'shared')
	const command = ['--import', 'tsx', PUBLISHING, shared, String(ROUNDS)]
	const builders = Array.from({ length: BUILDERS }, () => run(command).ended)
	for (const { code, output } of await Promise.all(builders))
		assert.is(code, 0, output)
	assert.equal(readdirSync(shared).sort(), ['main.js', 'part.js'])
})

test.after(() => rmSync(folder, { recursive: true, force: true }))

test.run()
