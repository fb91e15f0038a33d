/** Runs rounds of the map protocol over control connections. */

import type {
	AddressedRequest,
	RankReply,
	RankRequest,
} from '@juniperhook/core'
import {
	handleRankReply,
	handleRoundTimeout,
	nextFence,
	startMapRound,
} from '@juniperhook/core'
import { createLog, messageOf, readNow, sleep } from '@juniperhook/runtime'
import type { GroupMember } from './groupMember.ts'
import { callAgent } from './groupMember.ts'

/** A fence is `round * FENCE_SPACE + id`; each process draws a random id. */
export const FENCE_SPACE = 2 ** 32
const REPEAT_INTERVAL_MS = 300
const MAX_REPEATS = 4
const POLL_INTERVAL_MS = 5
const log = createLog('agent:group')

/** Returns a fence that is above all known to this process and unique to it. */
export function issueFence(member: GroupMember): number {
	return nextFence(member.coordinator, member.fenceId, FENCE_SPACE)
}

/** Runs one round of the protocol until it completes or its retries are exhausted. */
export async function runRound(
	member: GroupMember,
	targetMapId: string | undefined,
	lead = 1,
	fence = issueFence(member),
): Promise<boolean> {
	const { coordinator } = member
	const before = coordinator.finished
	sendRequests(member, startMapRound(coordinator, fence, targetMapId, lead))
	for (let repeat = 0; repeat <= MAX_REPEATS; repeat++) {
		const end = readNow() + REPEAT_INTERVAL_MS * 2 ** repeat
		while (coordinator.phase !== 'idle' && readNow() < end)
			await sleep(POLL_INTERVAL_MS)
		if (coordinator.phase === 'idle') break
		sendRequests(member, handleRoundTimeout(coordinator))
	}
	// An incomplete round is superseded by a later one with a higher fence.
	return coordinator.finished > before
}

function sendRequests(
	member: GroupMember,
	requests: readonly AddressedRequest[],
): void {
	for (const { rank, req } of requests) void deliver(member, rank, req)
}

async function deliver(
	member: GroupMember,
	rank: number,
	req: RankRequest,
): Promise<void> {
	const name = member.group.ranks[rank]!
	try {
		const reply = await callAgent<RankReply>(member, name, 'mapRequest', req)
		sendRequests(member, handleRankReply(member.coordinator, rank, reply))
	} catch (err) {
		log({ msg: 'rank not reached', server: name, detail: messageOf(err) })
	}
}
