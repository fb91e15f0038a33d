/** The control interface of a model engine: its reports and the orders to it. */

import type { EngineReply, RankEngineOrder } from '@juniperhook/runtime'
import { readLimitedJson } from '@juniperhook/runtime'
import { Agent, request } from 'undici'
import * as v from 'valibot'

const CALL_TIMEOUT_MS = 2_000
/** Maximum size of an answer, bytes; the counts of 8,192 experts take a tenth of it. */
const MAX_ANSWER_BYTES = 4_194_304
const dispatcher = new Agent({
	connect: { timeout: 1_000 },
	headersTimeout: CALL_TIMEOUT_MS,
	bodyTimeout: CALL_TIMEOUT_MS,
})
/** Without timeouts, because staging waits until the weight store has sent all weights. */
const stagingDispatcher = new Agent({ headersTimeout: 0, bodyTimeout: 0 })

const count = v.pipe(v.number(), v.integer())

/** Report of an engine about itself and its group's last step. */
export const EngineReportSchema = v.object({
	generation: count,
	step: count,
	mapId: v.string(),
	/** Step since which `mapId` has been in use. */
	mapSince: count,
	/** Map committed last, whether already in force or not. */
	nextMapId: v.string(),
	/** Whether the engine waits at a gate for the decision on a change. */
	inDoubt: v.boolean(),
	joined: v.boolean(),
	stepMs: v.number(),
	meanStepMs: v.number(),
	groupStepMs: v.number(),
	/** Experts held, one list per layer. */
	slots: v.array(v.array(count)),
	/** Tokens since the start, indexed by `layer * experts + expert`. */
	tokens: v.array(v.number()),
})

/** See {@link EngineReportSchema}. */
export type EngineReport = v.InferOutput<typeof EngineReportSchema>

/** Report of a rank to the coordinator; it counts only the rank's own experts. */
export const RankReportSchema = v.object({
	generation: count,
	mapId: v.string(),
	mapSince: count,
	nextMapId: v.string(),
	joined: v.boolean(),
	groupStepMs: v.number(),
	/** Experts held, one list per layer. */
	slots: v.array(v.array(count)),
	/** Tokens since the start, in the order of `slots`. */
	counts: v.array(v.array(count)),
})

/** See {@link RankReportSchema}. */
export type RankReport = v.InferOutput<typeof RankReportSchema>

/** Reduces a report to what the coordinator needs, as it fetches those of many ranks. */
export function toRankReport(
	report: EngineReport,
	experts: number,
): RankReport {
	const { generation, mapId, mapSince, nextMapId } = report
	const { joined, groupStepMs, slots } = report
	const counts = slots.map((own, layer) =>
		own.map(expert => Math.round(report.tokens[layer * experts + expert] ?? 0)),
	)
	return {
		generation,
		mapId,
		mapSince,
		nextMapId,
		joined,
		groupStepMs,
		slots,
		counts,
	}
}

/** Fetches an engine's report. */
export async function readEngine(address: string): Promise<EngineReport> {
	const res = await request(`http://${address}/load`, { dispatcher })
	const report = await readLimitedJson(res.body, MAX_ANSWER_BYTES)
	return v.parse(EngineReportSchema, report)
}

/** Sends an order to an engine and returns its reply. */
export async function sendOrder(
	address: string,
	order: RankEngineOrder,
): Promise<EngineReply> {
	const res = await request(`http://${address}/orders`, {
		method: 'POST',
		body: JSON.stringify(order),
		dispatcher: order.order === 'stage' ? stagingDispatcher : dispatcher,
	})
	return (await readLimitedJson(res.body, MAX_ANSWER_BYTES)) as EngineReply
}
