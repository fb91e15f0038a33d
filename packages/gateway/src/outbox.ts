/** What other entries are to be told. */

import type { ServerNews } from '@juniperhook/core'
import { subjectOf } from '@juniperhook/core'

/** The last news of each subject that have not been told yet. */
export type Outbox = Map<string, ServerNews>

/** Notes news that are to be told. */
export function enqueueUpdates(
	outbox: Outbox,
	news: readonly ServerNews[],
): void {
	for (const one of news) outbox.set(subjectOf(one), one)
}

/** Takes out what is to be told. */
export function drainOutbox(outbox: Outbox): ServerNews[] {
	const news = [...outbox.values()]
	outbox.clear()
	return news
}
