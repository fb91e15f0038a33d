/** State of the request lifecycle model: entries, one agent, links and possible events. */

import type {
	AdmissionState,
	AttemptName,
	Moment,
	NotRun,
	RequestLifecycle,
	Unknown,
} from '../../src/index.ts'
import {
	createAdmission,
	createLifecycle,
	MAX_CLOCK_SKEW_MS,
} from '../../src/index.ts'

/** Bounds of an exploration: the maximum number of each failure, and the request. */
export interface LifecycleBounds {
	readonly entries: number
	readonly repeatable: boolean
	/** Whether the request carries an idempotency key. */
	readonly keyed: boolean
	/** Whether the entry created the key and so knows that it is new. */
	readonly freshKey: boolean
	readonly restarts: number
	readonly pauses: number
	readonly losses: number
	readonly duplicates: number
	readonly leaves: number
	readonly silences: number
}

/** A mutant: the model with one guard removed. */
export type LifecycleMutant =
	| 'none'
	/** Retries after every unknown outcome. */
	| 'retryUnknown'
	/** A restarted agent accepts old keys as new ones. */
	| 'ignoreKeyAge'
	/** A void request leaves no tombstone. */
	| 'noTombstone'
	/** An answer without an end marker counts as complete. */
	| 'noEndMarker'

export type Message =
	| {
			readonly kind: 'offer'
			readonly entry: number
			readonly name: AttemptName
			readonly incarnation: number
	  }
	| {
			readonly kind: 'void'
			readonly entry: number
			readonly name: AttemptName
			readonly incarnation: number
	  }
	| {
			readonly kind: 'frame'
			readonly entry: number
			readonly attempt: number
			readonly frame: Frame
	  }

export type Frame =
	| { readonly t: 'admitted' }
	| { readonly t: 'chunk'; readonly n: number; readonly of: string }
	| { readonly t: 'end'; readonly n: number }
	| { readonly t: 'refused'; readonly outcome: NotRun | Unknown }
	| {
			readonly t: 'voidAnswer'
			readonly answer: 'void' | 'started' | 'unknown'
	  }

/** A state of the model. */
export interface LifecycleModelState {
	readonly lifecycles: RequestLifecycle[]
	readonly requested: boolean[]
	/** The agent's incarnation as known to each entry. */
	readonly knownIncarnation: number[]
	readonly agent: AdmissionState
	readonly incarnation: number
	readonly at: Moment
	/** Attempts attached to the answer of another, by the latter. */
	readonly attached: Record<string, string[]>
	readonly messages: string[]
	/** Attempts started at the backend server, in order. */
	readonly runs: string[]
	/** Chunks forwarded to each caller. */
	readonly forwarded: string[][]
	readonly used: Record<
		'restarts' | 'pauses' | 'losses' | 'duplicates' | 'leaves' | 'silences',
		number
	>
	readonly fault: string | null
}

/** An event of the model. */
export type LifecycleModelEvent =
	| { readonly do: 'request'; readonly entry: number }
	| {
			readonly do: 'deliver'
			readonly message: string
			readonly again: boolean
	  }
	| { readonly do: 'linkLost'; readonly entry: number }
	| { readonly do: 'silent'; readonly entry: number }
	| { readonly do: 'finish'; readonly run: string }
	| { readonly do: 'restart' }
	| { readonly do: 'pause' }
	| { readonly do: 'leave' }

export const CHUNKS = 1
export const KEY = 'team/huts/key'
export const KEY_WALL = 1_000_000
/** The first agent has started long before the request is sent. */
export const BORN_WALL = KEY_WALL - 10 * MAX_CLOCK_SKEW_MS
export const AMPLE_MS = 1e9

/** The next state under construction, with its bounds and mutant. */
export interface Draft {
	state: LifecycleModelState
	readonly bounds: LifecycleBounds
	readonly mutant: LifecycleMutant
}

/** Creates the initial state, without requests. */
export function createInitial(bounds: LifecycleBounds): LifecycleModelState {
	const each = <T>(make: () => T) =>
		Array.from({ length: bounds.entries }, make)
	const at = { now: 0, wall: KEY_WALL }
	const agent = { ...createAdmission(at, 1), startedWall: BORN_WALL }
	return {
		lifecycles: each(() =>
			createLifecycle(bounds.repeatable, !bounds.freshKey),
		),
		requested: each(() => false),
		knownIncarnation: each(() => 0),
		agent,
		incarnation: 0,
		at,
		attached: {},
		messages: [],
		runs: [],
		forwarded: each(() => []),
		used: {
			restarts: 0,
			pauses: 0,
			losses: 0,
			duplicates: 0,
			leaves: 0,
			silences: 0,
		},
		fault: null,
	}
}

/** Returns the violated invariant of a state, if any. */
export function findViolation(
	state: LifecycleModelState,
	bounds: LifecycleBounds,
): string | undefined {
	if (!bounds.repeatable && state.runs.length > 1) return 'ran twice'
	for (const [entry, lifecycle] of state.lifecycles.entries()) {
		if (lifecycle.state.at !== 'settled') continue
		const { outcome } = lifecycle.state
		const hasRun = state.runs.some(run => run.startsWith(`r${entry}/`))
		if (outcome.outcome === 'notRun' && hasRun) return 'reported notRun but ran'
		const isComplete = state.forwarded[entry]!.length === CHUNKS
		if (outcome.outcome === 'answered' && !isComplete)
			return 'incomplete answer'
	}
	return undefined
}
