/**
 * Entries that are stopped one after the other, also two at a time and with repeated
 * signals, while callers send long streams on open connections and faulty servers forge
 * answers: without a seal, or with that of another request.
 */

import type { ServerResponse } from 'node:http'
import { Agent } from 'node:http'
import type { Random } from '@juniperhook/core'
import { createRandom } from '@juniperhook/core'
import { WIRE } from '../../platform/src/index.ts'
import { sendAndCheck } from './callers.ts'
import { stopProcess } from './processes.ts'
import { LONG_STREAM } from './servers.ts'
import type { Run } from './types.ts'
import { count, randomBetween, randomItem, sleep } from './types.ts'
import type { World } from './world.ts'

/** Range of times between stops, ms. */
const STOP_GAP_MS = [1_200, 4_000] as const
/** Range of times between repeated signals, ms, and their maximum number. */
const SIGNAL_GAP_MS = [20, 1_500] as const
const MAX_SIGNALS = 3
const LONG_CALLERS = 4
/** Ratio of answers that a server forges, and the range of its spells, ms. */
const FORGED_RATIO = 0.15
const SPELL_MS = [500, 3_000] as const
const FOREIGN_EVENT = 'id: 99\ndata: of no request\n\n'

/** Stops entries repeatedly until the time without faults begins. */
export async function injectStops(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 6)
	while (!world.faultsEnded) {
		await sleep(randomBetween(random, ...STOP_GAP_MS))
		const running = world.entries.filter(
			({ child, stopRequestedAt }) => child && stopRequestedAt === undefined,
		)
		// One entry is left for the callers that are refused.
		if (world.faultsEnded || running.length < 2) continue
		const entry = randomItem(random, running)
		const { child } = entry
		stopProcess(world.record, entry)
		for (let signal = Math.floor(random() * MAX_SIGNALS); signal > 0; signal--)
			setTimeout(
				() => child?.kill('SIGTERM'),
				randomBetween(random, ...SIGNAL_GAP_MS),
			)
	}
}

/** Lets one server after the other forge answers, until the time without faults begins. */
export async function injectForgeries(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 7)
	while (!world.faultsEnded) {
		const forger = randomItem(random, world.servers.all)
		world.servers.forge = (backend, run, res) =>
			backend === forger && forgeAnswer(world, random, run, res)
		await sleep(randomBetween(random, ...SPELL_MS))
	}
	world.servers.forge = () => false
}

function forgeAnswer(
	{ record }: World,
	random: Random,
	{ id }: Run,
	res: ServerResponse,
): boolean {
	if (random() >= FORGED_RATIO) return false
	count(record, 'answers forged')
	record.brokenOff.add(id)
	const proofs: Record<string, string>[] = [
		{},
		{ [WIRE.requestId]: id },
		{ [WIRE.requestId]: id, [WIRE.seal]: '' },
		{ [WIRE.requestId]: 'other', [WIRE.seal]: 'seal' },
		{ [WIRE.seal]: 'seal' },
	]
	const isStream = random() < 0.7
	for (const name of res.getHeaderNames()) res.removeHeader(name)
	res.writeHead(200, {
		...randomItem(random, proofs),
		...(isStream && { 'Content-Type': 'text/event-stream' }),
	})
	res.end(isStream ? FOREIGN_EVENT : 'of no request')
	return true
}

/** Runs callers that send long streams, each on an open connection where there is one. */
export async function runLongCallers(world: World): Promise<void> {
	const callers = Array.from({ length: LONG_CALLERS }, (_, caller) =>
		runLongCaller(world, caller),
	)
	await Promise.all(callers)
}

async function runLongCaller(world: World, caller: number): Promise<void> {
	const random = createRandom(world.options.seed * 1_000 + 500 + caller)
	let entry = randomItem(random, world.entries)
	let agent = new Agent({ keepAlive: true, maxSockets: 1 })
	for (let number = 0; !world.finished; number++) {
		const id = `${LONG_STREAM.mark}${caller}-${number}`
		const context = { world, entry, agent, id, random }
		const answer = await sendAndCheck(context, 'stream')
		if (answer.status === 200 && answer.complete) continue
		agent.destroy()
		agent = new Agent({ keepAlive: true, maxSockets: 1 })
		entry = randomItem(random, world.entries)
		await sleep(random() * 100)
	}
	agent.destroy()
}
