/**
 * Tests entries while a load balancer hands most new connections to one of them.
 *
 * Guards against an entry that keeps to the share of the servers that it had while
 * callers were spread evenly: it would refuse callers for whom servers are free.
 */

import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { EngineProfile, ListedServer } from '@juniperhook/core'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import {
	CONFIG,
	callGateway,
	createCatalog,
	ENGINE,
	WIRE,
} from './fakeBackends.ts'
import type { OpenGateway } from './openGateway.ts'
import { CONTACT_MS, openGatewayAt, until } from './openGateway.ts'
import { pause } from './poisonWorld.ts'

const ENTRIES = 4
const SERVERS = 4
const SLOTS = 4
const SERVICE_MS = 100
/** Interval of requests, ms: callers take 5 of 8 slots. */
const INTERVAL_MS = 10
/** Duration of the time with callers at all entries, ms. */
const SPREAD_MS = 2_500
/** Time of it that is not measured, ms: entries have to learn of the demand. */
const WARM_UP_MS = 1_000
/** Duration of the time with most callers at one entry, ms. */
const CONCENTRATED_MS = CONTACT_MS + 2_500
/** One of this many connections still goes to another entry. */
const OTHER_EVERY = 10
/** Minimum share of requests that are served, of that before. */
const MIN_SHARE = 0.75
const TIMEOUT_MS = 2_000

const CASES: readonly {
	name: string
	port: number
	engine: EngineProfile | undefined
}[] = [
	{ name: 'a plain service', port: 24_100, engine: undefined },
	{ name: 'a lock-step group', port: 24_200, engine: ENGINE },
]

interface Fleet {
	readonly entries: OpenGateway[]
	readonly servers: Server[]
}

function answer(req: IncomingMessage, res: ServerResponse): void {
	const id = String(req.headers[WIRE.requestId])
	req.resume()
	setTimeout(() => {
		res.writeHead(200, { [WIRE.requestId]: id, [WIRE.seal]: 'sealed' })
		res.end(`answer to ${id}`)
	}, SERVICE_MS)
}

async function startServer(name: string): Promise<[Server, ListedServer]> {
	const server = createServer(answer)
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const listed: ListedServer = {
		id: name,
		name,
		service: 'plain',
		address: `127.0.0.1:${port}`,
		dataCentre: 'north',
		slots: SLOTS,
		leaving: false,
		coldMs: 0,
	}
	return [server, listed]
}

async function startFleet(
	port: number,
	engine: EngineProfile | undefined,
): Promise<Fleet> {
	const started = await Promise.all(
		Array.from({ length: SERVERS }, (_, at) => startServer(`s${at}`)),
	)
	const services = CONFIG.services.map(one => ({ ...one, engine }))
	const routes = CONFIG.routes.map(one => ({ ...one, timeoutMs: TIMEOUT_MS }))
	const listed = started.map(([, one]) => one)
	const entries: OpenGateway[] = []
	for (let at = 0; at < ENTRIES; at++) {
		const catalog = createCatalog({ ...CONFIG, services, routes }, listed)
		const seeds = [`127.0.0.1:${port + 2}`, `127.0.0.2:${port + 2}`]
		const ip = `127.0.0.${at + 1}`
		entries.push(await openGatewayAt(port, catalog, seeds, ip))
	}
	for (const { ctx } of entries)
		await until(() => ctx.routes !== undefined && ctx.entryCount === ENTRIES)
	return { entries, servers: started.map(([server]) => server) }
}

let nextId = 1

/**
 * Sends requests, each on its own connection, to the entry that `choose` returns for the
 * nth one; returns the share of those served that were sent from `countedMs` on.
 */
async function measureServed(
	{ entries }: Fleet,
	durationMs: number,
	countedMs: number,
	choose: (n: number) => number,
): Promise<number> {
	const startedAt = performance.now()
	const counted: Promise<number>[] = []
	for (let n = 0; performance.now() - startedAt < durationMs; n++) {
		const entry = entries[choose(n) % ENTRIES]!
		const id = `c${nextId++}`
		const headers = { [WIRE.requestId]: id }
		const response = callGateway(entry.callers, '/o/x', headers, 'POST', id)
		if (performance.now() - startedAt >= countedMs)
			counted.push(response.then(({ status }) => status))
		await pause(INTERVAL_MS)
	}
	const statuses = await Promise.all(counted)
	return statuses.filter(status => status === 200).length / statuses.length
}

/** Chooses one entry for most connections and the others in turn for the rest. */
function concentrateAt(entry: number): (n: number) => number {
	return n =>
		n % OTHER_EVERY === 0 ? entry + 1 + ((n / OTHER_EVERY) % 3) : entry
}

for (const { name, port, engine } of CASES)
	test(`most connections go to one entry, then to another: ${name}`, async () => {
		const fleet = await startFleet(port, engine)
		const before = await measureServed(fleet, SPREAD_MS, WARM_UP_MS, n => n)
		assert.ok(before > 0.9, `${before} served before`)
		for (const entry of [0, 2]) {
			const share = await measureServed(
				fleet,
				CONCENTRATED_MS,
				CONTACT_MS,
				concentrateAt(entry),
			)
			assert.ok(share >= MIN_SHARE * before, `entry ${entry}: ${share} served`)
		}
		for (const server of fleet.servers) server.close()
	})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
