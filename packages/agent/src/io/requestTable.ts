/** The state of an agent's requests and of its backend server. */

import type { Socket } from 'node:net'
import type {
	AdmissionState,
	Config,
	KeyHomeHistory,
	ServerConfig,
} from '@juniperhook/core'
import { createAdmission, findStartDelay } from '@juniperhook/core'
import type { LoadFields, Metrics } from '@juniperhook/runtime'
import { readMoment } from '@juniperhook/runtime'
import type { RunRequest } from './runs.ts'
import type { BrokenRuns } from './crashReport.ts'
import type { ServerLife } from './serverSignals.ts'

/** One request that was admitted here. */
export interface OpenRequest extends RunRequest {
	/** Since when nobody reads, monotonic ms; `undefined` while one does. */
	unreadSince: number | undefined
	/** When it was handed to the backend server, monotonic ms. */
	startedAt: number | undefined
	finishedAt: number | undefined
}

/** The request side of an agent. */
export interface RequestTable {
	readonly serverName: string
	readonly incarnation: string
	readonly admission: AdmissionState
	readonly open: Map<string, OpenRequest>
	readonly metrics: Metrics
	/** Configured servers of this one's service, over time. */
	readonly homes: KeyHomeHistory
	config: Config
	server: ServerConfig
	/** Own step time over the group's mean; 1 outside a group. */
	stepShare: number
	/** The backend server's life, as far as its words and connections tell. */
	life: ServerLife
	/** When it said that it leaves, monotonic ms. */
	leavesSince: number
	/** An idle connection that ends with the server's life; only while signals are held. */
	lifeline: Socket | undefined
	/** Lives of the backend server that have ended. */
	lives: number
	/** What it ran when a connection broke, until it is known whether it ended. */
	broken: BrokenRuns | undefined
	/** Called when it may have ended. */
	readonly onBroken: () => void
	/** Called when entries are to be told of the server's state at once. */
	readonly onChange: () => void
}

type TableEvents = Pick<RequestTable, 'onChange' | 'onBroken'>

/** Makes the table of an agent that has just got its configuration. */
export function createRequestTable(
	serverName: string,
	incarnation: string,
	config: Config,
	server: ServerConfig,
	metrics: Metrics,
	events: TableEvents = { onChange: () => {}, onBroken: () => {} },
): RequestTable {
	return {
		serverName,
		incarnation,
		admission: createAdmission(readMoment(), server.slots),
		open: new Map(),
		metrics,
		homes: [],
		config,
		server,
		stepShare: 1,
		life: 'up',
		leavesSince: 0,
		lifeline: undefined,
		lives: 0,
		broken: undefined,
		...events,
	}
}

/** Load as reported to entries. */
export function readLoad(table: RequestTable): LoadFields {
	const { admission } = table
	const { waiting } = admission.queue
	const held = findStartDelay(admission, waiting.length, readMoment().now)
	return {
		load: admission.running + waiting.length,
		heldMs: Math.ceil(held.forMs),
		serviceMs: admission.serviceMs,
		stepShare: table.stepShare,
	}
}
