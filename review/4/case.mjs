/**
 * All open connections between entries and the store go silent; new ones work. While that
 * lasts, an engine's record is removed without a word of draining. The check is DRAIN.
 */

import { fileURLToPath } from 'node:url'
import { Deployment } from '../stand-ins-2/deployment.mjs'
import { between, sleep } from '../stand-ins-2/tools.mjs'

const HAS_TROUBLE = process.env.TROUBLE !== '0'
const FOLDER = fileURLToPath(new URL('.', import.meta.url))
/** From the silence to the acknowledged removal, ms. */
const REMOVED_AFTER_MS = 1_000
/** How long the engine serves beyond `drain_ms`: "a little longer", ms. */
const SERVES_ON_MS = 700

const service = {
	name: 'depot-app',
	health_path: '/health',
	max_connections: 250,
	protocol: 'h1',
	tls: false,
	cold_start_s: 0,
	cold_per_s: 0,
}
const route = {
	name: 'stock-check',
	hostname: 'members.example',
	path_prefix: '/stock/',
	route_type: 'non_idempotent',
	timeout_ms: 800,
	target_latency_ms: 194,
	priority: 2,
	service: service.name,
	max_attempts: 1,
	allow_anonymous: false,
}
const config = {
	config_version: 5,
	routes: [route],
	services: [service],
	limits: {
		max_header_bytes: 16_384,
		max_body_bytes: 4_194_304,
		header_timeout_ms: 3_000,
		idle_timeout_ms: 15_000,
	},
	tenants: [{ name: 'members', api_keys: ['key-1'], priority: 1 }],
}
const request = {
	method: 'POST',
	host: route.hostname,
	path: route.path_prefix,
	key: 'key-1',
	deadlineMs: 1_500,
	body: 'x'.repeat(600),
}
const engineOptions = { service: service.name, slots: 6, workMs: [60, 300] }

const deployment = new Deployment()
const { contact_ms: contactMs, drain_ms: drainMs } = deployment.bounds
await deployment.start(config)
for (let at = 0; at < 3; at++) await deployment.startEngine(engineOptions)
await deployment.startEntries(3)
deployment.startClients(12, request, () => between(50, 250))
await sleep(6_000)

// A release: the new engine starts first, the old one leaves.
const [leaving] = deployment.engines
await deployment.startEngine(engineOptions)
await sleep(300)
const silentAt = deployment.elapsed()
if (HAS_TROUBLE) {
	let links = 0
	for (const { proxy } of deployment.entries) links += proxy.silenceOpen()
	deployment.note(`${links} open connections to the store go silent`)
}
await sleep(REMOVED_AFTER_MS)
leaving.leaveList()
await sleep(drainMs + SERVES_ON_MS)
leaving.end('served for drain_ms and a little longer')
await sleep(2_500)

// In touch: `contact_ms` have passed since the connections went silent.
const inTouchFrom = silentAt + contactMs
const late = leaving.arrivals.filter(
	({ id, at }) =>
		at > leaving.leftAt + drainMs &&
		deployment.requestOf(id).sentAt >= inTouchFrom,
)
const lost = late.filter(({ id, ran }) => {
	const { status } = deployment.requestOf(id)
	return ran && status !== 200
})
const latest = late.reduce((max, one) => Math.max(max, one.at), 0)
const served = deployment.requests.filter(one => one.status === 200).length
if (served < 100) deployment.cannotRun(`only ${served} requests served`)
await deployment.finish(FOLDER, {
	isBroken: late.length > 0,
	summary: [
		`DRAIN: ${late.length} requests that machines in touch took reached the engine later than ${drainMs} ms after its removal was acknowledged`,
		`the last of them ${late.length > 0 ? Math.round(latest - leaving.leftAt) : 0} ms after it; ${lost.length} of them ran and were cut by its end`,
		`${served} of ${deployment.requests.length} requests served`,
	],
})
