/**
 * Detects server crashes and the requests in flight at that time. A broken connection
 * alone proves nothing: servers also abort single answers, and the ranks of a stalled
 * group close theirs. Therefore a probe checks whether a process still listens at the
 * server's address.
 */

import { connect } from 'node:net'
import type { ListedServer } from '@juniperhook/core'
import { MAX_REQUESTS_PER_CRASH, splitAddress } from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import { handleRankCrash, stalledForMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'
import type { CrashCheck } from './crashDetectorState.ts'
import { recordServerCrash } from './crashEvidence.ts'
import { listInFlight } from './sentRequests.ts'

/** Maximum number of concurrent probes; each takes one round trip. */
const MAX_PROBES = 4
/** Timeout of a probe, ms, and the maximum number of inconclusive probes per check. */
const PROBE_TIMEOUT_MS = 250
const MAX_ATTEMPTS = 3
/**
 * How long an inconclusive check waits for the server list, ms. A crashed server stays
 * listed for three heartbeats, some seconds.
 */
const CHECK_TIMEOUT_MS = 6_000
/**
 * Delay between abandoning a suspected request and the check of its server, ms; shorter
 * than the retention of abandoned requests.
 */
const ABANDONED_CHECK_MS = 900
/** Maximum number of concurrent checks; exceeds the servers lost with a data centre. */
const MAX_CHECKS = 512

/** Evidence of a crash: a refused connection, or the server list. */
export type CrashWitness = 'refused' | 'list'

/**
 * Starts a crash check for a server that closed a connection before its answer was
 * complete. Ranks of a group known to be stalled are not probed: each entry would open
 * a connection to every rank. A request sent to a stalled group is an exception: the group
 * may have opened, and the request may have crashed its rank.
 */
export function recordBrokenConnection(
	ctx: GatewayContext,
	server: ListedServer,
): void {
	const { checks, queue } = ctx.crashDetector
	const inFlight = listInFlight(ctx.sentRequests, server.id)
	const stalledMs = stalledForMs(ctx, server)
	const now = readElapsed()
	if (stalledMs > 0 && inFlight.every(({ since }) => now - since > stalledMs))
		return
	const known = checks.get(server.id)
	if (!known && checks.size >= MAX_CHECKS) return
	const check = known ?? createCheck(ctx, server)
	for (const one of inFlight) check.inFlight.set(one.id, one)
	if (known) return
	checks.set(server.id, check)
	queue.push(server.id)
	probeNext(ctx)
}

/**
 * Schedules a crash check for a server at which this entry abandoned a request: no
 * connection is left that would break. Used only for requests already under suspicion.
 */
export function scheduleCrashCheck(
	ctx: GatewayContext,
	server: ListedServer,
): void {
	setTimeout(
		() => recordBrokenConnection(ctx, server),
		ABANDONED_CHECK_MS,
	).unref()
}

function createCheck(
	{ list }: GatewayContext,
	server: ListedServer,
): CrashCheck {
	let resolve = () => {}
	const resolved = new Promise<void>(resolvePromise => {
		resolve = resolvePromise
	})
	return {
		server,
		at: readElapsed(),
		hadLeft: list.departed.has(server.id),
		inFlight: new Map(),
		attempts: 0,
		resolved,
		resolve,
	}
}

function probeNext(ctx: GatewayContext): void {
	const { crashDetector } = ctx
	while (crashDetector.probing < MAX_PROBES) {
		const id = crashDetector.queue.shift()
		if (id === undefined) return
		const check = crashDetector.checks.get(id)
		if (!check) continue
		crashDetector.probing++
		void probe(check.server.address).then(result => {
			crashDetector.probing--
			applyProbe(ctx, check, result)
			probeNext(ctx)
		})
	}
}

/** Whether a process listens at an address. */
type ProbeResult = 'yes' | 'no' | 'unclear'

function probe(address: string): Promise<ProbeResult> {
	const { ip, port } = splitAddress(address)
	return new Promise(resolve => {
		const socket = connect({ host: ip, port })
		const finish = (result: ProbeResult) => {
			clearTimeout(timer)
			socket.destroy()
			resolve(result)
		}
		const timer = setTimeout(() => finish('unclear'), PROBE_TIMEOUT_MS)
		socket.on('connect', () => finish('yes'))
		socket.on('error', (err: NodeJS.ErrnoException) =>
			finish(err.code === 'ECONNREFUSED' ? 'no' : 'unclear'),
		)
	})
}

function applyProbe(
	ctx: GatewayContext,
	check: CrashCheck,
	result: ProbeResult,
): void {
	const { checks, inconclusive, queue } = ctx.crashDetector
	const { id } = check.server
	if (checks.get(id) !== check) return
	switch (result) {
		case 'yes':
			checks.delete(id)
			if (!inconclusive.has(id)) inconclusive.set(id, check)
			check.resolve()
			return
		case 'no':
			confirmCrash(ctx, check, 'refused')
			return
		case 'unclear':
			check.attempts++
			if (check.attempts < MAX_ATTEMPTS) queue.push(id)
			else check.resolve()
			return
		default:
			result satisfies never
	}
}

/**
 * Resolves checks with the server list. A server that disappeared without having
 * announced its leaving has crashed; one that is listed as leaving has not.
 */
export function resolveChecksByList(ctx: GatewayContext): void {
	const { crashDetector, list } = ctx
	for (const [id, check] of [
		...crashDetector.inconclusive,
		...crashDetector.checks,
	]) {
		const listed = list.records.get(check.server.name)?.server
		const isListed = listed?.id === id
		if (isListed && listed.leaving) closeCheck(ctx, check)
		else if (!isListed && !check.hadLeft) confirmCrash(ctx, check, 'list')
	}
}

function closeCheck(
	{ crashDetector }: GatewayContext,
	{ server, resolve }: CrashCheck,
): void {
	crashDetector.checks.delete(server.id)
	crashDetector.inconclusive.delete(server.id)
	resolve()
}

/** Drops checks that got no result. */
export function expireCrashChecks(ctx: GatewayContext): void {
	const now = readElapsed()
	for (const map of [ctx.crashDetector.checks, ctx.crashDetector.inconclusive])
		for (const [id, { at }] of map)
			if (now - at >= CHECK_TIMEOUT_MS) map.delete(id)
}

/** Records a complete answer, which proves that the server has not crashed before. */
export function recordServerAlive(
	{ crashDetector }: GatewayContext,
	server: string,
): void {
	crashDetector.inconclusive.delete(server)
}

/** Waits for the result of a server's crash check, if one is in progress. */
export async function awaitCrashCheck(
	{ crashDetector }: GatewayContext,
	server: string,
): Promise<void> {
	await crashDetector.checks.get(server)?.resolved
}

function confirmCrash(
	ctx: GatewayContext,
	check: CrashCheck,
	witness: CrashWitness,
): void {
	const { server, at } = check
	closeCheck(ctx, check)
	const inFlight = [...check.inFlight.values()]
		.sort((a, b) => b.since - a.since)
		.slice(0, MAX_REQUESTS_PER_CRASH)
	ctx.metrics.serverEnds.inc({ witness })
	ctx.log.write('server ended', {
		server: server.id,
		address: server.address,
		witness,
		agoMs: Math.round(readElapsed() - at),
		requests: inFlight.map(one => one.id),
		fingerprints: [...new Set(inFlight.map(one => one.fingerprint))],
		parts: inFlight.map(one => one.sharedParts.join(' ')),
	})
	recordServerCrash(ctx, server.id, at, inFlight)
	if (witness === 'refused') handleRankCrash(ctx, server)
}
