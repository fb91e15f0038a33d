/** State shared by the modules of an agent. */

import type {
	Follower,
	Listener,
	Metrics,
	RpcLink,
	Settings,
} from '@juniperhook/runtime'
import type { GroupMember } from './io/groupMember.ts'
import type { RequestTable } from './io/requestTable.ts'

/** A running agent. */
export interface AgentProcess {
	readonly settings: Settings
	readonly incarnation: string
	readonly metrics: Metrics
	readonly follower: Follower
	readonly links: Set<RpcLink>
	/** Key of the last reported load, to skip unchanged reports. */
	lastReportedLoad: string
	/** Report periods since the start. */
	reportPeriods: number
	/** Listener for offers; undefined before it listens. */
	listener: Listener | undefined
	/** Listener for operators. */
	operators: Listener | undefined
	/** Whether all its listeners are bound. */
	isListening: boolean
	/** Undefined until a configuration that contains this server is in force. */
	requests: RequestTable | undefined
	/** Undefined for a server outside any group. */
	group: GroupMember | undefined
}
