/** An engine's HTTP API for agents, served by the fake group. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import type { EngineOrder, OrderAnswer, RankReport } from '@juniperhook/core'
import type { FakeGroup } from '../../packages/groups/test/fakeGroup.ts'

const STATUS_OF = { done: 200, conflict: 409, fenced: 412 } as const

/** Handles an agent's call; an order that the group loses gets no response. */
export async function handleEngineCall(
	group: FakeGroup,
	engine: string,
	req: IncomingMessage,
	body: string,
	res: ServerResponse,
): Promise<void> {
	const { port } = group
	switch (`${req.method} ${req.url}`) {
		case 'GET /v1/report': {
			const report = await port.report(engine)
			reply(res, report && toWireReport(report))
			return
		}
		case 'GET /v1/picked': {
			const counts = await port.counts(engine)
			reply(res, counts && { step: group.step, ...counts })
			return
		}
		case 'GET /v1/picked?lists=1': {
			const placement = await port.placement(engine)
			const map = {
				config_version: placement?.map,
				experts: placement?.experts,
			}
			reply(res, placement && { epoch: placement.epoch, map })
			return
		}
		case 'POST /v1/order':
			replyToOrder(res, await port.order(engine, parseOrder(JSON.parse(body))))
			return
		default:
			res.writeHead(404).end()
	}
}

function replyToOrder(res: ServerResponse, answer: OrderAnswer): void {
	if (answer === 'silent') return
	res.writeHead(STATUS_OF[answer]).end()
}

function reply(res: ServerResponse, value: object | undefined): void {
	if (!value) {
		res.writeHead(503).end()
		return
	}
	res.writeHead(200, { 'Content-Type': 'application/json' })
	res.end(JSON.stringify(value))
}

function toWireReport(report: RankReport): object {
	const { armed } = report
	return {
		group: {
			name: report.group,
			epoch: report.epoch,
			rank: report.rank,
			phase: report.open ? 'open' : 'broken',
		},
		size: report.size,
		step: report.step,
		map: report.map,
		prepared: report.prepared ?? null,
		armed: armed ? { config_version: armed.version, step: armed.step } : null,
		held: report.held ?? null,
		running: report.running,
		queued: report.waiting,
		pace: report.pace,
	}
}

interface WireOrder {
	readonly operation: 'prepare' | 'arm' | 'disarm' | 'hold' | 'go'
	readonly fencing_token: number
	readonly epoch: number
	readonly config_version: number
	readonly step: number
	readonly map: number[][][]
}

function parseOrder(wire: WireOrder): EngineOrder {
	const { operation: type, epoch, step, map } = wire
	const fence = wire.fencing_token
	const version = wire.config_version
	switch (type) {
		case 'prepare':
			return { type, fence, epoch, version, map }
		case 'arm':
			return { type, fence, epoch, version, step }
		case 'disarm':
			return { type, fence, epoch, version }
		case 'hold':
		case 'go':
			return { type, fence, epoch, step }
		default:
			return type satisfies never
	}
}
