/** Messages of an entry to agents about attempts of its requests. */

import type { AttemptRef, VoidReply } from '@juniperhook/runtime'
import { call, notify } from '@juniperhook/runtime'
import type { AgentPeer } from './servers.ts'

/** Sends a void request; returns `unknown` if the agent cannot be reached. */
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

/** Notifies the agent that the caller no longer waits for an attempt. */
export function sendCancel(peer: AgentPeer, ref: AttemptRef): void {
	if (peer.link) notify(peer.link, 'cancelAttempt', ref)
}
