/** What an entry knows of permits to send to servers with a limit. */

import type { EntryRoster, HeldPermits, PermitPool } from '@juniperhook/core'
import { createEntryRoster } from '@juniperhook/core'
import type { PermitQuery, PermitReply } from './peerMessages.ts'

/** Asks a home; undefined while there is no link to it. */
export type QueryHome = (
	home: string,
	ask: PermitQuery,
) => Promise<PermitReply> | undefined

/** What this entry has of the permits of all servers with a limit. */
export interface PermitGate {
	/** By server id. */
	readonly held: Map<string, HeldPermits>
	/** What other entries are asked by; set once there are any. */
	queryHome: QueryHome
}

/** Makes a gate that has nothing. */
export function createPermitGate(): PermitGate {
	return { held: new Map(), queryHome: () => undefined }
}

/** Homes, and the pools of those servers that this entry is home to. */
export interface PermitHomes {
	readonly roster: EntryRoster
	/** By server id. */
	readonly pools: Map<string, PermitPool>
	/** Control address of each server's home, by server id. */
	readonly homes: Map<string, string>
}

/** Makes an entry's homes while it knows of itself only. */
export function createPermitHomes(own: string): PermitHomes {
	return {
		roster: createEntryRoster(own),
		pools: new Map(),
		homes: new Map(),
	}
}
