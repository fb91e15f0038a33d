/** Load reports to entries that have received no recent answer with the load. */

import type { Report, RpcLink } from '@juniperhook/runtime'
import { activeRevision, notify } from '@juniperhook/runtime'
import type { AgentProcess } from './agentState.ts'
import type { RequestTable } from './io/requestTable.ts'
import { readLoad } from './io/requestTable.ts'

/** Number of periods after which an unchanged load is reported again. */
const FORCED_REPORT_PERIODS = 5

/** Reports the server's load to all entries if it changed or a report is due. */
export function reportChanges(agent: AgentProcess): void {
	if (!agent.requests) return
	const { load, serviceMs, stepShare, heldMs } = readLoad(agent.requests)
	const loadKey = `${load} ${serviceMs.toFixed(0)} ${stepShare.toFixed(2)} ${heldMs}`
	agent.reportPeriods++
	if (
		loadKey === agent.lastReportedLoad &&
		agent.reportPeriods % FORCED_REPORT_PERIODS !== 0
	)
		return
	agent.lastReportedLoad = loadKey
	pushReports(agent)
}

/** Reports the server's load to all entries. */
export function pushReports(agent: AgentProcess): void {
	for (const link of agent.links) pushReport(agent, link)
}

/** Returns the server's state for reports; undefined without a configuration. */
export function readServerState(
	table: RequestTable | undefined,
): Report['state'] | undefined {
	if (!table) return undefined
	const { serverLeaves, mode } = table.admission
	return serverLeaves ? 'leaving' : mode
}

/** Reports the server's load to one entry, once the entry has sent its name. */
export function pushReport(agent: AgentProcess, link: RpcLink): void {
	const table = agent.requests
	if (!table || link.remoteName === '') return
	const report: Report = {
		server: table.serverName,
		incarnation: agent.incarnation,
		state: readServerState(table) ?? 'leaving',
		slots: table.admission.slots,
		revision: activeRevision(agent.follower),
		...readLoad(table),
	}
	notify(link, 'report', report)
}
