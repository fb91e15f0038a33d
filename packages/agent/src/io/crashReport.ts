/** Records which requests a backend server was running when it crashed. */

import { MAX_REQUESTS_PER_CRASH } from '@juniperhook/core'
import { computeFingerprint } from '@juniperhook/gateway'
import type { ServerCrashNotice } from '@juniperhook/runtime'
import { readMoment } from '@juniperhook/runtime'
import type { OpenRequest, RequestTable } from './requestTable.ts'

/** The requests that a backend server was running when a connection to it broke. */
export interface InterruptedRuns {
	/** When the connection broke, monotonic ms. */
	readonly at: number
	readonly requests: readonly OpenRequest[]
}

/** Records that a run was interrupted: the server may have crashed. */
export function recordInterruptedRun(table: RequestTable): void {
	if (table.backendState === 'up') table.backendState = 'unsure'
	table.interrupted ??= { at: readMoment().now, requests: listRunning(table) }
}

function listRunning({ open }: RequestTable): OpenRequest[] {
	const requests = [...new Set(open.values())].filter(
		({ startedAt, finishedAt }) =>
			startedAt !== undefined && finishedAt === undefined,
	)
	return requests
		.sort((a, b) => b.startedAt! - a.startedAt!)
		.slice(0, MAX_REQUESTS_PER_CRASH)
}

/** Describes a crash for entries; attempts of the same request are merged into one. */
export function describeCrash(
	{ serverName, incarnation, backendCrashes }: RequestTable,
	{ at, requests }: InterruptedRuns,
): ServerCrashNotice {
	const ran: Record<string, number> = {}
	for (const { meta, body, startedAt } of requests) {
		const team = { name: meta.team }
		const { method, path } = meta
		const fingerprint = computeFingerprint({ method, path, team, body })
		const ranMs = Math.max(0, Math.round(at - startedAt!))
		ran[fingerprint] = Math.min(ranMs, ran[fingerprint] ?? ranMs)
	}
	const server = `${serverName}/${incarnation}/${backendCrashes}`
	const agoMs = Math.max(0, Math.round(readMoment().now - at))
	return { server, agoMs, ran }
}
