/**
 * Guards against processes that end by themselves in the product's own mode: each waits
 * for what its start lacks, says so, is not ready meanwhile, and goes on by itself.
 */

import { unlinkSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import type { Daemon } from '@juniperhook/fakes'
import {
	awaitExit,
	closeDaemonWorld,
	createDaemonWorld,
	freeAddress,
	handlesSighup,
	occupyAddress,
	PORTS,
	pause,
	sendGet,
	settingsPath,
	spawnDaemon,
	waitUntil,
	writeSettings,
} from '@juniperhook/fakes'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const bundle = (path: string) =>
	fileURLToPath(new URL(`../../${path}`, import.meta.url))
const COMMANDS = {
	entry: [process.execPath, bundle('entry/dist/bin.js'), 'entry'],
	agent: [process.execPath, bundle('agent/dist/bin.js')],
} as const
type Kind = keyof typeof COMMANDS
const KINDS: readonly Kind[] = ['entry', 'agent']
const SIGNAL_INTERVAL_MS = 2

const world = createDaemonWorld()
let hosts = 0

function nextIp(): string {
	hosts++
	return `127.75.0.${hosts}`
}

function settingsText(ip: string): string {
	return `[process]
name = process-${hosts}
dataCentre = north
[listen]
data = ${ip}:${PORTS.data}
control = ${ip}:${PORTS.control}
operators = ${ip}:${PORTS.operators}
[platform]
service = ${ip}:1
[log]
level = info
`
}

function start(kind: Kind, path: string): Daemon {
	return spawnDaemon(world, [...COMMANDS[kind], path])
}

async function readOperators(ip: string, path: string) {
	return await sendGet(`${ip}:${PORTS.operators}`, path)
}

const NEEDS = ['data', 'control', 'operators'] as const

for (const kind of KINDS)
	for (const need of NEEDS)
		test(`start: an ${kind} waits for its address for ${need}, which is in use`, async () => {
			const ip = nextIp()
			const holder = await occupyAddress(ip, PORTS[need])
			const path = writeSettings(world, ip, settingsText(ip))
			const daemon = start(kind, path)
			await daemon.wrote('"msg":"waiting"')
			assert.match(daemon.output(), `${ip}:${PORTS[need]}: EADDRINUSE`)
			assert.not.match(daemon.output(), 'listens')
			if (need !== 'operators') {
				const line = `juniperhook_waiting{need="${need}"} 1`
				await waitUntil(
					async () => (await readOperators(ip, '/metrics')).body.includes(line),
					line,
				)
				assert.is((await readOperators(ip, '/readyz')).status, 503)
			}
			await freeAddress(holder)
			await daemon.wrote(`${kind} listens`)
			assert.match(daemon.output(), '"msg":"wait ended"')
			assert.is((await readOperators(ip, '/healthz')).status, 200)
			assert.is(daemon.exited(), undefined)
		})

for (const kind of KINDS)
	test(`start: an ${kind} that starts beside its stopping predecessor takes over`, async () => {
		const ip = nextIp()
		const path = writeSettings(world, ip, settingsText(ip))
		const predecessor = start(kind, path)
		await predecessor.wrote(`${kind} listens`)
		predecessor.child.kill('SIGTERM')
		const successor = start(kind, path)
		await successor.wrote(`${kind} listens`)
		assert.is(await awaitExit(predecessor), 'code 0')
		assert.is(successor.exited(), undefined)
	})

for (const kind of KINDS)
	test(`start: an ${kind} that waits for an address stops on SIGTERM`, async () => {
		const ip = nextIp()
		const holder = await occupyAddress(ip, PORTS.data)
		const path = writeSettings(world, ip, settingsText(ip))
		const daemon = start(kind, path)
		await daemon.wrote('"msg":"waiting"')
		daemon.child.kill('SIGTERM')
		assert.is(await awaitExit(daemon), 'code 0')
		await freeAddress(holder)
	})

const UNREADABLE = [
	{ name: 'missing', text: undefined, reason: 'ENOENT' },
	{ name: 'empty', text: '', reason: 'process' },
	{ name: 'cut off', text: '[process]\nname = x\ndata', reason: 'expected' },
]

for (const kind of KINDS)
	for (const { name, text, reason } of UNREADABLE)
		test(`start: an ${kind} waits for its settings file, which is ${name}`, async () => {
			const ip = nextIp()
			const path = settingsPath(world, ip)
			if (text !== undefined) writeSettings(world, ip, text)
			const daemon = start(kind, path)
			await daemon.wrote('"msg":"waiting"')
			assert.match(daemon.output(), reason)
			daemon.child.kill('SIGHUP')
			writeSettings(world, ip, settingsText(ip))
			await daemon.wrote(`${kind} listens`)
			assert.is(daemon.exited(), undefined)
		})

for (const kind of KINDS)
	test(`signals: SIGHUP does not end an ${kind}, whose settings file may be away`, async () => {
		const ip = nextIp()
		const path = writeSettings(world, ip, settingsText(ip))
		const daemon = start(kind, path)
		await waitUntil(() => handlesSighup(daemon.child.pid!), 'the handler')
		const { child } = daemon
		const timer = setInterval(() => child.kill('SIGHUP'), SIGNAL_INTERVAL_MS)
		await daemon.wrote(`${kind} listens`)
		unlinkSync(path)
		await pause(50 * SIGNAL_INTERVAL_MS)
		clearInterval(timer)
		assert.match(daemon.output(), 'settings are read at the start only')
		assert.is(daemon.exited(), undefined)
	})

test.after(async () => {
	await closeDaemonWorld(world)
	setImmediate(() => process.exit())
})

test.run()
