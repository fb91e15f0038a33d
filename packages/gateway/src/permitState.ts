/** State of the permits for rate-limited servers. */

import type {
	EntryMembership,
	HeldPermits,
	PermitPool,
} from '@juniperhook/core'
import { createEntryMembership } from '@juniperhook/core'
import type { PermitQuery, PermitReply } from './peerMessages.ts'

/** Sends a query to a home; returns undefined while there is no link to it. */
export type QueryHome = (
	home: string,
	query: PermitQuery,
) => Promise<PermitReply> | undefined

/** Permits granted to this entry. */
export interface PermitStore {
	/** Permits by server id. */
	readonly held: Map<string, HeldPermits>
	/** Sends queries to other entries; set when the exchange with peers starts. */
	queryHome: QueryHome
}

/** Creates an empty store. */
export function createPermitStore(): PermitStore {
	return { held: new Map(), queryHome: () => undefined }
}

/** Homes of rate-limited servers, and the pools of those with this entry as their home. */
export interface PermitHomes {
	readonly roster: EntryMembership
	/** Pools by server id. */
	readonly pools: Map<string, PermitPool>
	/** Control addresses of homes, by server id. */
	readonly homes: Map<string, string>
}

/** Creates the state of an entry that has not discovered others. */
export function createPermitHomes(own: string): PermitHomes {
	return {
		roster: createEntryMembership(own),
		pools: new Map(),
		homes: new Map(),
	}
}
