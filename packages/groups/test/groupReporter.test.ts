/** News of a group to entries whose links go silent without a reset. */

import type { Methods } from '@juniperhook/runtime'
import { serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createPaceTeller, tellPaces } from '../src/index.ts'

const ENTRY = '127.0.0.1:22690'
const GROUP = 's/g'
const STATUS = { group: GROUP, paces: new Map(), open: true }
/** Far beyond what a link takes to be given up, also on a busy machine, ms. */
const LONG_MS = 10_000

const told: unknown[] = []
let links = 0
/** The first link takes what it is sent and never answers. */
const methods: Methods = {
	paces: params => {
		if (links === 1) return new Promise(() => {})
		told.push(params)
		return []
	},
}
const server = await serveRpc(ENTRY, methods, () => {
	links++
})

test('paces: told again on a new link when one goes silent', async () => {
	const reasons: string[] = []
	const teller = createPaceTeller([ENTRY], (_, reason) => reasons.push(reason))
	const status = { ...STATUS, allowedHeld: 4.5 }
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

const NAMED = ['127.0.0.81:22691', '127.0.0.82:22691', '127.0.0.83:22691']
const OTHERS = ['127.0.0.84:22691', '127.0.0.85:22691']

test('paces: when those named at the start are gone, others are told', async () => {
	const heard = new Set<string>()
	const serve = (address: string, others: readonly string[]) =>
		serveRpc(address, {
			paces: () => {
				heard.add(address)
				return others
			},
		})
	const first = await serve(NAMED[0]!, [OTHERS[0]!])
	const rest = [await serve(OTHERS[0]!, [OTHERS[1]!])]
	rest.push(await serve(OTHERS[1]!, []))
	const teller = createPaceTeller(NAMED, () => {})
	let limit = 4
	const tellUntil = async (isTold: () => boolean) => {
		const end = performance.now() + LONG_MS
		while (!isTold() && performance.now() < end) {
			limit += 0.25
			tellPaces(teller, { ...STATUS, allowedHeld: limit })
			await new Promise(resolve => setTimeout(resolve, 20))
		}
		assert.ok(isTold(), [...heard].join())
	}
	// Its answer, which names others, is read some time after it was told.
	const knowsOther = () => teller.entries.includes(OTHERS[0]!)
	await tellUntil(() => heard.has(NAMED[0]!) && knowsOther())
	first.close()
	for (const link of teller.links.values()) link.socket.destroy()
	heard.clear()
	await tellUntil(() => heard.has(OTHERS[1]!))
	for (const link of teller.links.values()) link.socket.destroy()
	for (const one of rest) one.close()
})

test('paces: a group that breaks or runs again is told at once', async () => {
	const news: object[] = []
	const entry = '127.0.0.86:22691'
	const server = await serveRpc(entry, {
		paces: params => {
			news.push(params)
			return []
		},
	})
	const teller = createPaceTeller([entry], () => {})
	const end = performance.now() + LONG_MS
	for (const open of [true, false, false, true]) {
		tellPaces(teller, { ...STATUS, allowedHeld: undefined, open })
		while (!open && news.length < 1 && performance.now() < end)
			await new Promise(resolve => setTimeout(resolve, 10))
	}
	while (news.length < 2 && performance.now() < end)
		await new Promise(resolve => setTimeout(resolve, 10))
	const { by } = teller
	const rest = { group: GROUP, by, hops: 0, slow: {} }
	assert.equal(news, [
		{ ...rest, number: 1, broken: true },
		{ ...rest, number: 2 },
	])
	for (const link of teller.links.values()) link.socket.destroy()
	server.close()
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
