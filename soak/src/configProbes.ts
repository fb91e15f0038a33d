/** Requests that test which configuration is in force at an entry. */

import type { CallContext } from './call.ts'
import { prepareCall, sendCall } from './call.ts'
import type { CallerAnswer } from './checks.ts'
import { PREFIX_OF, REVOKED_KEY, TEAM_OF_KEY, versionPath } from './config.ts'
import { isUndisturbed } from './disturbances.ts'
import type { ManagedProcess } from './processes.ts'
import { count, randomItem, recordViolation } from './types.ts'
import type { World } from './world.ts'

/** Ratio of probes that use a revoked key. */
const REVOKED_KEY_RATIO = 0.33
/** Time within which a published configuration must be in force, ms. */
const CONFIG_APPLY_MS = 2_000
/**
 * Requests sent within this time after a newer version was seen may still be routed by
 * an older one, ms.
 */
const REORDER_TOLERANCE_MS = 250

/** Highest configuration version seen at each incarnation of an entry, and when. */
const highestVersions = new Map<string, { version: number; at: number }>()

/** Sends a request on the route of a recent version, or with a revoked key. */
export async function probeConfig(context: CallContext): Promise<CallerAnswer> {
	const { world, entry, id, random } = context
	const { record, published } = world
	if (random() < REVOKED_KEY_RATIO) return await probeRevokedKey(context)
	const target = randomItem(random, published.slice(-3))
	const path = `${versionPath(target.version)}${id}`
	const key = randomItem(random, Object.keys(TEAM_OF_KEY))
	const call = prepareCall(context, 'repeatable', path, key)
	const answer = await sendCall(context, call)
	count(record, `probes with ${answer.status}`)
	const incarnationKey = `${world.options.seed} ${entry.name} ${call.request.incarnation}`
	const highest = highestVersions.get(incarnationKey)
	const { sentAt } = call.request
	const isSameIncarnation = entry.incarnation === call.request.incarnation
	if (answer.status === 404 && isSameIncarnation) {
		if (
			highest &&
			highest.version >= target.version &&
			highest.at + REORDER_TOLERANCE_MS < sentAt
		)
			recordViolation(
				record,
				'CONFIG',
				`${entry.name} fell back to an older configuration: ${path} not found`,
			)
		if (isInForce(world, entry, target.at, sentAt))
			recordViolation(
				record,
				'CONFIG',
				`${entry.name} has no route for ${path}`,
			)
	}
	const isNewer =
		answer.status === 200 && target.version > (highest?.version ?? 0)
	if (isNewer && isSameIncarnation)
		highestVersions.set(incarnationKey, {
			version: target.version,
			at: performance.now(),
		})
	return answer
}

async function probeRevokedKey(context: CallContext): Promise<CallerAnswer> {
	const { world, entry, id } = context
	const path = `${PREFIX_OF.repeatable}${id}`
	const call = prepareCall(context, 'repeatable', path, REVOKED_KEY)
	const answer = await sendCall(context, call)
	const revoking = world.published.find(one => !one.keepsRevokedKey)
	const { sentAt } = call.request
	const isRevoked = revoking && isInForce(world, entry, revoking.at, sentAt)
	if (answer.status === 200 && isRevoked)
		recordViolation(
			world.record,
			'ROUTE',
			`${entry.name} accepts a revoked key`,
		)
	return answer
}

/** Whether a configuration published at `at` must be in force at an entry. */
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
