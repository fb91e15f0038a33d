/** Requests that show which configuration is in force at an entry. */

import type { CallContext } from './call.ts'
import { prepareCall, sendCall } from './call.ts'
import { PREFIX_OF, REVOKED_KEY, TEAM_OF_KEY, versionPath } from './config.ts'
import type { CallerAnswer } from './judge.ts'
import type { ManagedProcess } from './processes.ts'
import { isUndisturbed } from './trouble.ts'
import { count, randomItem, recordViolation } from './types.ts'
import type { World } from './world.ts'

/** Part of these requests with a key that is taken away. */
const REVOKED_KEY_RATIO = 0.33
/** A configuration is in force within this time, ms. */
const CONFIG_APPLY_MS = 2_000
/** An older one may be seen by requests that cross a newer, ms. */
const REORDER_TOLERANCE_MS = 250

/** Highest version that each life of an entry has shown. */
const highestVersions = new Map<string, { version: number; at: number }>()

/** Asks on the route of a version, or with a key that is taken away. */
export async function probeConfig(turn: CallContext): Promise<CallerAnswer> {
	const { world, entry, id, random } = turn
	const { record, published } = world
	if (random() < REVOKED_KEY_RATIO) return await probeRevokedKey(turn)
	const target = randomItem(random, published.slice(-3))
	const path = `${versionPath(target.version)}${id}`
	const key = randomItem(random, Object.keys(TEAM_OF_KEY))
	const call = prepareCall(turn, 'repeatable', path, key)
	const answer = await sendCall(turn, call)
	count(record, `probes with ${answer.status}`)
	const incarnation = `${world.options.seed} ${entry.name} ${call.request.incarnation}`
	const known = highestVersions.get(incarnation)
	const { sentAt } = call.request
	const wasSame = entry.incarnation === call.request.incarnation
	if (answer.status === 404 && wasSame) {
		if (
			known &&
			known.version >= target.version &&
			known.at + REORDER_TOLERANCE_MS < sentAt
		)
			recordViolation(record, 'CONFIG', `${entry.name} went back: ${path}`)
		if (isInForce(world, entry, target.at, sentAt))
			recordViolation(record, 'CONFIG', `${entry.name} does not know ${path}`)
	}
	const isNews = answer.status === 200 && target.version > (known?.version ?? 0)
	if (isNews && wasSame)
		highestVersions.set(incarnation, {
			version: target.version,
			at: performance.now(),
		})
	return answer
}

async function probeRevokedKey(turn: CallContext): Promise<CallerAnswer> {
	const { world, entry, id } = turn
	const path = `${PREFIX_OF.repeatable}${id}`
	const call = prepareCall(turn, 'repeatable', path, REVOKED_KEY)
	const answer = await sendCall(turn, call)
	const taken = world.published.find(one => !one.keepsRevokedKey)
	const { sentAt } = call.request
	const isOver = taken && isInForce(world, entry, taken.at, sentAt)
	if (answer.status === 200 && isOver)
		recordViolation(
			world.record,
			'ROUTE',
			`${entry.name} takes a key that is gone`,
		)
	return answer
}

/** Whether something published at `at` must be in force at an entry. */
function isInForce(
	world: World,
	entry: ManagedProcess,
	at: number,
	sentAt: number,
): boolean {
	const isDue = sentAt > at + CONFIG_APPLY_MS
	return (
		world.options.checksTiming &&
		isDue &&
		isUndisturbed(world.disturbances, entry.name, at, sentAt)
	)
}
