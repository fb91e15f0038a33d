/** Notifications to other entries. */

import { notify, openMemberLink } from '@juniperhook/runtime'
import type { EntryContext } from './entryContext.ts'

/** Sends a notification to another entry; it is lost if the entry cannot be reached. */
export async function notifyEntry(
	ctx: EntryContext,
	name: string,
	method: string,
	params: object,
): Promise<void> {
	try {
		const link = await openMemberLink(ctx.follower(), name)
		if (link) notify(link, method, params)
	} catch {
		// Reports are repeated, and an entry pulls crash evidence when it starts.
	}
}
