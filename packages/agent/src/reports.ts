/** Reports of a server's load to entries that no answer has told of it. */

import type { Report, RpcLink } from '@juniperhook/runtime'
import { notify, activeRevision } from '@juniperhook/runtime'
import type { AgentProcess } from './agentState.ts'
import type { RequestTable } from './io/requestTable.ts'
import { readLoad } from './io/requestTable.ts'

/** A report that says nothing new is sent once in so many periods. */
const REPORT_ANYWAY = 5

/** Tells entries how loaded the server is, if that is news or long ago. */
export function reportChanges(agent: AgentProcess): void {
	if (!agent.requests) return
	const { load, serviceMs, stepShare, heldMs } = readLoad(agent.requests)
	const said = `${load} ${serviceMs.toFixed(0)} ${stepShare.toFixed(2)} ${heldMs}`
	agent.periods++
	if (said === agent.lastSaid && agent.periods % REPORT_ANYWAY !== 0) return
	agent.lastSaid = said
	pushReports(agent)
}

/** Tells all entries how loaded the server is. */
export function pushReports(agent: AgentProcess): void {
	for (const link of agent.links) pushReport(agent, link)
}

/** What entries are told of the server's state; undefined without a configuration. */
export function stateOf(
	table: RequestTable | undefined,
): Report['state'] | undefined {
	if (!table) return undefined
	const { serverLeaves, mode } = table.admission
	return serverLeaves ? 'leaving' : mode
}

/** Tells one entry how loaded the server is, once it has named itself. */
export function pushReport(agent: AgentProcess, link: RpcLink): void {
	const table = agent.requests
	if (!table || link.remoteName === '') return
	const report: Report = {
		server: table.serverName,
		incarnation: agent.incarnation,
		state: stateOf(table) ?? 'leaving',
		slots: table.admission.slots,
		revision: activeRevision(agent.follower),
		...readLoad(table),
	}
	notify(link, 'report', report)
}
