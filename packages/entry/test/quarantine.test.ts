/** Exchange of crash evidence between an entry, its agents and the other entries. */

import { computeFingerprint } from '@juniperhook/gateway'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CallerRequest } from '../src/io/callerRequest.ts'
import type { EntryContext } from '../src/io/entryContext.ts'
import {
	createQuarantineGate,
	createQuarantineMethods,
	quarantinedForMs,
	recordAnswered,
} from '../src/io/quarantine.ts'

const NAMES = ['entry-0', 'entry-1', 'entry-2']
const POISON = {
	method: 'POST',
	path: '/x',
	teamName: 'rangers',
	body: Buffer.from('what no server survives'),
} as unknown as CallerRequest
const OTHER = { ...POISON, body: Buffer.from('what all servers survive') }

interface SentMessage {
	readonly to: string
	readonly method: string
}

/** Creates an entry whose links record the messages sent. */
function createEntry() {
	const sent: SentMessage[] = []
	const links = new Map(
		NAMES.map(to => {
			const peer = { notify: (method: string) => sent.push({ to, method }) }
			return [to, { link: { socket: { destroyed: false }, peer }, usedAt: 0 }]
		}),
	)
	const settings = {
		process: { name: NAMES[0] },
		listen: { control: '127.0.0.1:1' },
	}
	const ctx = {
		name: NAMES[0],
		liveEntries: { names: NAMES },
		quarantineGate: createQuarantineGate(),
		follower: () => ({ links, settings, vms: [] }),
	} as unknown as EntryContext
	return { ctx, sent, methods: createQuarantineMethods(() => ctx) }
}

function crashOf(server: string, agoMs: number) {
	const { method, path, teamName, body } = POISON
	const team = { name: teamName }
	const fingerprint = computeFingerprint({ method, path, team, body })
	return { server, agoMs, ran: { [fingerprint]: 20 } }
}

type Call = (params: unknown) => unknown

/** Crashes under one request, far enough apart to be uncorrelated. */
const CRASHES = [
	crashOf('a', 30_000),
	crashOf('b', 20_000),
	crashOf('c', 10_000),
]

async function settle(): Promise<void> {
	await new Promise(resolve => setImmediate(resolve))
}

test('evidence from an agent is sent to all other entries once', async () => {
	const { sent, methods } = createEntry()
	await (methods.serverEnd as Call)(CRASHES[0])
	await settle()
	const expected = ['entry-1', 'entry-2'].map(to => ({ to, method: 'endNews' }))
	assert.equal(sent, expected)
	await (methods.serverEnd as Call)(CRASHES[0])
	await settle()
	assert.is(sent.length, expected.length, 'sent once')
})

test('evidence from an entry is merged and not forwarded', async () => {
	const { ctx, sent, methods } = createEntry()
	await (methods.endNews as Call)({ ends: CRASHES, served: [] })
	await settle()
	assert.equal(sent, [])
	assert.ok(quarantinedForMs(ctx, POISON) > 0)
	assert.is(quarantinedForMs(ctx, OTHER), 0)
	assert.is(ctx.quarantineGate.quarantine.crashes.size, 3)
})

test('a complete answer clears a request of suspicion, at all entries', async () => {
	const { ctx, sent, methods } = createEntry()
	await (methods.endNews as Call)({ ends: CRASHES.slice(0, 2), served: [] })
	recordAnswered(ctx, POISON)
	await settle()
	assert.is(sent.length, 2)
	await (methods.endNews as Call)({ ends: [CRASHES[2]], served: [] })
	assert.is(quarantinedForMs(ctx, POISON), 0)
})

test('invalid evidence is rejected and changes nothing', () => {
	const { ctx, methods } = createEntry()
	for (const params of [undefined, {}, { server: 1 }, { ends: 'all' }]) {
		assert.throws(() => (methods.serverEnd as Call)(params))
		assert.throws(() => (methods.endNews as Call)(params))
	}
	assert.is(ctx.quarantineGate.quarantine.crashes.size, 0)
})

test.run()
