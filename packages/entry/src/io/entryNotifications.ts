/** Messages to other entries. */

import { notify, openMemberLink } from '@juniperhook/runtime'
import type { EntryContext } from './entryContext.ts'

/** Tells another entry something; one that cannot be reached does not hear it. */
export async function tellEntry(
	ctx: EntryContext,
	name: string,
	method: string,
	params: object,
): Promise<void> {
	try {
		const link = await openMemberLink(ctx.follower(), name)
		if (link) notify(link, method, params)
	} catch {
		// Whoever needs it asks, or is told again.
	}
}
