/**
 * A request under which each server ends that runs it: its caller asks again and again,
 * at whatever entry, and what reaches servers of it is judged.
 */

import { Agent } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { openCall, sendCall } from './call.ts'
import { PREFIX_OF } from './config.ts'
import { CONTACT_MS } from './disturbances.ts'
import type { Run } from './types.ts'
import { breakPromise, count, drawBetween, drawOf, sleep } from './types.ts'
import type { World } from './world.ts'

/** Path and body of the request, the same each time. */
export const DEADLY_PATH = `${PREFIX_OF.once}deadly`
const DEADLY_BODY = 'what no server survives'
/** From the beginning of a run until its server ends, ms. */
export const DEADLY_MS = 40
/** Until a server that has ended is there again, ms. */
export const DEADLY_DOWN_MS = 1_500
const PAUSE_MS = [300, 1_500] as const
/** Between looks at which entries run, ms; less than a process takes to start. */
const LOOK_MS = 20
/** Ends under it before it must be known, and sends that are allowed after that. */
const ENDS_KNOWN = 3
const MOST_SENDS = 3

/** Asks until the soak is over. */
export async function runDeadlyCaller(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 2)
	const agent = new Agent({ keepAlive: false })
	for (let at = 0; !world.over; at++) {
		const entry = drawOf(random, world.entries)
		const turn = { world, entry, agent, id: `deadly-${at}`, random }
		const call = openCall(turn, 'once', DEADLY_PATH, 'key-guests', DEADLY_BODY)
		const got = await sendCall(turn, call)
		count(world.record, `deadly requests answered ${got.status}`)
		await sleep(drawBetween(random, ...PAUSE_MS))
	}
}

/** Notes each time at which no entry runs, until the soak is over: nobody is left who knows. */
export async function watchForgetting(world: World): Promise<void> {
	let isForgotten = false
	while (!world.over) {
		const isNobody = world.entries.every(({ child }) => child === undefined)
		if (isNobody && !isForgotten) world.forgotAt.push(performance.now())
		isForgotten = isNobody
		await sleep(LOOK_MS)
	}
}

/**
 * Judges what reached servers after the third end and the contact time. Where
 * no entry had been running none is left that knows: it begins anew.
 */
export function judgeDeadly(world: World): void {
	const { record } = world
	const sends = [...record.asked.values()]
		.filter(({ path }) => path === DEADLY_PATH)
		.flatMap(({ id }) => record.runs.get(id) ?? [])
		.sort((a, b) => a.startedAt - b.startedAt)
	count(record, 'servers that ended under the deadly request', sends.length)
	let since = 0
	const forgotAt = [...world.forgotAt].sort((a, b) => a - b)
	for (const until of [...forgotAt, Number.POSITIVE_INFINITY]) {
		judgeLate(
			world,
			sends.filter(one => one.startedAt >= since && one.startedAt < until),
		)
		since = until
	}
}

function judgeLate({ record }: World, sends: readonly Run[]): void {
	const third = sends[ENDS_KNOWN - 1]
	if (!third) return
	const judgedFrom = third.startedAt + DEADLY_MS + CONTACT_MS
	const late = sends.filter(({ startedAt }) => startedAt > judgedFrom)
	if (late.length > MOST_SENDS)
		breakPromise(record, 'BUDGET', `${late.length} servers run ${late[0]!.id}`)
}
