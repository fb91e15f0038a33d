/** Updates that are queued for other entries. */

import type { ServerUpdate } from '@juniperhook/core'
import { updateKeyOf } from '@juniperhook/core'

/** The latest unsent update of each subject. */
export type Outbox = Map<string, ServerUpdate>

/** Queues updates; an update replaces a queued one of the same subject. */
export function enqueueUpdates(
	outbox: Outbox,
	updates: readonly ServerUpdate[],
): void {
	for (const one of updates) outbox.set(updateKeyOf(one), one)
}

/** Removes and returns all queued updates. */
export function drainOutbox(outbox: Outbox): ServerUpdate[] {
	const updates = [...outbox.values()]
	outbox.clear()
	return updates
}
