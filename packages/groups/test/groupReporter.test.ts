/** Group reports to entries whose links fail without a reset. */

import type { Methods } from '@juniperhook/runtime'
import { serveRpc } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createGroupReporter, reportGroup } from '../src/index.ts'

const ENTRY = '127.0.0.1:22690'
const GROUP = 's/g'
const STATUS = { group: GROUP, slowdowns: new Map(), open: true }
/** Timeout, far above that of a link even on a busy machine, ms. */
const TIMEOUT_MS = 10_000

const reports: unknown[] = []
let links = 0
/** The server never answers over the first link. */
const methods: Methods = {
	paces: params => {
		if (links === 1) return new Promise(() => {})
		reports.push(params)
		return []
	},
}
const server = await serveRpc(ENTRY, methods, () => {
	links++
})

test('group reports: repeated over a new link when one stops answering', async () => {
	const reasons: string[] = []
	const reporter = createGroupReporter([ENTRY], (_, reason) =>
		reasons.push(reason),
	)
	const status = { ...STATUS, maxInFlightPerRank: 4.5 }
	const end = performance.now() + TIMEOUT_MS
	while (reports.length === 0 && performance.now() < end) {
		reportGroup(reporter, status)
		await new Promise(resolve => setTimeout(resolve, 50))
	}
	assert.ok(links >= 2, `${links} links`)
	const { by } = reporter
	const report = { group: GROUP, by, number: 2, hops: 0, slow: {}, limit: 4.5 }
	assert.equal(reports[0], report)
	assert.ok(reasons.length > 0)
	for (const link of reporter.links.values()) link.socket.destroy()
	server.close()
})

const CONFIGURED = ['127.0.0.81:22691', '127.0.0.82:22691', '127.0.0.83:22691']
const OTHERS = ['127.0.0.84:22691', '127.0.0.85:22691']

test('group reports: sent to other entries when the configured ones are gone', async () => {
	const reached = new Set<string>()
	const serve = (address: string, others: readonly string[]) =>
		serveRpc(address, {
			paces: () => {
				reached.add(address)
				return others
			},
		})
	const first = await serve(CONFIGURED[0]!, [OTHERS[0]!])
	const rest = [await serve(OTHERS[0]!, [OTHERS[1]!])]
	rest.push(await serve(OTHERS[1]!, []))
	const reporter = createGroupReporter(CONFIGURED, () => {})
	let limit = 4
	const reportUntil = async (condition: () => boolean) => {
		const end = performance.now() + TIMEOUT_MS
		while (!condition() && performance.now() < end) {
			limit += 0.25
			reportGroup(reporter, { ...STATUS, maxInFlightPerRank: limit })
			await new Promise(resolve => setTimeout(resolve, 20))
		}
		assert.ok(condition(), [...reached].join())
	}
	// The answer with another entry is read some time after the report.
	const knowsOther = () => reporter.entries.includes(OTHERS[0]!)
	await reportUntil(() => reached.has(CONFIGURED[0]!) && knowsOther())
	first.close()
	for (const link of reporter.links.values()) link.socket.destroy()
	reached.clear()
	await reportUntil(() => reached.has(OTHERS[1]!))
	for (const link of reporter.links.values()) link.socket.destroy()
	for (const one of rest) one.close()
})

test('group reports: sent at once when a group breaks or runs again', async () => {
	const received: object[] = []
	const entry = '127.0.0.86:22691'
	const server = await serveRpc(entry, {
		paces: params => {
			received.push(params)
			return []
		},
	})
	const reporter = createGroupReporter([entry], () => {})
	const end = performance.now() + TIMEOUT_MS
	for (const open of [true, false, false, true]) {
		reportGroup(reporter, { ...STATUS, maxInFlightPerRank: undefined, open })
		while (!open && received.length < 1 && performance.now() < end)
			await new Promise(resolve => setTimeout(resolve, 10))
	}
	while (received.length < 2 && performance.now() < end)
		await new Promise(resolve => setTimeout(resolve, 10))
	const { by } = reporter
	const rest = { group: GROUP, by, hops: 0, slow: {} }
	assert.equal(received, [
		{ ...rest, number: 1, broken: true },
		{ ...rest, number: 2 },
	])
	for (const link of reporter.links.values()) link.socket.destroy()
	server.close()
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
