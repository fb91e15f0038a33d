/** What an entry knows of permits to send to servers with a limit. */

import type {
	EntryMembership,
	HeldPermits,
	PermitPool,
} from '@juniperhook/core'
import { createEntryMembership } from '@juniperhook/core'
import type { PermitAsk, PermitReply } from './peerMessages.ts'

/** Asks a home; undefined while there is no link to it. */
export type AskHome = (
	home: string,
	ask: PermitAsk,
) => Promise<PermitReply> | undefined

/** What this entry has of the permits of all servers with a limit. */
export interface PermitStore {
	/** By server id. */
	readonly held: Map<string, HeldPermits>
	/** What other entries are asked by; set once there are any. */
	askHome: AskHome
}

/** Makes a gate that has nothing. */
export function createPermitStore(): PermitStore {
	return { held: new Map(), askHome: () => undefined }
}

/** Homes, and the pools of those servers that this entry is home to. */
export interface PermitHomes {
	readonly membership: EntryMembership
	/** By server id. */
	readonly pools: Map<string, PermitPool>
	/** Control address of each server's home, by server id. */
	readonly homes: Map<string, string>
}

/** Makes an entry's homes while it knows of itself only. */
export function createPermitHomes(own: string): PermitHomes {
	return {
		membership: createEntryMembership(own),
		pools: new Map(),
		homes: new Map(),
	}
}
