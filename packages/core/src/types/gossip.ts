/** Messages and state of the spreading of published values; see `spread.ts`. */

import type { TextPatch, Topic } from '../internal.ts'

/** Another process, by the platform's list. */
export interface Member {
	readonly name: string
	readonly region: string
}

/** A question for a newer value. */
export interface Fetch {
	readonly from: string
	/** When it counts as lost, ms. */
	readonly until: number
	/** Questions for the same value before it. */
	readonly retries: number
}

/** A value as held. */
export interface TopicState {
	revision: number
	text: string
	/** Patches between successive held revisions, oldest first. */
	readonly patches: { from: number; to: number; patch: TextPatch }[]
	/** A fetch under way. */
	fetching: Fetch | undefined
	/** Highest revision that anybody has spoken of. */
	highestSeen: number
	/** The newest right value, when the one held was judged invalid. */
	lastValid: ValidValue | undefined
}

/** A value that was judged right. */
export interface ValidValue {
	readonly revision: number
	readonly text: string
}

/** Between two processes. */
export type GossipMessage =
	| {
			readonly type: 'notice'
			readonly topic: Topic
			readonly revision: number
	  }
	/** Asks for what is newer than `have`. */
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
			/** What is in force where the value itself is invalid. */
			readonly good?: ValidValue
	  }
	/** Revisions held, in the order of {@link TOPICS}; asks for the other's. */
	| {
			readonly type: 'compare'
			readonly revisions: readonly number[]
			readonly answer: boolean
	  }
	/** A standby's look at a reader, and its answer. */
	| { readonly type: 'look' }
	| { readonly type: 'contact'; readonly ageMs: number }

/** What a process is to do. */
export type GossipEffect =
	| {
			readonly do: 'send'
			readonly to: string
			readonly message: GossipMessage
	  }
	/** A newer value is held; judge it and put it in force. */
	| {
			readonly do: 'adopt'
			readonly topic: Topic
			readonly revision: number
			readonly text: string
	  }

/** One process's part in the spreading. */
export interface GossipNode {
	readonly self: string
	region: string
	readonly topics: Record<Topic, TopicState>
	members: readonly Member[]
	/** Whom it notifies. */
	neighbours: string[]
	/** Readers and standbys of its region, best first. */
	readers: string[]
	/** When the platform last answered it, ms. */
	contactAt: number
	/** When each reader was last known to be in contact, ms. */
	readonly readerContactAt: Map<string, number>
	nextAntiEntropy: number
	nextReaderCheck: number
}
