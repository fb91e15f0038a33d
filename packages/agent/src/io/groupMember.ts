/** State of one rank's agent in a group, and its links to the other ranks' agents. */

import type {
	Config,
	ExpertEstimate,
	GroupConfig,
	MapCoordinatorState,
} from '@juniperhook/core'
import { splitAddress } from '@juniperhook/core'
import type { RpcLink } from '@juniperhook/runtime'
import { call, connectRpc } from '@juniperhook/runtime'
import type { EngineReport } from './engine.ts'
import type { RankPort } from './rankPort.ts'

const CALL_TIMEOUT_MS = 1_000

/** State of one rank's agent in a group. */
export interface GroupMember {
	readonly name: string
	readonly rank: number
	readonly port: RankPort
	readonly controlPort: number
	readonly coordinator: MapCoordinatorState
	readonly fenceId: number
	readonly links: Map<string, RpcLink>
	readonly estimate: ExpertEstimate
	config: Config
	group: GroupConfig
	report: EngineReport | undefined
	/** Tokens reported by each rank at the last planning. */
	lastCounts: Float64Array[] | undefined
	inDoubtSince: number | undefined
	plannedAt: number
	/** Whether ranks were found to use different maps in one step. */
	split: boolean
	/** Summary of the last plan, for operators. */
	lastPlan: PlanSummary
}

/** The planned loads of one layer with their benefit and cost. */
export interface LayerSummary {
	readonly layer: number
	/** Expert loads as `expert>rank`. */
	readonly loads: readonly string[]
	readonly skewBefore: number
	readonly skewAfter: number
	readonly benefitMs: number
	readonly costMs: number
}

/** Summary of a plan over all layers. */
export interface PlanSummary {
	/** The layers with the largest net benefit. */
	readonly layers: readonly LayerSummary[]
	readonly loads: number
	readonly skewBefore: number
	readonly skewAfter: number
	/** Benefit and cost, in ms of the group's capacity. */
	readonly benefitMs: number
	readonly costMs: number
}

/** Calls an RPC method of the agent beside the server `name`. */
export async function callAgent<T>(
	member: GroupMember,
	name: string,
	method: string,
	params: object,
	timeoutMs = CALL_TIMEOUT_MS,
): Promise<T> {
	const link = member.links.get(name) ?? (await connect(member, name))
	return await call<T>(link, method, params, timeoutMs)
}

async function connect(member: GroupMember, name: string): Promise<RpcLink> {
	const server = member.config.server[name]
	if (!server) throw new Error(`server ${name} is not configured`)
	const { ip } = splitAddress(server.agent)
	const link = await connectRpc(`${ip}:${member.controlPort}`, {})
	member.links.get(name)?.socket.destroy()
	member.links.set(name, link)
	link.socket.once('close', () => {
		if (member.links.get(name) === link) member.links.delete(name)
	})
	return link
}
