/** Tests the transfer of a configuration between entries. */

import { randomBytes } from 'node:crypto'
import type { RpcLink } from '@juniperhook/runtime'
import { connectRpc, serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	answerPiece,
	createConfigServer,
	fetchConfig,
} from '../src/configTransfer.ts'
import type { PieceRequest } from '../src/peerMessages.ts'
import type { PublishedConfig } from '../src/ports.ts'
import { CONFIG } from './fakeBackends.ts'

const ADDRESS = '127.0.0.1:21980'
const VERSION = CONFIG.version
/** Concurrent transfers. */
const MAX_TRANSFERS = 4
const MEGABYTE = 1_048_576

let published: PublishedConfig | undefined
let server = createConfigServer()
/** Length of the longest answer so far, as JSON. */
let longest = 0

const listener = await serveRpc(ADDRESS, {
	configPiece: async (request: PieceRequest, link: RpcLink) => {
		const piece = await answerPiece(server, published, request, link)
		longest = Math.max(longest, JSON.stringify(piece).length)
		return piece
	},
})
const links = await Promise.all(
	Array.from({ length: MAX_TRANSFERS + 1 }, () => connectRpc(ADDRESS, {})),
)
const [link] = links as [RpcLink]

function publish(text: string): void {
	published = { config: CONFIG, text }
	server = createConfigServer()
	longest = 0
}

const TEXTS = [
	{ name: 'an empty text', text: '' },
	{ name: 'a small text', text: JSON.stringify(CONFIG) },
	{ name: 'a text beyond ASCII', text: 'Hütte ⛷ '.repeat(50_000) },
	{
		name: 'a poorly compressible megabyte',
		text: randomBytes(MEGABYTE / 2).toString('hex'),
	},
]

for (const { name, text } of TEXTS)
	test(`transfer: ${name} arrives intact, in answers of bounded size`, async () => {
		publish(text)
		const fetched = await fetchConfig(link, VERSION)
		assert.ok(fetched.ok && fetched.text === text)
		assert.ok(longest < 50_000, `${longest} characters in one answer`)
		assert.is(server.transfers.size, 0)
	})

test('transfer: a version other than the active one is refused', async () => {
	publish('{}')
	const fetched = await fetchConfig(link, VERSION + 1)
	assert.equal(fetched, { ok: false, reason: 'changed' })
	published = undefined
	assert.equal(await fetchConfig(link, VERSION), {
		ok: false,
		reason: 'changed',
	})
})

test('transfer: further requests are refused at once while the maximum is served', async () => {
	publish(randomBytes(MEGABYTE / 8).toString('hex'))
	const last = links.at(-1)!
	const first = { version: VERSION, from: 0 }
	for (const other of links.slice(0, MAX_TRANSFERS))
		await other.peer.request('configPiece', first)
	assert.equal(await fetchConfig(last, VERSION), { ok: false, reason: 'busy' })
	assert.ok(
		(await fetchConfig(link, VERSION)).ok,
		'a transfer in progress continues',
	)
	assert.ok(
		(await fetchConfig(last, VERSION)).ok,
		'a finished transfer admits another',
	)
})

test.after(() => {
	listener.close()
	for (const { socket } of links) socket.destroy()
	setImmediate(() => process.exit())
})
test.run()
