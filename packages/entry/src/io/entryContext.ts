/** What requests at one entry share, and the state of one under way. */

import type {
	AffinityTable,
	Config,
	LimitTable,
	Random,
	RequestLifecycle,
	RetryBudget,
} from '@juniperhook/core'
import { createLifecycle } from '@juniperhook/core'
import type {
	AnswerFrame,
	AttemptRef,
	Follower,
	Metrics,
} from '@juniperhook/runtime'
import { readElapsed, readNow } from '@juniperhook/runtime'
import type { AttemptHandle } from './attempt.ts'
import type { CallerAnswer } from './caller.ts'
import type { Intake, TeamIndex } from './callerRequest.ts'
import type { QuarantineBook } from './quarantine.ts'
import type { AgentPeer, ServerView } from './servers.ts'
import type { TeamKeepers } from './teamLimits.ts'

/** All that requests at one entry share. */
export interface EntryContext {
	readonly name: string
	readonly incarnation: string
	readonly metrics: Metrics
	readonly servers: ServerView
	readonly limits: LimitTable
	readonly retries: RetryBudget
	readonly affinity: AffinityTable
	readonly random: Random
	readonly exchanges: Set<Exchange>
	readonly keepers: TeamKeepers
	readonly quarantined: QuarantineBook
	/** What this entry follows the platform by. */
	readonly follower: () => Follower
	config: Config | undefined
	teams: TeamIndex
	nextRequest: number
	leaving: boolean
}

/** One request under way. */
export interface Exchange {
	readonly reqId: string
	readonly intake: Intake
	readonly fate: RequestLifecycle
	readonly answer: CallerAnswer
	readonly startedAt: number
	/** On the scale of elapsed time, ms. */
	readonly deadlineAt: number
	row: number
	/** Whether `row` counts this request among its own. */
	counted: boolean
	peer: AgentPeer | undefined
	incarnation: string
	handle: AttemptHandle | undefined
	/** Last frame of the open try. */
	heardAt: number
	/** The frame that a `forward` effect is about. */
	frame: AnswerFrame | undefined
	detail: string
}

/** Makes the state of a request that has been read. */
export function createExchange(
	reqId: string,
	intake: Intake,
	answer: CallerAnswer,
): Exchange {
	const now = readNow()
	return {
		reqId,
		intake,
		fate: createLifecycle(intake.repeatable, isCallerKey(intake)),
		answer,
		startedAt: now,
		deadlineAt: readElapsed() + intake.deadlineMs,
		row: -1,
		counted: false,
		peer: undefined,
		incarnation: '',
		handle: undefined,
		heardAt: now,
		frame: undefined,
		detail: '',
	}
}

/** Names the open try to its agent. */
export function refOf(exchange: Exchange): AttemptRef {
	return {
		reqId: exchange.reqId,
		attempt: exchange.fate.attempt,
		incarnation: exchange.incarnation,
	}
}

/** Whether the caller may have used its key before. */
export function isCallerKey(intake: Intake): boolean {
	return intake.key !== undefined && !intake.key.fresh
}
