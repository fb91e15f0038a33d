/**
 * A poison request: each server that runs it crashes. Its caller sends it repeatedly to
 * random entries; the check limits how often it may reach servers after it has crashed
 * several of them.
 */

import { Agent } from 'node:http'
import { createRandom } from '@juniperhook/core'
import { prepareCall, sendCall } from './call.ts'
import { PREFIX_OF } from './config.ts'
import { CONTACT_MS } from './disturbances.ts'
import type { Run } from './types.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

/** Path and body of the poison request, the same each time. */
export const POISON_PATH = `${PREFIX_OF.once}deadly`
const POISON_BODY = 'what no server survives'
/** Time from the start of a run to the crash of its server, ms. */
export const POISON_CRASH_DELAY_MS = 40
/** Time until a crashed server is restarted, ms. */
export const POISON_DOWNTIME_MS = 1_500
/** Range of pauses between two sends of the poison request, ms. */
const PAUSE_MS = [300, 1_500] as const
/** Interval of checks whether any entry runs, ms; shorter than the start of a process. */
const POLL_INTERVAL_MS = 20
/** How often a poison subject may reach servers. */
export interface SendLimit {
	/** Crashes after which it must be quarantined. */
	readonly crashes: number
	/** Sends from the contact time after the last of these crashes on. */
	readonly lateSends: number
}
const LIMIT: SendLimit = { crashes: 3, lateSends: 3 }

/** Sends the poison request until the soak ends. */
export async function runPoisonCaller(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 2)
	const agent = new Agent({ keepAlive: false })
	for (let number = 0; !world.finished; number++) {
		const entry = randomItem(random, world.entries)
		const context = { world, entry, agent, id: `deadly-${number}`, random }
		const call = prepareCall(context, 'once', POISON_PATH, 'key-guests', {
			body: POISON_BODY,
		})
		const answer = await sendCall(context, call)
		count(world.record, `poison requests answered ${answer.status}`)
		await sleep(randomBetween(random, ...PAUSE_MS))
	}
}

/**
 * Records, until the soak ends, each time at which the last running entry has ended: the
 * evidence of crashes is lost then, as entries keep it in memory.
 */
export async function watchEntryOutages(world: World): Promise<void> {
	let isLost = false
	while (!world.finished) {
		const noneRuns = world.entries.every(({ child }) => child === undefined)
		if (noneRuns && !isLost) world.evidenceLostAt.push(performance.now())
		isLost = noneRuns
		await sleep(POLL_INTERVAL_MS)
	}
}

/** Checks how often the request reached servers. */
export function checkPoisonRequest(world: World): void {
	const { record } = world
	const sends = [...record.requests.values()]
		.filter(({ path }) => path === POISON_PATH)
		.flatMap(({ id }) => record.runs.get(id) ?? [])
	count(record, 'runs of the poison request', sends.length)
	checkLateSends(world, sends, LIMIT)
}

/**
 * Checks how often something that crashes servers reached them later than the contact time
 * after it had crashed several. Counting starts again after each time at which no
 * entry ran, as the evidence was lost.
 */
export function checkLateSends(
	world: World,
	sends: readonly Run[],
	limit: SendLimit,
): void {
	const sorted = [...sends].sort((a, b) => a.startedAt - b.startedAt)
	const evidenceLostAt = [...world.evidenceLostAt].sort((a, b) => a - b)
	let since = 0
	for (const until of [...evidenceLostAt, Number.POSITIVE_INFINITY]) {
		const between = sorted.filter(
			({ startedAt }) => startedAt >= since && startedAt < until,
		)
		checkSendsBetween(world, between, limit)
		since = until
	}
}

function checkSendsBetween(
	{ record }: World,
	sends: readonly Run[],
	{ crashes, lateSends }: SendLimit,
): void {
	const last = sends[crashes - 1]
	if (!last) return
	const checkedFrom = last.startedAt + POISON_CRASH_DELAY_MS + CONTACT_MS
	const late = sends.filter(({ startedAt }) => startedAt > checkedFrom)
	if (late.length > lateSends)
		recordViolation(
			record,
			'BUDGET',
			`${late.length} servers run ${late[0]!.id}`,
		)
}
