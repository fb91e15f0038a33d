/**
 * Notices that a server has ended, and which requests it was running. A connection
 * that breaks says little: servers also break off single answers, and the ranks of a
 * group that stands still cut theirs. Whether a process still listens there tells.
 */

import { connect } from 'node:net'
import type { ListedServer } from '@juniperhook/core'
import { MAX_REQUESTS_PER_CRASH, splitAddress } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { handleRankCrash, standsStill } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import type { CrashCheck } from './crashDetectorState.ts'
import { recordServerEnd } from './quarantineGate.ts'
import { listInFlight } from './sentRequests.ts'

/** Servers that are asked at the same time; each takes one round trip. */
const MAX_PROBES = 4
/** A server that does not say whether a process listens is asked again, ms. */
const PROBE_MS = 250
const MAX_TRIES = 3
/**
 * What stays unclear is settled by the list, in which a server that has ended
 * stays for three of its heartbeats; some seconds, ms.
 */
const DOUBT_MS = 6_000
/** After a suspected request was left at a server, ms; within what is remembered. */
const LEFT_LOOK_MS = 900
/** Servers in doubt at the same time; more than fail with a data centre. */
const MAX_DOUBTS = 512

/** How it is known that a server has ended. */
export type EndWitness = 'refused' | 'list'

/**
 * Notes that a server closed a connection before its answer was whole. Nothing is
 * asked of the ranks of a group that is known to stand still: each entry would open a
 * connection to every rank.
 */
export function recordBrokenConnection(
	ctx: GatewayContext,
	server: ListedServer,
): void {
	if (standsStill(ctx, server)) return
	const { checks: doubts, queue } = ctx.crashDetector
	const running = listInFlight(ctx.sentRequests, server.id)
	const known = doubts.get(server.id)
	if (!known && doubts.size >= MAX_DOUBTS) return
	const doubt = known ?? createDoubt(ctx, server)
	for (const one of running) doubt.inFlight.set(one.id, one)
	if (known) return
	doubts.set(server.id, doubt)
	queue.push(server.id)
	askNext(ctx)
}

/**
 * Looks later whether a server has ended under a request that this entry left there:
 * no connection of its own will tell. Only for requests that are suspected already.
 */
export function scheduleCrashCheck(
	ctx: GatewayContext,
	server: ListedServer,
): void {
	setTimeout(() => recordBrokenConnection(ctx, server), LEFT_LOOK_MS).unref()
}

function createDoubt(
	{ list }: GatewayContext,
	server: ListedServer,
): CrashCheck {
	let settle = () => {}
	const settled = new Promise<void>(resolve => {
		settle = resolve
	})
	return {
		server,
		at: readElapsed(),
		hadLeft: list.departed.has(server.id),
		inFlight: new Map(),
		tries: 0,
		resolved: settled,
		resolve: settle,
	}
}

function askNext(ctx: GatewayContext): void {
	const { crashDetector: ends } = ctx
	while (ends.probing < MAX_PROBES) {
		const id = ends.queue.shift()
		if (id === undefined) return
		const doubt = ends.checks.get(id)
		if (!doubt) continue
		ends.probing++
		void probe(doubt.server.address).then(listens => {
			ends.probing--
			judgeProbe(ctx, doubt, listens)
			askNext(ctx)
		})
	}
}

/** Whether a process listens at an address. */
type Listens = 'yes' | 'no' | 'unclear'

function probe(address: string): Promise<Listens> {
	const { ip, port } = splitAddress(address)
	return new Promise(resolve => {
		const socket = connect({ host: ip, port })
		const settleWith = (listens: Listens) => {
			clearTimeout(timer)
			socket.destroy()
			resolve(listens)
		}
		const timer = setTimeout(() => settleWith('unclear'), PROBE_MS)
		socket.on('connect', () => settleWith('yes'))
		socket.on('error', (err: NodeJS.ErrnoException) =>
			settleWith(err.code === 'ECONNREFUSED' ? 'no' : 'unclear'),
		)
	})
}

function judgeProbe(
	ctx: GatewayContext,
	doubt: CrashCheck,
	listens: Listens,
): void {
	const { checks: doubts, inconclusive: answered, queue } = ctx.crashDetector
	const { id } = doubt.server
	if (doubts.get(id) !== doubt) return
	switch (listens) {
		case 'yes':
			doubts.delete(id)
			if (!answered.has(id)) answered.set(id, doubt)
			doubt.resolve()
			return
		case 'no':
			believeEnd(ctx, doubt, 'refused')
			return
		case 'unclear':
			doubt.tries++
			if (doubt.tries < MAX_TRIES) queue.push(id)
			else doubt.resolve()
			return
		default:
			listens satisfies never
	}
}

/**
 * Settles doubts by a list that no longer names a server's life, though it had not said
 * that it leaves. One that says so later has lived on.
 */
export function settleByList(ctx: GatewayContext): void {
	const { crashDetector: ends, list } = ctx
	for (const [id, doubt] of [...ends.inconclusive, ...ends.checks]) {
		const listed = list.records.get(doubt.server.name)?.server
		const isListed = listed?.id === id
		if (isListed && listed.leaving) dropDoubt(ctx, doubt)
		else if (!isListed && !doubt.hadLeft) believeEnd(ctx, doubt, 'list')
	}
}

function dropDoubt(
	{ crashDetector: ends }: GatewayContext,
	{ server, resolve: settle }: CrashCheck,
): void {
	ends.checks.delete(server.id)
	ends.inconclusive.delete(server.id)
	settle()
}

/** Forgets doubts that nothing has settled. */
export function expireCrashChecks(ctx: GatewayContext): void {
	const now = readElapsed()
	for (const some of [ctx.crashDetector.checks, ctx.crashDetector.inconclusive])
		for (const [id, { at }] of some) if (now - at >= DOUBT_MS) some.delete(id)
}

/** Notes that a server gave a whole answer: it has not ended before. */
export function recordServerAlive(
	{ crashDetector: ends }: GatewayContext,
	server: string,
): void {
	ends.inconclusive.delete(server)
}

/** Waits until it is known whether a server that broke off has ended. */
export async function awaitCrashCheck(
	{ crashDetector: ends }: GatewayContext,
	server: string,
): Promise<void> {
	await ends.checks.get(server)?.resolved
}

function believeEnd(
	ctx: GatewayContext,
	doubt: CrashCheck,
	witness: EndWitness,
): void {
	const { server, at } = doubt
	dropDoubt(ctx, doubt)
	const running = [...doubt.inFlight.values()]
		.sort((a, b) => b.since - a.since)
		.slice(0, MAX_REQUESTS_PER_CRASH)
	ctx.metrics.serverEnds.inc({ witness })
	ctx.log.write('server ended', {
		server: server.id,
		address: server.address,
		witness,
		agoMs: Math.round(readElapsed() - at),
		requests: running.map(one => one.id),
		fingerprints: [...new Set(running.map(one => one.fingerprint))],
	})
	recordServerEnd(ctx, server.id, at, running)
	if (witness === 'refused') handleRankCrash(ctx, server)
}
