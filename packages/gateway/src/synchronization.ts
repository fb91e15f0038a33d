/** Initial synchronization of an entry with its peers. */

import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'

/** Maximum time for which a starting entry waits for its peers' state, ms. */
const PEER_STATE_TIMEOUT_MS = 1_000
const CHECK_INTERVAL_MS = 20

/** Returns whether a peer has sent its state or this entry no longer waits for one. */
export function isSynchronized({
	settings,
	hasPeerState,
	startedAt,
}: GatewayContext): boolean {
	const hasPeers = settings.seeds.some(seed => seed !== settings.control)
	return (
		hasPeerState ||
		!hasPeers ||
		readElapsed() - startedAt >= PEER_STATE_TIMEOUT_MS
	)
}

/** Waits until this entry is synchronized, or until `signal` is aborted. */
export async function awaitSynchronized(
	ctx: GatewayContext,
	signal: AbortSignal,
): Promise<void> {
	while (!isSynchronized(ctx) && !signal.aborted)
		await new Promise(resolve => setTimeout(resolve, CHECK_INTERVAL_MS))
}
