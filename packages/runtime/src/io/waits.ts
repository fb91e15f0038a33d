/**
 * What a process needs and does not find yet, such as an address to listen on. It waits
 * and tries again; its log and its metrics say for what, and it is not ready meanwhile.
 */

import type { Registry } from 'prom-client'
import { Counter, Gauge } from 'prom-client'
import { readNow } from '../utils/clock.ts'
import type { EventLog } from '../utils/eventLog.ts'

/** What a process may have to wait for: its settings, or the address of a listener. */
export type Need =
	| 'settings'
	| 'callers'
	| 'readiness'
	| 'metrics'
	| 'control'
	| 'data'
	| 'operators'

/** A change in what a process waits for. */
export type WaitChange =
	| { readonly kind: 'begun'; readonly need: Need; readonly reason: string }
	| { readonly kind: 'ended'; readonly need: Need; readonly waitedMs: number }

/** The waits of a process. */
export interface Waits {
	/** Why each wait in progress goes on. */
	readonly reasons: Map<Need, string>
	/** Number of waits so far, by what was waited for. */
	readonly counts: Map<Need, number>
	onChange(change: WaitChange): void
}

/** Result of an attempt at something that may not be possible yet. */
export type Attempt<T> =
	| { readonly ok: true; readonly value: T }
	| { readonly ok: false; readonly reason: string }

/** Creates the record of a process that waits for nothing. */
export function createWaits(onChange: Waits['onChange']): Waits {
	return { reasons: new Map(), counts: new Map(), onChange }
}

/** Creates such a record whose changes are logged. */
export function createLoggedWaits(log: EventLog): Waits {
	return createWaits(change => {
		switch (change.kind) {
			case 'begun':
				log.write('waiting', { need: change.need, reason: change.reason })
				break
			case 'ended':
				log.write('wait ended', {
					need: change.need,
					waitedMs: change.waitedMs,
				})
				break
			default:
				change satisfies never
		}
	})
}

/**
 * Repeats an attempt every `retryMs` until it succeeds. Returns undefined if `isStopping`
 * becomes true before.
 */
export async function awaitNeed<T>(
	waits: Waits,
	need: Need,
	retryMs: number,
	isStopping: () => boolean,
	attempt: () => Promise<Attempt<T>>,
): Promise<T | undefined> {
	const startedAt = readNow()
	for (;;) {
		if (isStopping()) return undefined
		const result = await attempt()
		if (result.ok) {
			endWait(waits, need, readNow() - startedAt)
			return result.value
		}
		beginWait(waits, need, result.reason)
		// This timer keeps a process alive that has nothing else to do yet.
		await new Promise(resolve => setTimeout(resolve, retryMs))
	}
}

/** Interval of attempts to read a settings file that is missing or invalid, ms. */
const SETTINGS_RETRY_MS = 200

/** Reads a settings file until it is there and valid. */
export async function awaitValidFile<T>(
	waits: Waits,
	read: () => Attempt<T>,
): Promise<T> {
	const attempt = async () => read()
	const isStopping = () => false
	const file = await awaitNeed(
		waits,
		'settings',
		SETTINGS_RETRY_MS,
		isStopping,
		attempt,
	)
	// An attempt that is never given up ends with a value.
	return file!
}

function beginWait(waits: Waits, need: Need, reason: string): void {
	const known = waits.reasons.get(need)
	if (known === undefined)
		waits.counts.set(need, (waits.counts.get(need) ?? 0) + 1)
	waits.reasons.set(need, reason)
	if (known !== reason) waits.onChange({ kind: 'begun', need, reason })
}

function endWait(waits: Waits, need: Need, waitedMs: number): void {
	if (!waits.reasons.delete(need)) return
	waits.onChange({ kind: 'ended', need, waitedMs: Math.round(waitedMs) })
}

/** Registers the metrics of a process's waits. */
export function registerWaits(registry: Registry, waits: Waits): void {
	const labelNames = ['need'] as const
	const registers = [registry]
	new Gauge({
		name: 'juniperhook_waiting',
		help: 'Whether the process waits for something that it needs',
		labelNames,
		registers,
		collect() {
			this.reset()
			for (const need of waits.counts.keys())
				this.set({ need }, waits.reasons.has(need) ? 1 : 0)
		},
	})
	new Counter({
		name: 'juniperhook_waits_total',
		help: 'Waits of the process for something that it needs',
		labelNames,
		registers,
		collect() {
			this.reset()
			for (const [need, count] of waits.counts) this.inc({ need }, count)
		},
	})
}
