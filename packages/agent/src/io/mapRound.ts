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
import { ask } from './groupMember.ts'

/** Fences are `round * FENCE_SPACE + id`; ids are random a process. */
export const FENCE_SPACE = 2 ** 32
const REPEAT_MS = 300
const MAX_REPEATS = 4
const POLL_MS = 5
const log = createLog('agent:group')

/** A fence above all that this process has heard of, its own alone. */
export function takeFence(member: GroupMember): number {
	return nextFence(member.coordinator, member.fenceId, FENCE_SPACE)
}

/** Runs one round of the protocol to its end, or until it must be left. */
export async function runRound(
	member: GroupMember,
	wanted: string | undefined,
	lead = 1,
	fence = takeFence(member),
): Promise<boolean> {
	const { coordinator } = member
	const before = coordinator.finished
	send(member, startMapRound(coordinator, fence, wanted, lead))
	for (let repeat = 0; repeat <= MAX_REPEATS; repeat++) {
		const end = readNow() + REPEAT_MS * 2 ** repeat
		while (coordinator.phase !== 'idle' && readNow() < end) await sleep(POLL_MS)
		if (coordinator.phase === 'idle') break
		send(member, handleRoundTimeout(coordinator))
	}
	// A round that cannot end is left to a later one with a higher fence.
	return coordinator.finished > before
}

function send(member: GroupMember, orders: readonly AddressedRequest[]): void {
	for (const { rank, req } of orders) void deliver(member, rank, req)
}

async function deliver(
	member: GroupMember,
	rank: number,
	req: RankRequest,
): Promise<void> {
	const name = member.group.ranks[rank]!
	try {
		const reply = await ask<RankReply>(member, name, 'mapRequest', req)
		send(member, handleRankReply(member.coordinator, rank, reply))
	} catch (err) {
		log({ msg: 'rank not reached', server: name, detail: messageOf(err) })
	}
}
