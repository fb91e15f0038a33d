/** Orders that an entry gives agents about tries of its requests. */

import type { AttemptRef, VoidReply } from '@juniperhook/runtime'
import { call, notify } from '@juniperhook/runtime'
import type { AgentPeer } from './servers.ts'

/** Gives a void order; `unknown` if the agent cannot be asked. */
export async function sendVoid(
	peer: AgentPeer,
	ref: AttemptRef,
): Promise<VoidReply['answer']> {
	if (!peer.link) return 'unknown'
	try {
		const reply = await call<VoidReply>(peer.link, 'voidAttempt', ref)
		return reply.answer
	} catch {
		return 'unknown'
	}
}

/** Tells the agent that nobody waits for an attempt any more. */
export function sendCancel(peer: AgentPeer, ref: AttemptRef): void {
	if (peer.link) notify(peer.link, 'cancelAttempt', ref)
}
