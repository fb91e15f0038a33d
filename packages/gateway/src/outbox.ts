/** Updates that are queued for other entries. */

import type { ServerNews } from '@juniperhook/core'
import { subjectOf } from '@juniperhook/core'

/** The latest unsent update of each subject. */
export type Outbox = Map<string, ServerNews>

/** Queues updates; an update replaces a queued one of the same subject. */
export function enqueueUpdates(
	outbox: Outbox,
	updates: readonly ServerNews[],
): void {
	for (const one of updates) outbox.set(subjectOf(one), one)
}

/** Removes and returns all queued updates. */
export function drainOutbox(outbox: Outbox): ServerNews[] {
	const updates = [...outbox.values()]
	outbox.clear()
	return updates
}
