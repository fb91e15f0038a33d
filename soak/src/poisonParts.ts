/**
 * A poison part: each rank that runs a stream whose prompt contains it crashes. Its caller
 * sends streams that have nothing else in common to random entries; the checks limit
 * how often they may reach servers after several have crashed, and hold that streams
 * without the part are not refused for one that others were served with.
 */

import { Agent } from 'node:http'
import { createRandom, hashText } from '@juniperhook/core'
import { prepareCall, sendCall } from './call.ts'
import { PREFIX_OF } from './config.ts'
import { CONTACT_MS } from './disturbances.ts'
import type { SendLimit } from './poisonRequest.ts'
import { checkLateSends } from './poisonRequest.ts'
import type { RequestRecord } from './types.ts'
import {
	count,
	randomBetween,
	randomItem,
	recordViolation,
	sleep,
} from './types.ts'
import type { World } from './world.ts'

/** Id of the poison part. */
export const POISON_PART = 'dead'
/** Ids of the parts that all callers' prompts contain one of. */
const SOUND_PARTS = ['a1', 'b2', 'c3', 'd4', 'e5'] as const
/** Range of pauses between two streams with the poison part, ms. */
const PAUSE_MS = [100, 700] as const
const LIMIT: SendLimit = { crashes: 5, lateSends: 3 }

/** Returns the sound part of a request's prompt, without a draw of the random source. */
export function soundPartOf(id: string): string {
	return SOUND_PARTS[hashText(id) % SOUND_PARTS.length]!
}

/** Sends streams with the poison part, which crash ranks, until the faults end. */
export async function runPoisonPartCaller(world: World): Promise<void> {
	const random = createRandom(world.options.seed + 4)
	const agent = new Agent({ keepAlive: false })
	for (let number = 0; !world.faultsEnded; number++) {
		const entry = randomItem(random, world.entries)
		const id = `part-${number}`
		const context = { world, entry, agent, id, random }
		const parts = [soundPartOf(id), POISON_PART]
		const path = `${PREFIX_OF.stream}${id}`
		const call = prepareCall(context, 'stream', path, 'key-guests', { parts })
		void sendCall(context, call).then(({ status }) =>
			count(world.record, `streams with the poison part answered ${status}`),
		)
		await sleep(randomBetween(random, ...PAUSE_MS))
	}
}

/** Whether a prompt contains the poison part. */
export function hasPoisonPart({
	parts,
}: Pick<RequestRecord, 'parts'>): boolean {
	return parts.includes(POISON_PART)
}

/** Checks how often streams with the part reached servers, and those without it. */
export function checkPoisonPart(world: World): void {
	const { record } = world
	const sends = [...record.requests.values()]
		.filter(hasPoisonPart)
		.flatMap(({ id }) => record.runs.get(id) ?? [])
	count(record, 'runs of streams with the poison part', sends.length)
	checkLateSends(world, sends, LIMIT)
	for (const request of record.requests.values())
		if (isRefusedForSoundPart(world, request))
			recordViolation(record, 'BUDGET', `${request.id} refused for its parts`)
}

/** Whether a stream was quarantined for parts with which others were served before. */
function isRefusedForSoundPart(
	{ record, evidenceLostAt }: World,
	request: RequestRecord,
): boolean {
	if (request.error !== 'quarantined' || request.parts.length === 0)
		return false
	if (hasPoisonPart(request)) return false
	const since = Math.max(
		-Infinity,
		...evidenceLostAt.filter(at => at < request.sentAt),
	)
	return request.parts.every(part =>
		[...record.requests.values()].some(
			other =>
				other.status === 200 &&
				other.isComplete &&
				other.parts.includes(part) &&
				other.sentAt > since &&
				(other.answeredAt ?? request.sentAt) < request.sentAt - CONTACT_MS,
		),
	)
}
