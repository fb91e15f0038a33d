/** Which requests a backend server was running when it ended. */

import { MAX_REQUESTS_PER_CRASH } from '@juniperhook/core'
import { computeFingerprint } from '@juniperhook/gateway'
import type { ServerCrashNotice } from '@juniperhook/runtime'
import { readMoment } from '@juniperhook/runtime'
import type { OpenRequest, RequestTable } from './requestTable.ts'

/** What a backend server ran when a connection to it broke. */
export interface BrokenRuns {
	/** Monotonic ms. */
	readonly at: number
	readonly requests: readonly OpenRequest[]
}

/** Notes that a run broke off: its server may have ended under what it runs. */
export function noteBrokenRun(table: RequestTable): void {
	if (table.life === 'up') table.life = 'unsure'
	table.broken ??= { at: readMoment().now, requests: listRunning(table) }
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

/** What entries are told of the end; a request may have come twice. */
export function describeEnd(
	{ serverName, incarnation, lives }: RequestTable,
	{ at, requests }: BrokenRuns,
): ServerCrashNotice {
	const ran: Record<string, number> = {}
	for (const { meta, body, startedAt } of requests) {
		const team = { name: meta.team }
		const { method, path } = meta
		const fingerprint = computeFingerprint({ method, path, team, body })
		const ranMs = Math.max(0, Math.round(at - startedAt!))
		ran[fingerprint] = Math.min(ranMs, ran[fingerprint] ?? ranMs)
	}
	const server = `${serverName}/${incarnation}/${lives}`
	const agoMs = Math.max(0, Math.round(readMoment().now - at))
	return { server, agoMs, ran }
}
