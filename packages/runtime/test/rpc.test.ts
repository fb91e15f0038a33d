/** Size limits of lines on connections between processes. */

import { MAX_DOCUMENT_BYTES } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { call, connectRpc, MAX_LINE_BYTES, serveRpc } from '../src/index.ts'

const ADDRESS = '127.0.0.1:21990'
const TIMEOUT_MS = 10_000

const server = await serveRpc(ADDRESS, {
	value: ({ text, good }: { text: string; good: string }) =>
		text.length + good.length,
})

test('rpc: a message can carry two documents of maximum size', async () => {
	const link = await connectRpc(ADDRESS, {}, TIMEOUT_MS)
	// JSON escapes each quote to two bytes.
	const text = '"'.repeat(MAX_DOCUMENT_BYTES)
	const size = await call<number>(
		link,
		'value',
		{ text, good: text },
		TIMEOUT_MS,
	)
	assert.is(size, 2 * MAX_DOCUMENT_BYTES)
	link.socket.destroy()
})

test('rpc: a line that exceeds the maximum length closes the connection', async () => {
	const link = await connectRpc(ADDRESS, {}, TIMEOUT_MS)
	const closed = new Promise(resolve => link.socket.once('close', resolve))
	link.socket.write('x'.repeat(MAX_LINE_BYTES + 1))
	await closed
	assert.ok(link.socket.destroyed)
})

test.after(() => {
	server.close()
	setImmediate(() => process.exit())
})
test.run()
