/** Calls of the process tests, as callers make them. */

import { randomBytes } from 'node:crypto'
import { existsSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { makeKey } from '@juniperhook/core'
import type { Fleet } from '@juniperhook/fakes'
import { entryIp, PORTS, RUNS_FILE, TEAM_KEY } from '@juniperhook/fakes'
import { Agent, request } from 'undici'

const KEY_BYTES = 16
const dispatcher = new Agent({ headersTimeout: 120_000, bodyTimeout: 120_000 })

/** Outcome of a call for its caller; `cut` if the connection broke. */
export type CallResult = 'answered' | 'notRun' | 'unknown' | 'cut'

/** Answer to a call. */
export interface CallAnswer {
	readonly ref: string
	readonly result: CallResult
	readonly status: number
	readonly body: string
	readonly tookMs: number
	/** `Retry-After`, seconds. */
	readonly retryAfter?: string | undefined
}

/** Creates a time-ordered key. */
export function newKey(): string {
	return makeKey(Date.now(), randomBytes(KEY_BYTES))
}

/** Makes a booking at entry `n`; with `key`, it can be repeated. */
export async function book(
	fleet: Fleet,
	n: number,
	ref: string,
	key?: string,
	query = '',
): Promise<CallAnswer> {
	const started = performance.now()
	const url = `http://${entryIp(fleet, n)}:${PORTS.data}/services/huts/bookings/${ref}${query}`
	const took = () => performance.now() - started
	try {
		const res = await request(url, {
			method: 'POST',
			headers: {
				authorization: `Bearer ${TEAM_KEY}`,
				...(key && { 'idempotency-key': key }),
			},
			body: '{}',
			dispatcher,
		})
		const body = await res.body.text()
		const result = resultOf(res.headers['x-request-outcome'])
		return { ref, result, status: res.statusCode, body, tookMs: took() }
	} catch {
		return { ref, result: 'cut', status: 0, body: '', tookMs: took() }
	}
}

/** Requests a roster at entry `n`. */
export async function requestRoster(
	fleet: Fleet,
	n: number,
	query = '',
	extraHeaders: Record<string, string> = {},
): Promise<CallAnswer> {
	const url = `http://${entryIp(fleet, n)}:${PORTS.data}/services/huts/rosters/pine${query}`
	const started = performance.now()
	try {
		const headers = { authorization: `Bearer ${TEAM_KEY}`, ...extraHeaders }
		const res = await request(url, { headers, dispatcher })
		const body = await res.body.text()
		const result = resultOf(res.headers['x-request-outcome'])
		const tookMs = performance.now() - started
		const retryAfter = res.headers['retry-after']?.toString()
		const { statusCode: status } = res
		return { ref: 'pine', result, status, body, tookMs, retryAfter }
	} catch {
		const tookMs = performance.now() - started
		return { ref: 'pine', result: 'cut', status: 0, body: '', tookMs }
	}
}

/** Streams `tokens` tokens from the group; returns the text of all events. */
export async function streamChat(
	fleet: Fleet,
	n: number,
	tokens: number,
	onFirst: () => void = () => {},
): Promise<string> {
	const url = `http://${entryIp(fleet, n)}:${PORTS.data}/v1/chat/completions`
	const res = await request(url, {
		method: 'POST',
		headers: { authorization: `Bearer ${TEAM_KEY}` },
		body: JSON.stringify({
			model: 'writer',
			stream: true,
			max_tokens: tokens,
			messages: [{ role: 'user', content: `${Math.random()}` }],
		}),
		dispatcher,
	})
	let text = ''
	try {
		for await (const chunk of res.body) {
			if (text === '') onFirst()
			text += chunk
		}
	} catch {
		return `${text}(cut)`
	}
	return text
}

/** Returns the tokens of a stream in the order received. */
export function tokensOf(text: string): number[] {
	return [...text.matchAll(/"content":"t(\d+) "/g)].map(m => Number(m[1]))
}

/** Counts how often each booking ran, over all incarnations of all plain backends. */
export function countRuns(fleet: Fleet): Map<string, number> {
	const runs = new Map<string, number>()
	const path = join(fleet.folder, RUNS_FILE)
	if (!existsSync(path)) return runs
	for (const ref of readFileSync(path, 'utf8').split('\n'))
		if (ref !== '') runs.set(ref, (runs.get(ref) ?? 0) + 1)
	return runs
}

function resultOf(outcome: unknown): CallResult {
	if (outcome === 'notRun' || outcome === 'unknown') return outcome
	return 'answered'
}
