/**
 * A request under which each server ends that runs it: its caller asks again and again,
 * at whatever entry, and what reaches servers of it is judged.
 */

import { Agent } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { prepareCall, sendCall } from './call.ts'
import { PREFIX_OF } from './config.ts'
import { CONTACT_MS } from './trouble.ts'
import type { Run } from './types.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

/** Path and body of the request, the same each time. */
export const POISON_PATH = `${PREFIX_OF.once}deadly`
const POISON_BODY = 'what no server survives'
/** From the beginning of a run until its server ends, ms. */
export const POISON_CRASH_DELAY_MS = 40
/** Until a server that has ended is there again, ms. */
export const POISON_DOWNTIME_MS = 1_500
const PAUSE_MS = [300, 1_500] as const
/** Between looks at which entries run, ms; less than a process takes to start. */
const POLL_INTERVAL_MS = 20
/** Ends under it before it must be known, and sends that are allowed after that. */
const CRASHES_UNTIL_QUARANTINE = 3
const MAX_LATE_SENDS = 3

/** Asks until the soak is over. */
export async function runPoisonCaller(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 2)
	const agent = new Agent({ keepAlive: false })
	for (let at = 0; !world.finished; at++) {
		const entry = randomItem(random, world.entries)
		const turn = { world, entry, agent, id: `deadly-${at}`, random }
		const call = prepareCall(
			turn,
			'once',
			POISON_PATH,
			'key-guests',
			POISON_BODY,
		)
		const answer = await sendCall(turn, call)
		count(world.record, `deadly requests answered ${answer.status}`)
		await sleep(randomBetween(random, ...PAUSE_MS))
	}
}

/** Notes each time at which no entry runs, until the soak is over: nobody is left who knows. */
export async function watchEntryOutages(world: World): Promise<void> {
	let isForgotten = false
	while (!world.finished) {
		const isNobody = world.entries.every(({ child }) => child === undefined)
		if (isNobody && !isForgotten) world.evidenceLostAt.push(performance.now())
		isForgotten = isNobody
		await sleep(POLL_INTERVAL_MS)
	}
}

/**
 * Judges what reached servers after the third end and the contact time. Where
 * no entry had been running none is left that knows: it begins anew.
 */
export function checkPoisonRequest(world: World): void {
	const { record } = world
	const sends = [...record.requests.values()]
		.filter(({ path }) => path === POISON_PATH)
		.flatMap(({ id }) => record.runs.get(id) ?? [])
		.sort((a, b) => a.startedAt - b.startedAt)
	count(record, 'servers that ended under the deadly request', sends.length)
	let since = 0
	const evidenceLostAt = [...world.evidenceLostAt].sort((a, b) => a - b)
	for (const until of [...evidenceLostAt, Number.POSITIVE_INFINITY]) {
		checkLateSends(
			world,
			sends.filter(one => one.startedAt >= since && one.startedAt < until),
		)
		since = until
	}
}

function checkLateSends({ record }: World, sends: readonly Run[]): void {
	const third = sends[CRASHES_UNTIL_QUARANTINE - 1]
	if (!third) return
	const checkedFrom = third.startedAt + POISON_CRASH_DELAY_MS + CONTACT_MS
	const late = sends.filter(({ startedAt }) => startedAt > checkedFrom)
	if (late.length > MAX_LATE_SENDS)
		recordViolation(
			record,
			'BUDGET',
			`${late.length} servers run ${late[0]!.id}`,
		)
}
