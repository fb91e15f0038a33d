/** What an entry has observed of answers' lengths and of its groups' pace. */

import type {
	AnswerLengths,
	GroupPace,
	StreamPace,
	TrafficService,
} from '@juniperhook/core'
import {
	beginStreamPace,
	createAnswerLengths,
	createGroupPace,
	endStreamPace,
	isStatedTokens,
	recordAnswerLength,
	recordStreamEvent,
	resetPace,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { featuresOf } from './features.ts'
import { groupOf } from './fleet.ts'
import type { Job } from './job.ts'
import type { Send } from './send.ts'

/** Observations of work; see the maps' values. */
export interface WorkState {
	/** By service. */
	readonly lengths: Map<string, AnswerLengths>
	/** By lock-step group. */
	readonly paces: Map<string, GroupPace>
	/** Groups whose pace was far above the usual one when last reported. */
	readonly slowed: Set<string>
	/** When paces were last reported, ms. */
	reportedAt: number
}

/** Work of one send. */
export interface SentWork {
	readonly serverId: string
	readonly promptTokens: number
	/** Whether its server has read the prompt, or never will. */
	isRead: boolean
	/** Only of a stream of a lock-step group. */
	readonly pace: GroupPace | undefined
	readonly stream: StreamPace | undefined
}

/** Creates the state of an entry that has observed nothing. */
export function createWorkState(): WorkState {
	return {
		lengths: new Map(),
		paces: new Map(),
		slowed: new Set(),
		reportedAt: 0,
	}
}

/** Returns the service and its engine if its requests are weighed by their work. */
export function weighedEngineOf(
	{ features, routes }: Pick<GatewayContext, 'features' | 'routes'>,
	service: string,
): TrafficService['engine'] {
	if (!featuresOf(features, service).work) return undefined
	return routes?.services.get(service)?.engine
}

/** Returns the lengths of a service's answers, creating the record on first use. */
export function lengthsOf(work: WorkState, service: string): AnswerLengths {
	const known = work.lengths.get(service)
	if (known) return known
	const lengths = createAnswerLengths()
	work.lengths.set(service, lengths)
	return lengths
}

/** Records that a request is sent; undefined if its work is not weighed. */
export function beginWork(
	ctx: GatewayContext,
	{ request, service }: Job,
	server: Send['server'],
): SentWork | undefined {
	const engine = weighedEngineOf(ctx, service)
	if (!engine) return undefined
	const { promptTokens: stated } = request.size
	const promptTokens = isStatedTokens(stated)
		? stated
		: engine.usualPromptTokens
	addUnread(ctx, server.id, promptTokens)
	const isObserved = request.route.kind === 'stream' && engine.experts
	const pace = isObserved ? paceOf(ctx.work, groupOf(server)) : undefined
	return {
		serverId: server.id,
		promptTokens,
		isRead: false,
		pace,
		stream: pace && beginStreamPace(pace, readNow()),
	}
}

/** Records an event of a stream: its prompt has been read. */
export function recordWorkEvent(ctx: GatewayContext, work: SentWork): void {
	markRead(ctx, work)
	const { pace, stream } = work
	if (pace && stream) recordStreamEvent(pace, stream, readNow())
}

/** Records the end of a send. */
export function endWork(ctx: GatewayContext, work: SentWork): void {
	markRead(ctx, work)
	const { pace, stream } = work
	if (pace && stream) endStreamPace(pace, stream, readNow())
}

/** Records a complete answer that this entry has relayed from its first event on. */
export function recordAnswer(ctx: GatewayContext, job: Job): void {
	const engine = weighedEngineOf(ctx, job.service)
	const { size, lastEventId } = job.request
	if (!engine || lastEventId !== undefined) return
	const lengths = lengthsOf(ctx.work, job.service)
	recordAnswerLength(lengths, size, engine, job.eventsRelayed)
}

/** Forgets the pace of a group that has broken or opened. */
export function forgetPace(ctx: GatewayContext, group: string): void {
	const pace = ctx.work.paces.get(group)
	if (pace) resetPace(pace)
}

function paceOf({ paces }: WorkState, group: string): GroupPace {
	const known = paces.get(group)
	if (known) return known
	const pace = createGroupPace()
	paces.set(group, pace)
	return pace
}

function markRead(ctx: GatewayContext, work: SentWork): void {
	if (work.isRead) return
	work.isRead = true
	addUnread(ctx, work.serverId, -work.promptTokens)
}

function addUnread(
	{ fleet: { table } }: GatewayContext,
	serverId: string,
	tokens: number,
): void {
	const row = table.rowOf.get(serverId)
	if (row === undefined) return
	table.unreadTokens[row] = Math.max(0, table.unreadTokens[row]! + tokens)
}
