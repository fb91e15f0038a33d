/** News of a group to entries whose links go silent without a reset. */

import type { Methods } from '@juniperhook/runtime'
import { serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPaceTeller, tellPaces } from '../src/index.ts'

const ENTRY = '127.0.0.1:22690'
const GROUP = 's/g'
/** Far beyond what a link takes to be given up, also on a busy machine, ms. */
const LONG_MS = 10_000

const told: unknown[] = []
let links = 0
/** The first link takes what it is sent and never answers. */
const methods: Methods = {
	paces: params => {
		if (links === 1) return new Promise(() => {})
		told.push(params)
		return true
	},
}
const server = await serveRpc(ENTRY, methods, () => {
	links++
})

test('paces: told again on a new link when one goes silent', async () => {
	const reasons: string[] = []
	const teller = createPaceTeller([ENTRY], (_, reason) => reasons.push(reason))
	const status = { group: GROUP, paces: new Map(), allowedHeld: 4.5 }
	const end = performance.now() + LONG_MS
	while (told.length === 0 && performance.now() < end) {
		tellPaces(teller, status)
		await new Promise(resolve => setTimeout(resolve, 50))
	}
	assert.ok(links >= 2, `${links} links`)
	const { by } = teller
	const news = { group: GROUP, by, number: 2, hops: 0, slow: {}, limit: 4.5 }
	assert.equal(told[0], news)
	assert.ok(reasons.length > 0)
	for (const link of teller.links.values()) link.socket.destroy()
	server.close()
})

test.run()
