/**
 * Guards against an entry that is alive and ready but does none of its periodic work,
 * because one part of it throws each time.
 */

import { connect } from 'node:net'
import { splitAddress } from '@juniperhook/core'
import { pause } from '@juniperhook/fakes'
import { surviveFaults } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { GatewayContext } from '../src/index.ts'
import {
	CONFIG,
	callGateway,
	createCatalog,
	startBackends,
	WIRE,
} from './fakeBackends.ts'
import { createOpener, until } from './openGateway.ts'

// As a process does; a step that throws must be seen by its effects only.
surviveFaults(() => {})
const backends = await startBackends(1)
const openGateway = createOpener(28_400, backends.listed)
/** Longer than a step may fail until the entry is no longer ready, ms. */
const FAILING_MS = 1_300

async function open() {
	const config = {
		...CONFIG,
		limits: { ...CONFIG.limits, headerTimeoutMs: 300 },
	}
	return openGateway(createCatalog(config, backends.listed))
}

/** State at which a step throws each time. */
const POISONS: { step: string; poison(ctx: GatewayContext): void }[] = [
	{
		step: 'suspension',
		poison: ({ suspension }) =>
			Object.defineProperty(suspension, 'observedMs', { get: throwAlways }),
	},
	{
		step: 'rate limits',
		poison: ({ rateLimits }) => rateLimits.set('x', undefined as never),
	},
	{
		step: 'backoffs',
		poison: ({ backoffs }) => backoffs.set('x', undefined as never),
	},
	{
		step: 'overdue requests',
		poison: ({ requestsBeingRead }) =>
			requestsBeingRead.add({ timeoutAt: 0, refuse: throwAlways }),
	},
]

function throwAlways(): never {
	throw new Error('state that no step can handle')
}

/** Sends a head whose body never comes, and returns what the entry answers. */
function sendWithoutBody(address: string): Promise<string> {
	const { ip, port } = splitAddress(address)
	return new Promise(resolve => {
		const socket = connect(port, ip)
		let text = ''
		socket.on('data', data => {
			text += data
		})
		socket.on('error', () => {})
		socket.on('close', () => resolve(text))
		socket.write(
			'POST /r/x HTTP/1.1\r\nHost: huts.example\r\nX-Id: a\r\nAuthorization: Key key-1\r\nContent-Length: 10\r\n\r\n1',
		)
	})
}

async function isReady(address: string): Promise<boolean> {
	return (await callGateway(address, '/')).status === 200
}

// Limits, queues and timeouts come after the step that fails.
for (const { step, poison } of POISONS)
	test(`steps: while "${step}" fails, overdue requests are refused and others served`, async () => {
		const gateway = await open()
		poison(gateway.ctx)
		const answer = await Promise.race([
			sendWithoutBody(gateway.callers),
			pause(5_000),
		])
		assert.match(String(answer), / 408 /)
		const { status } = await callGateway(gateway.callers, '/r/x', {
			[WIRE.requestId]: 'b',
		})
		assert.is(status, 200)
		assert.ok(await isReady(gateway.readiness))
	})

// An entry whose queues are never served must not attract requests.
test('steps: while queues cannot be served, an entry is not ready', async () => {
	const gateway = await open()
	await until(() => gateway.ctx.isListening)
	assert.ok(await isReady(gateway.readiness))
	const { queues } = gateway.ctx.fleet
	queues.set(
		'bad',
		Object.defineProperty({}, 'waiting', { get: throwAlways }) as never,
	)
	await pause(FAILING_MS)
	assert.not(await isReady(gateway.readiness))
	queues.delete('bad')
	let isReadyAgain = false
	for (let check = 0; check < 40 && !isReadyAgain; check++) {
		await pause(100)
		isReadyAgain = await isReady(gateway.readiness)
	}
	assert.ok(isReadyAgain)
})

test.after(() => {
	process.exitCode ??= 0
	setImmediate(() => process.exit())
})

test.run()
