/** State of the fate model: entries, one agent, links, and what may befall them. */

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

/** Bounds of an exploration. */
export interface LifecycleBounds {
	readonly entries: number
	readonly repeatable: boolean
	/** Whether its tries carry a key. */
	readonly keyed: boolean
	/** Whether the entry made the key, and so knows it is new. */
	readonly freshKey: boolean
	readonly restarts: number
	readonly pauses: number
	readonly losses: number
	readonly duplicates: number
	readonly leaves: number
	readonly silences: number
}

/** A guard taken out. */
export type LifecycleMutant =
	| 'none'
	/** Every time-out is followed by another try. */
	| 'retryUnknown'
	/** A restarted agent takes old keys for new ones. */
	| 'forgetAge'
	/** A void order leaves nothing behind. */
	| 'noTombstone'
	/** An answer without its end mark passes for whole. */
	| 'noEndMark'

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
	/** Incarnation that each entry believes in. */
	readonly believes: number[]
	readonly agent: AdmissionState
	readonly incarnation: number
	readonly at: Moment
	/** Tries whose answers are read by others too: try -> readers. */
	readonly attached: Record<string, string[]>
	readonly messages: string[]
	/** Hand-overs to the backend server, by try. */
	readonly runs: string[]
	/** Chunks forwarded to each caller. */
	readonly told: string[][]
	readonly used: Record<
		'restarts' | 'pauses' | 'losses' | 'doubles' | 'leaves' | 'silences',
		number
	>
	readonly fault: string | null
}

/** What may happen. */
export type LifecycleModelEvent =
	| { readonly do: 'ask'; readonly entry: number }
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
/** The booking is made long after the first agent began. */
export const BORN_WALL = KEY_WALL - 10 * MAX_CLOCK_SKEW_MS
export const ROOMY_MS = 1e9

/** A state in the making, and what it is made under. */
export interface Draft {
	state: LifecycleModelState
	readonly bounds: LifecycleBounds
	readonly mutant: LifecycleMutant
}

/** Before anything was asked. */
export function createInitial(bounds: LifecycleBounds): LifecycleModelState {
	const each = <T>(make: () => T) =>
		Array.from({ length: bounds.entries }, make)
	const at = { now: 0, wall: KEY_WALL }
	const agent = { ...createAdmission(at, 1), bornWall: BORN_WALL }
	return {
		lifecycles: each(() =>
			createLifecycle(bounds.repeatable, !bounds.freshKey),
		),
		requested: each(() => false),
		believes: each(() => 0),
		agent,
		incarnation: 0,
		at,
		attached: {},
		messages: [],
		runs: [],
		told: each(() => []),
		used: {
			restarts: 0,
			pauses: 0,
			losses: 0,
			doubles: 0,
			leaves: 0,
			silences: 0,
		},
		fault: null,
	}
}

/** The promise that a state breaks, if any. */
export function findBrokenPromise(
	state: LifecycleModelState,
	bounds: LifecycleBounds,
): string | undefined {
	if (!bounds.repeatable && state.runs.length > 1) return 'it ran twice'
	for (const [entry, fate] of state.lifecycles.entries()) {
		if (fate.state.at !== 'settled') continue
		const { outcome } = fate.state
		const own = state.runs.some(run => run.startsWith(`r${entry}/`))
		if (outcome.outcome === 'notRun' && own) return 'not run, but it ran'
		const whole = state.told[entry]!.length === CHUNKS
		if (outcome.outcome === 'answered' && !whole) return 'half an answer'
	}
	return undefined
}
