/** What an entry tells others of backend servers that ended, and what it hears. */

import { computeFingerprint } from '@juniperhook/gateway'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { EntryContext } from '../src/io/entryContext.ts'
import type { Intake } from '../src/io/callerRequest.ts'
import {
	createQuarantineBook,
	createQuarantineMethods,
	noteAnswered,
	quarantinedForMs,
} from '../src/io/quarantine.ts'

const NAMES = ['entry-0', 'entry-1', 'entry-2']
const DEADLY = {
	method: 'POST',
	path: '/x',
	teamName: 'rangers',
	body: Buffer.from('what no server survives'),
} as unknown as Intake
const OTHER = { ...DEADLY, body: Buffer.from('what all servers survive') }

interface Sent {
	readonly to: string
	readonly method: string
}

/** An entry whose links note what is sent on them. */
function createEntry() {
	const sent: Sent[] = []
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
		keepers: { names: NAMES },
		quarantined: createQuarantineBook(),
		follower: () => ({ links, settings, vms: [] }),
	} as unknown as EntryContext
	return { ctx, sent, methods: createQuarantineMethods(() => ctx) }
}

function endOf(server: string, agoMs: number) {
	const { method, path, teamName, body } = DEADLY
	const team = { name: teamName }
	const fingerprint = computeFingerprint({ method, path, team, body })
	return { server, agoMs, ran: { [fingerprint]: 20 } }
}

type Call = (params: unknown) => unknown

/** Ends under one request, far enough apart to count each. */
const ENDS = [endOf('a', 30_000), endOf('b', 20_000), endOf('c', 10_000)]

async function settle(): Promise<void> {
	await new Promise(resolve => setImmediate(resolve))
}

test('what an agent tells goes to all other entries', async () => {
	const { sent, methods } = createEntry()
	await (methods.serverEnd as Call)(ENDS[0])
	await settle()
	const told = ['entry-1', 'entry-2'].map(to => ({ to, method: 'endNews' }))
	assert.equal(sent, told)
	await (methods.serverEnd as Call)(ENDS[0])
	await settle()
	assert.is(sent.length, told.length, 'told once')
})

test('what an entry tells is believed and not passed on', async () => {
	const { ctx, sent, methods } = createEntry()
	await (methods.endNews as Call)({ ends: ENDS, served: [] })
	await settle()
	assert.equal(sent, [])
	assert.ok(quarantinedForMs(ctx, DEADLY) > 0)
	assert.is(quarantinedForMs(ctx, OTHER), 0)
	assert.is(ctx.quarantined.quarantine.crashes.size, 3)
})

test('a request that is answered whole is taken back, everywhere', async () => {
	const { ctx, sent, methods } = createEntry()
	await (methods.endNews as Call)({ ends: ENDS.slice(0, 2), served: [] })
	noteAnswered(ctx, DEADLY)
	await settle()
	assert.is(sent.length, 2)
	await (methods.endNews as Call)({ ends: [ENDS[2]], served: [] })
	assert.is(quarantinedForMs(ctx, DEADLY), 0)
})

test('rubbish is refused and changes nothing', () => {
	const { ctx, methods } = createEntry()
	for (const params of [undefined, {}, { server: 1 }, { ends: 'all' }]) {
		assert.throws(() => (methods.serverEnd as Call)(params))
		assert.throws(() => (methods.endNews as Call)(params))
	}
	assert.is(ctx.quarantined.quarantine.crashes.size, 0)
})

test.run()
