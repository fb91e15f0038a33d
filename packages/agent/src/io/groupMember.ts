/** One rank's agent in a group, and its links to the other ranks' agents. */

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

const CALL_MS = 1_000

/** One rank's agent in a group. */
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
	/** Tokens a rank had reported at the last plan. */
	counted: Float64Array[] | undefined
	doubtSince: number | undefined
	plannedAt: number
	/** Whether ranks were seen on different maps in one step. */
	split: boolean
	/** What the last plan wanted, for operators. */
	wish: PlanWish
}

/** What a plan wants in one layer, and why. */
export interface LayerWish {
	readonly layer: number
	/** Loads as `expert>rank`. */
	readonly loads: readonly string[]
	readonly skewBefore: number
	readonly skewAfter: number
	readonly benefitMs: number
	readonly costMs: number
}

/** A plan in figures. */
export interface PlanWish {
	/** The layers that gain most. */
	readonly layers: readonly LayerWish[]
	readonly loads: number
	readonly skewBefore: number
	readonly skewAfter: number
	/** Worth and cost, ms of the group's capacity. */
	readonly benefitMs: number
	readonly costMs: number
}

/** Calls a method of the agent beside the server `name`. */
export async function ask<T>(
	member: GroupMember,
	name: string,
	method: string,
	params: object,
	limitMs = CALL_MS,
): Promise<T> {
	const link = member.links.get(name) ?? (await connect(member, name))
	return await call<T>(link, method, params, limitMs)
}

async function connect(member: GroupMember, name: string): Promise<RpcLink> {
	const server = member.config.server[name]
	if (!server) throw new Error(`no server ${name}`)
	const { ip } = splitAddress(server.agent)
	const link = await connectRpc(`${ip}:${member.controlPort}`, {})
	member.links.get(name)?.socket.destroy()
	member.links.set(name, link)
	link.socket.once('close', () => {
		if (member.links.get(name) === link) member.links.delete(name)
	})
	return link
}
