/** Mixed load for a limited time: streamed chat, rosters and bookings. */

import { randomBytes } from 'node:crypto'
import { createRandom, makeKey, randomIndex } from '@juniperhook/core'
import { PORTS, TEAM_KEY } from '@juniperhook/fakes'
import { build, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'

const MS = 1_000
const MICROS_PER_MS = 1_000
const KEY_BYTES = 16
const TICK_MS = 5
const MAX_TOKENS = 24
const dispatcher = new Agent({ connections: 64, pipelining: 1 })

/** Rates of the load, and the processes that receive it. */
export interface LoadOptions {
	/** IPs of the entries. */
	readonly entries: readonly string[]
	/** IP of a backend server that is also called directly, for comparison. */
	readonly directService: string
	readonly seconds: number
	readonly seed: number
	readonly chatPerSecond: number
	readonly rostersPerSecond: number
	readonly bookingsPerSecond: number
	readonly onProgress: (line: string) => void
	readonly readGroup: () => Promise<Record<string, number>>
}

/** Kinds of requests; the report has a row for each. */
export const LOAD_KINDS = ['chat', 'roster', 'booking', 'direct'] as const
/** One of {@link LOAD_KINDS}. */
export type LoadKind = (typeof LOAD_KINDS)[number]

/** Counts of one kind of request; latencies in microseconds. */
export interface LoadRow {
	sent: number
	answered: number
	notRun: number
	unknown: number
	readonly latency: Histogram
}

/** Result of the load. */
export interface LoadReport {
	readonly rows: Record<LoadKind, LoadRow>
	readonly skewBefore: number
	readonly skewAfterStorm: number
	readonly skewEnd: number
	/** Number of map changes in the group. */
	readonly changes: number
	readonly violations: number
	unaccounted: number
}

function createRow(): LoadRow {
	return { sent: 0, answered: 0, notRun: 0, unknown: 0, latency: build() }
}

/** Sends the load and waits for all answers. */
export async function runLoad(options: LoadOptions): Promise<LoadReport> {
	const rows: Record<LoadKind, LoadRow> = {
		chat: createRow(),
		roster: createRow(),
		booking: createRow(),
		direct: createRow(),
	}
	const random = createRandom(options.seed)
	const pending = new Set<Promise<void>>()
	const launch = (kind: LoadKind) => {
		const ip = options.entries[randomIndex(random, options.entries.length)]!
		const sent = send(rows[kind], kind, ip, options).finally(() =>
			pending.delete(sent),
		)
		pending.add(sent)
	}
	const skews = await driveRates(options, launch, rows)
	await Promise.allSettled(pending)
	const group = await options.readGroup()
	const unaccounted = LOAD_KINDS.reduce((sum, kind) => {
		const { sent, answered, notRun, unknown } = rows[kind]
		return sum + sent - answered - notRun - unknown
	}, 0)
	return {
		rows,
		skewBefore: skews[0] ?? 1,
		skewAfterStorm: Math.max(...skews),
		skewEnd: group.skew ?? 1,
		changes: (group.switches ?? 0) / (group.ranks ?? 1),
		violations: group.violations ?? 0,
		unaccounted,
	}
}

async function driveRates(
	options: LoadOptions,
	launch: (kind: LoadKind) => void,
	rows: Record<LoadKind, LoadRow>,
): Promise<number[]> {
	const rates: [LoadKind, number][] = [
		['chat', options.chatPerSecond],
		['roster', options.rostersPerSecond],
		['booking', options.bookingsPerSecond],
		['direct', options.rostersPerSecond],
	]
	const sentByRow = rates.map(() => 0)
	const skews: number[] = []
	const start = performance.now()
	let reported = 0
	for (;;) {
		const elapsed = performance.now() - start
		if (elapsed >= options.seconds * MS) return skews
		for (const [row, [kind, rate]] of rates.entries())
			while (sentByRow[row]! < (elapsed / MS) * rate) {
				sentByRow[row]!++
				launch(kind)
			}
		if (elapsed / MS >= reported + 2) {
			reported += 2
			const { skew = 1, switches = 0, ranks = 1 } = await options.readGroup()
			skews.push(skew)
			options.onProgress(progressLine(reported, rows, skew, switches / ranks))
		}
		await new Promise(resolve => setTimeout(resolve, TICK_MS))
	}
}

function progressLine(
	seconds: number,
	rows: Record<LoadKind, LoadRow>,
	skew: number,
	changes: number,
): string {
	const answered = LOAD_KINDS.reduce(
		(sum, kind) => sum + rows[kind].answered,
		0,
	)
	return `${String(seconds).padStart(4)} s  answered ${answered}  skew ${skew.toFixed(2)}  map changes ${changes}`
}

async function send(
	row: LoadRow,
	kind: LoadKind,
	entry: string,
	options: LoadOptions,
): Promise<void> {
	row.sent++
	const started = performance.now()
	try {
		const res = await call(kind, entry, options)
		const text = await res.body.text()
		row.latency.recordValue(
			Math.round((performance.now() - started) * MICROS_PER_MS),
		)
		const outcome = res.headers['x-request-outcome']
		const complete = kind !== 'chat' || text.includes('[DONE]')
		if (outcome === 'notRun') row.notRun++
		else if (outcome === 'unknown' || !complete) row.unknown++
		else row.answered++
	} catch {
		row.unknown++
	}
}

function call(kind: LoadKind, entry: string, options: LoadOptions) {
	const headers = { authorization: `Bearer ${TEAM_KEY}` }
	const base = `http://${entry}:${PORTS.data}`
	switch (kind) {
		case 'chat':
			return request(`${base}/v1/chat/completions`, {
				method: 'POST',
				headers: { ...headers, 'content-type': 'application/json' },
				body: JSON.stringify({
					model: 'writer',
					stream: true,
					max_tokens: MAX_TOKENS,
					messages: [{ role: 'user', content: 'Write an itinerary note.' }],
				}),
				dispatcher,
			})
		case 'roster':
			return request(`${base}/services/huts/rosters/pine`, {
				headers,
				dispatcher,
			})
		case 'booking': {
			const key = makeKey(Date.now(), randomBytes(KEY_BYTES))
			return request(`${base}/services/huts/bookings/${key}`, {
				method: 'POST',
				headers: { ...headers, 'idempotency-key': key },
				body: '{"bunks":1}',
				dispatcher,
			})
		}
		case 'direct': {
			const url = `http://${options.directService}:${PORTS.backend}`
			return request(`${url}/rosters/pine`, { dispatcher })
		}
		default:
			return kind satisfies never
	}
}
