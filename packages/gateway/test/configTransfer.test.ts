/** How a configuration is handed from entry to entry. */

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
/** Entries that are served at a time. */
const SERVED = 4
const MEGABYTE = 1_048_576

let published: PublishedConfig | undefined
let server = createConfigServer()
/** Longest answer so far, as text. */
let longest = 0

const listener = await serveRpc(ADDRESS, {
	configPiece: async (asked: PieceRequest, link: RpcLink) => {
		const piece = await answerPiece(server, published, asked, link)
		longest = Math.max(longest, JSON.stringify(piece).length)
		return piece
	},
})
const links = await Promise.all(
	Array.from({ length: SERVED + 1 }, () => connectRpc(ADDRESS, {})),
)
const [link] = links as [RpcLink]

function publish(text: string): void {
	published = { config: CONFIG, text }
	server = createConfigServer()
	longest = 0
}

const TEXTS = [
	{ says: 'an empty one', text: '' },
	{ says: 'a small one', text: JSON.stringify(CONFIG) },
	{ says: 'letters beyond ASCII', text: 'Hütte ⛷ '.repeat(50_000) },
	{
		says: 'a megabyte that packs badly',
		text: randomBytes(MEGABYTE / 2).toString('hex'),
	},
]

for (const { says, text } of TEXTS)
	test(`transfer: ${says} comes whole, in answers of bounded size`, async () => {
		publish(text)
		const fetched = await fetchConfig(link, VERSION)
		assert.ok(fetched.ok && fetched.text === text)
		assert.ok(longest < 50_000, `${longest} in one answer`)
		assert.is(server.served.size, 0)
	})

test('transfer: another version than the one in force is not handed out', async () => {
	publish('{}')
	const fetched = await fetchConfig(link, VERSION + 1)
	assert.equal(fetched, { ok: false, reason: 'changed' })
	published = undefined
	assert.equal(await fetchConfig(link, VERSION), {
		ok: false,
		reason: 'changed',
	})
})

test('transfer: a few are served at a time, the rest are told at once', async () => {
	publish(randomBytes(MEGABYTE / 8).toString('hex'))
	const last = links.at(-1)!
	const first = { version: VERSION, from: 0 }
	for (const other of links.slice(0, SERVED))
		await other.peer.request('configPiece', first)
	assert.equal(await fetchConfig(last, VERSION), { ok: false, reason: 'busy' })
	assert.ok((await fetchConfig(link, VERSION)).ok, 'who has begun goes on')
	assert.ok((await fetchConfig(last, VERSION)).ok, 'then there is room')
})

test.after(() => {
	listener.close()
	for (const { socket } of links) socket.destroy()
	setImmediate(() => process.exit())
})
test.run()
