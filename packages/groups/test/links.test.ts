/**
 * Guards against links that a coordinator leaves open when it stops, when a rank moves, or
 * when it opens two to the same process: a group whose coordinator changes often would
 * use up descriptors and memory.
 */

import type { AddressInfo, Socket } from 'node:net'
import { createServer } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EnginePort } from '../src/index.ts'
import { createGroupReporter, reportGroup } from '../src/index.ts'
import { closeRankClient, openRankClient } from '../src/rankClient.ts'

const IP = '127.21.0.1'
/** Ample time for a connection to close, also on a busy machine, ms. */
const TIMEOUT_MS = 10_000
const POLL_MS = 10

const open = new Set<Socket>()
let accepted = 0
const agent = createServer(socket => {
	accepted++
	open.add(socket)
	socket.on('error', () => {})
	socket.resume()
	socket.on('close', () => open.delete(socket))
})
await new Promise<void>(resolve => agent.listen(0, IP, resolve))
const { port } = agent.address() as AddressInfo

const pause = (ms: number) => new Promise(resolve => setTimeout(resolve, ms))
async function until(condition: () => boolean): Promise<void> {
	const end = performance.now() + TIMEOUT_MS
	while (!condition() && performance.now() < end) await pause(POLL_MS)
}

const CASES = [
	{ name: 'while it connects', isConnected: false },
	{ name: 'once it has connected', isConnected: true },
]

for (const { name, isConnected } of CASES)
	test(`rank client: leaves no link when it is closed ${name}`, async () => {
		accepted = 0
		const member = { rank: 2, engine: `${IP}:9000` }
		const engines = {} as EnginePort
		const client = openRankClient(engines, member, port, false, {})
		if (isConnected) await until(() => client.link !== undefined)
		closeRankClient(client)
		await until(() => accepted > 0 && open.size === 0)
		assert.is(accepted, 1)
		assert.is(open.size, 0)
	})

// Guards against links that no one closes, one for each report while one is opened.
test('group reports: those sent while a link is opened share it', async () => {
	accepted = 0
	const reporter = createGroupReporter([`${IP}:${port}`], () => {})
	for (const maxInFlightPerRank of [4, 5, 6])
		reportGroup(reporter, {
			group: 's/g',
			slowdowns: new Map(),
			maxInFlightPerRank,
			open: true,
		})
	await until(() => reporter.links.size > 0)
	await pause(POLL_MS)
	assert.is(accepted, 1)
	for (const link of reporter.links.values()) link.socket.destroy()
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
