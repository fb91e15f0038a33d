/** State of the permits for rate-limited servers. */

import type {
	EntryMembership,
	HeldPermits,
	PermitPool,
} from '@juniperhook/core'
import { createEntryMembership } from '@juniperhook/core'
import type { PermitQuery, PermitReply } from './peerMessages.ts'

/** Sends a query to a permit home; returns undefined while there is no link to it. */
export type QueryPermitHome = (
	permitHome: string,
	query: PermitQuery,
) => Promise<PermitReply> | undefined

/** Permits granted to this entry. */
export interface PermitStore {
	/** Permits by server id. */
	readonly held: Map<string, HeldPermits>
	/** Sends queries to other entries; set when the exchange with peers starts. */
	queryPermitHome: QueryPermitHome
}

/** Creates an empty store. */
export function createPermitStore(): PermitStore {
	return { held: new Map(), queryPermitHome: () => undefined }
}

/** Permit homes of rate-limited servers, and the pools of this entry's servers. */
export interface PermitHomes {
	readonly membership: EntryMembership
	/** Pools by server id. */
	readonly pools: Map<string, PermitPool>
	/** Control addresses of permit homes, by server id. */
	readonly homes: Map<string, string>
}

/** Creates the state of an entry that has not discovered others. */
export function createPermitHomes(own: string): PermitHomes {
	return {
		membership: createEntryMembership(own),
		pools: new Map(),
		homes: new Map(),
	}
}
