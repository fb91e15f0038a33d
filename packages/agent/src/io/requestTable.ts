/** State of an agent's requests and of its backend server. */

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
import type { InterruptedRuns } from './crashReport.ts'
import type { RunRequest } from './runs.ts'
import type { BackendState } from './serverSignals.ts'

/** A request offered to this agent, waiting, running or finished. */
export interface OpenRequest extends RunRequest {
	/** Since when the answer has had no reader, monotonic ms; undefined while it has. */
	unreadSince: number | undefined
	/** When it was sent to the backend server, monotonic ms. */
	startedAt: number | undefined
	finishedAt: number | undefined
}

/** The requests of an agent and the state of its backend server. */
export interface RequestTable {
	readonly serverName: string
	readonly incarnation: string
	readonly admission: AdmissionState
	readonly open: Map<string, OpenRequest>
	readonly metrics: Metrics
	/** History of the service's servers, which tells since when a key has had its home. */
	readonly keyHomes: KeyHomeHistory
	config: Config
	server: ServerConfig
	/** Own step time divided by the group's mean; 1 outside a group. */
	stepShare: number
	/** State of the backend server according to its signals and connections. */
	backendState: BackendState
	/** When the backend server signalled that it is leaving, monotonic ms. */
	leavingSince: number
	/**
	 * Idle connection whose close shows that the backend server exited; open only while
	 * signals of that server are in force.
	 */
	watchConnection: Socket | undefined
	/** Crashes of the backend server so far. */
	backendCrashes: number
	/** Requests that ran when a connection broke, until the crash check is done. */
	interrupted: InterruptedRuns | undefined
	/** Called when a connection to the backend server broke; it may have crashed. */
	readonly onConnectionBroken: () => void
	/** Called when the server's state changed and must be reported to entries at once. */
	readonly onChange: () => void
}

type TableEvents = Pick<RequestTable, 'onChange' | 'onConnectionBroken'>

/** Creates the table of an agent that has received its first configuration. */
export function createRequestTable(
	serverName: string,
	incarnation: string,
	config: Config,
	server: ServerConfig,
	metrics: Metrics,
	events: TableEvents = { onChange: () => {}, onConnectionBroken: () => {} },
): RequestTable {
	return {
		serverName,
		incarnation,
		admission: createAdmission(readMoment(), server.slots),
		open: new Map(),
		metrics,
		keyHomes: [],
		config,
		server,
		stepShare: 1,
		backendState: 'up',
		leavingSince: 0,
		watchConnection: undefined,
		backendCrashes: 0,
		interrupted: undefined,
		...events,
	}
}

/** Returns the load for reports to entries. */
export function readLoad(table: RequestTable): LoadFields {
	const { admission } = table
	const { waiting } = admission.queue
	const startDelay = findStartDelay(admission, waiting.length, readMoment().now)
	return {
		load: admission.running + waiting.length,
		heldMs: Math.ceil(startDelay.forMs),
		serviceMs: admission.serviceMs,
		stepShare: table.stepShare,
	}
}
