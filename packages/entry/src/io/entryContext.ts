/** State shared by all requests of an entry, and the state of one request in flight. */

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
import type { CallerRequest, TeamIndex } from './callerRequest.ts'
import type { QuarantineGate } from './quarantine.ts'
import type { AgentPeer, ServerView } from './servers.ts'
import type { LiveEntries } from './teamLimits.ts'

/** State shared by all requests of an entry. */
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
	readonly liveEntries: LiveEntries
	readonly quarantineGate: QuarantineGate
	/** Returns the follower through which the entry receives configurations and VMs. */
	readonly follower: () => Follower
	config: Config | undefined
	teams: TeamIndex
	nextRequestNumber: number
	/** Maximum memory of a body that is parsed, bytes. */
	readonly maxParsedBytes: number
	leaving: boolean
}

/** One request in flight. */
export interface Exchange {
	readonly reqId: string
	readonly request: CallerRequest
	readonly lifecycle: RequestLifecycle
	readonly answer: CallerAnswer
	readonly startedAt: number
	/** On the elapsed clock, ms. */
	readonly deadlineAt: number
	/** Row of the chosen server in the server table; -1 before the first attempt. */
	row: number
	/** Whether the load of `row` includes this request. */
	isCounted: boolean
	peer: AgentPeer | undefined
	incarnation: string
	handle: AttemptHandle | undefined
	/** When the last frame of the current attempt arrived, ms. */
	lastFrameAt: number
	/** Frame that the next `forward` effect passes on. */
	frame: AnswerFrame | undefined
	detail: string
}

/** Creates the state of a request that has been read. */
export function createExchange(
	reqId: string,
	request: CallerRequest,
	answer: CallerAnswer,
): Exchange {
	const now = readNow()
	return {
		reqId,
		request,
		lifecycle: createLifecycle(request.repeatable, hasCallerKey(request)),
		answer,
		startedAt: now,
		deadlineAt: readElapsed() + request.deadlineMs,
		row: -1,
		isCounted: false,
		peer: undefined,
		incarnation: '',
		handle: undefined,
		lastFrameAt: now,
		frame: undefined,
		detail: '',
	}
}

/** Returns the reference by which the agent knows the current attempt. */
export function attemptRefOf(exchange: Exchange): AttemptRef {
	return {
		reqId: exchange.reqId,
		attempt: exchange.lifecycle.attempt,
		incarnation: exchange.incarnation,
	}
}

/** Whether the request has a key that its caller may have used before. */
export function hasCallerKey(request: CallerRequest): boolean {
	return request.key !== undefined && !request.key.isNew
}
