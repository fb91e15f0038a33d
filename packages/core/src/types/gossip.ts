/** Messages and state of the gossip of published values; see `gossip.ts`. */

import type { TextPatch, Topic } from '../internal.ts'

/** A process in the platform's membership list. */
export interface Member {
	readonly name: string
	readonly region: string
}

/** A fetch of a newer value. */
export interface Fetch {
	readonly from: string
	/** When it times out, ms. */
	readonly until: number
	/** Number of earlier fetches of the same value. */
	readonly retries: number
}

/** State of one topic at a node. */
export interface TopicState {
	revision: number
	text: string
	/** Patches between successive stored revisions, oldest first. */
	readonly patches: { from: number; to: number; patch: TextPatch }[]
	/** The fetch in flight, if any. */
	fetching: Fetch | undefined
	/** Highest revision announced by any node. */
	highestSeen: number
	/** The last valid value, if the stored one is invalid. */
	lastValid: ValidValue | undefined
}

/** A value that was found valid. */
export interface ValidValue {
	readonly revision: number
	readonly text: string
}

/** A message between two processes. */
export type GossipMessage =
	| {
			readonly type: 'notice'
			readonly topic: Topic
			readonly revision: number
	  }
	/** Requests what is newer than revision `have`; -1 requests the full value. */
	| { readonly type: 'fetch'; readonly topic: Topic; readonly have: number }
	| {
			readonly type: 'patches'
			readonly topic: Topic
			readonly revision: number
			readonly base: number
			readonly patches: readonly TextPatch[]
	  }
	| {
			readonly type: 'value'
			readonly topic: Topic
			readonly revision: number
			readonly text: string
			/** The last valid value, if the value itself is invalid. */
			readonly good?: ValidValue
	  }
	/** Stored revisions, in the order of {@link TOPICS}; `answer` requests the same back. */
	| {
			readonly type: 'compare'
			readonly revisions: readonly number[]
			readonly answer: boolean
	  }
	/** A standby's check of a reader, and the reader's answer. */
	| { readonly type: 'look' }
	| { readonly type: 'contact'; readonly ageMs: number }

/** An effect that the daemon has to carry out. */
export type GossipEffect =
	| {
			readonly do: 'send'
			readonly to: string
			readonly message: GossipMessage
	  }
	/** Validate and activate a newer value. */
	| {
			readonly do: 'adopt'
			readonly topic: Topic
			readonly revision: number
			readonly text: string
	  }

/** Gossip state of a process. */
export interface GossipNode {
	readonly self: string
	region: string
	readonly topics: Record<Topic, TopicState>
	members: readonly Member[]
	/** Names of the members that it notifies. */
	neighbours: string[]
	/** Readers and standbys of its region, in order of preference. */
	readers: string[]
	/** When the platform last answered it, ms. */
	contactAt: number
	/** When each reader was last known to be in contact with the platform, ms. */
	readonly readerContactAt: Map<string, number>
	nextAntiEntropy: number
	nextReaderCheck: number
}
