/** What other entries are to be told. */

import type { ServerUpdate } from '@juniperhook/core'
import { updateKeyOf } from '@juniperhook/core'

/** The last news of each subject that have not been told yet. */
export type Outbox = Map<string, ServerUpdate>

/** Notes news that are to be told. */
export function postNews(outbox: Outbox, news: readonly ServerUpdate[]): void {
	for (const one of news) outbox.set(updateKeyOf(one), one)
}

/** Takes out what is to be told. */
export function drainOutbox(outbox: Outbox): ServerUpdate[] {
	const news = [...outbox.values()]
	outbox.clear()
	return news
}
