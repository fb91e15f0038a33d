/**
 * Guards against processes that end because of what others send them, in the product's
 * own mode: the platform, other processes, callers and operators, each without end.
 */

import { fileURLToPath } from 'node:url'
import {
	closeDaemonWorld,
	createDaemonWorld,
	floodListener,
	listRequestFloods,
	MESSAGE_FLOODS,
	PORTS,
	pause,
	RESPONSE_FLOODS,
	readPeakMb,
	sendGet,
	spawnDaemon,
	startFloodServer,
	writeSettings,
} from '@juniperhook/fakes'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

const bundle = (path: string) =>
	fileURLToPath(new URL(`../../${path}`, import.meta.url))
const HEAP = '--max-old-space-size=64'
const COMMANDS = {
	entry: [process.execPath, HEAP, bundle('entry/dist/bin.js'), 'entry'],
	agent: [process.execPath, HEAP, bundle('agent/dist/bin.js')],
} as const
type Kind = keyof typeof COMMANDS
const KINDS: readonly Kind[] = ['entry', 'agent']
const AT_ONCE = 4
const FLOOD_MS = 1_200
const MAX_MB = 250
/** Connections that a process may have open to the platform. */
const MAX_OPEN = 4

const world = createDaemonWorld()
const peaks = { entry: 0, agent: 0 }
let hosts = 0

async function start(kind: Kind, platform?: string) {
	hosts++
	const ip = `127.77.0.${hosts}`
	const settings = `[process]
name = process-${hosts}
dataCentre = north
[listen]
data = ${ip}:${PORTS.data}
control = ${ip}:${PORTS.control}
operators = ${ip}:${PORTS.operators}
[platform]
service = ${platform ?? `${ip}:1`}
[log]
level = info
`
	const path = writeSettings(world, ip, settings)
	const daemon = spawnDaemon(world, [...COMMANDS[kind], path])
	await daemon.wrote(`${kind} listens`)
	const assertSound = async () => {
		assert.is(daemon.exited(), undefined)
		const peak = Math.round(readPeakMb(daemon))
		assert.ok(peak < MAX_MB, `${peak} MB`)
		peaks[kind] = Math.max(peaks[kind], peak)
		const { status } = await sendGet(`${ip}:${PORTS.operators}`, '/healthz')
		assert.is(status, 200)
		daemon.child.kill('SIGKILL')
	}
	return { ip, assertSound }
}

for (const kind of KINDS)
	for (const flood of RESPONSE_FLOODS)
		test(`floods: an ${kind} survives a platform that sends without end: ${flood.name}`, async () => {
			const flooded = await startFloodServer('127.0.0.1:1')
			flooded.flood = flood
			const { assertSound } = await start(kind, flooded.address)
			await pause(FLOOD_MS)
			assert.ok(flooded.open.size <= MAX_OPEN, `${flooded.open.size} open`)
			await assertSound()
			for (const socket of flooded.open) socket.destroy()
		})

for (const kind of KINDS)
	for (const flood of MESSAGE_FLOODS)
		test(`floods: an ${kind} survives processes that send without end: ${flood.name}`, async () => {
			const { ip, assertSound } = await start(kind)
			await floodListener(ip, PORTS.control, flood, AT_ONCE, FLOOD_MS)
			await assertSound()
		})

const REQUEST = 'POST /offer HTTP/1.1\r\nHost: h\r\n'

for (const kind of KINDS)
	for (const what of ['data', 'operators'] as const)
		for (const flood of listRequestFloods(REQUEST))
			test(`floods: an ${kind} survives clients of its listener for ${what} that send without end: ${flood.name}`, async () => {
				const { ip, assertSound } = await start(kind)
				await floodListener(ip, PORTS[what], flood, AT_ONCE, FLOOD_MS)
				await assertSound()
			})

test.after(async () => {
	const { entry, agent } = peaks
	process.stdout.write(`peak of an entry ${entry} MB, an agent ${agent} MB\n`)
	await closeDaemonWorld(world)
	setImmediate(() => process.exit())
})

test.run()
