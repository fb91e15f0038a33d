/**
 * Notices that a server has ended, and which requests it was running. A connection
 * that breaks says little: servers also break off single answers, and the ranks of a
 * group that stands still cut theirs. Whether a process still listens there tells.
 */

import { connect } from 'node:net'
import type { ListedServer } from '@juniperhook/core'
import { MAX_NAMED, splitAddress } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { isGroupStalled, noteRankGone } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import type { Doubt } from './endWatch.ts'
import { noteServerCrash } from './quarantineGate.ts'
import { listRunning } from './runs.ts'

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
export type CrashWitness = 'refused' | 'list'

/**
 * Notes that a server closed a connection before its answer was whole. Nothing is
 * asked of the ranks of a group that is known to stand still: each entry would open a
 * connection to every rank.
 */
export function noteBroken(ctx: GatewayContext, server: ListedServer): void {
	if (isGroupStalled(ctx, server)) return
	const { doubts, queue } = ctx.ends
	const running = listRunning(ctx.runs, server.id)
	const known = doubts.get(server.id)
	if (!known && doubts.size >= MAX_DOUBTS) return
	const doubt = known ?? createDoubt(ctx, server)
	for (const one of running) doubt.running.set(one.id, one)
	if (known) return
	doubts.set(server.id, doubt)
	queue.push(server.id)
	askNext(ctx)
}

/**
 * Looks later whether a server has ended under a request that this entry left there:
 * no connection of its own will tell. Only for requests that are suspected already.
 */
export function watchLeft(ctx: GatewayContext, server: ListedServer): void {
	setTimeout(() => noteBroken(ctx, server), LEFT_LOOK_MS).unref()
}

function createDoubt({ list }: GatewayContext, server: ListedServer): Doubt {
	let settle = () => {}
	const settled = new Promise<void>(resolve => {
		settle = resolve
	})
	return {
		server,
		at: readElapsed(),
		hadLeft: list.left.has(server.id),
		running: new Map(),
		tries: 0,
		settled,
		settle,
	}
}

function askNext(ctx: GatewayContext): void {
	const { ends } = ctx
	while (ends.probing < MAX_PROBES) {
		const id = ends.queue.shift()
		if (id === undefined) return
		const doubt = ends.doubts.get(id)
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

function judgeProbe(ctx: GatewayContext, doubt: Doubt, listens: Listens): void {
	const { doubts, answered, queue } = ctx.ends
	const { id } = doubt.server
	if (doubts.get(id) !== doubt) return
	switch (listens) {
		case 'yes':
			doubts.delete(id)
			if (!answered.has(id)) answered.set(id, doubt)
			doubt.settle()
			return
		case 'no':
			believeEnd(ctx, doubt, 'refused')
			return
		case 'unclear':
			doubt.tries++
			if (doubt.tries < MAX_TRIES) queue.push(id)
			else doubt.settle()
			return
		default:
			listens satisfies never
	}
}

/**
 * Settles doubts by a list that no longer names a server's life, though it had not said
 * that it leaves. One that says so later has lived on.
 */
export function resolveChecksByList(ctx: GatewayContext): void {
	const { ends, list } = ctx
	for (const [id, doubt] of [...ends.answered, ...ends.doubts]) {
		const listed = list.records.get(doubt.server.name)?.server
		const isListed = listed?.id === id
		if (isListed && listed.leaving) dropDoubt(ctx, doubt)
		else if (!isListed && !doubt.hadLeft) believeEnd(ctx, doubt, 'list')
	}
}

function dropDoubt({ ends }: GatewayContext, { server, settle }: Doubt): void {
	ends.doubts.delete(server.id)
	ends.answered.delete(server.id)
	settle()
}

/** Forgets doubts that nothing has settled. */
export function forgetDoubts(ctx: GatewayContext): void {
	const now = readElapsed()
	for (const some of [ctx.ends.doubts, ctx.ends.answered])
		for (const [id, { at }] of some) if (now - at >= DOUBT_MS) some.delete(id)
}

/** Notes that a server gave a whole answer: it has not ended before. */
export function noteAlive({ ends }: GatewayContext, server: string): void {
	ends.answered.delete(server)
}

/** Waits until it is known whether a server that broke off has ended. */
export async function awaitDoubt(
	{ ends }: GatewayContext,
	server: string,
): Promise<void> {
	await ends.doubts.get(server)?.settled
}

function believeEnd(
	ctx: GatewayContext,
	doubt: Doubt,
	witness: CrashWitness,
): void {
	const { server, at } = doubt
	dropDoubt(ctx, doubt)
	const running = [...doubt.running.values()]
		.sort((a, b) => b.since - a.since)
		.slice(0, MAX_NAMED)
	ctx.metrics.serverEnds.inc({ witness })
	ctx.log.write('server ended', {
		server: server.id,
		address: server.address,
		witness,
		agoMs: Math.round(readElapsed() - at),
		requests: running.map(one => one.id),
		fingerprints: [...new Set(running.map(one => one.fingerprint))],
	})
	noteServerCrash(ctx, server.id, at, running)
	if (witness === 'refused') noteRankGone(ctx, server)
}
