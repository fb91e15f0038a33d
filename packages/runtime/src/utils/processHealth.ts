/**
 * What precedes the end of a process that nobody has stopped: its memory grows, or its
 * event loop is held. Both are reported while the process can still report them.
 */

import { getHeapStatistics } from 'node:v8'
import type { Registry } from 'prom-client'
import { Gauge } from 'prom-client'
import { readNow } from './clock.ts'

/** Interval between samples, ms. */
const SAMPLE_INTERVAL_MS = 500
/** Growth of the peak of resident memory that is reported, MB. */
const REPORTED_GROWTH_MB = 32
/** Delay of a timer from which the event loop counts as held, ms. */
const HELD_MS = 1_000
const BYTES_PER_MB = 1_048_576
const US_PER_MS = 1_000

/** Memory of a process, MB. */
export interface MemoryUse {
	readonly residentMb: number
	readonly heapMb: number
	readonly heapLimitMb: number
	/** Buffers outside the heap. */
	readonly buffersMb: number
}

/** Something to report about a process. */
export type HealthEvent =
	| ({ readonly kind: 'memoryGrew' } & MemoryUse)
	| {
			readonly kind: 'loopHeld'
			readonly forMs: number
			/**
			 * Processor time that the process took meanwhile, ms: about as much if it was
			 * busy, little if it was suspended or got no processor.
			 */
			readonly busyMs: number
	  }

/** A sample of a process's state. */
export interface HealthSample {
	readonly residentMb: number
	/** Time by which the timer that took the sample was late, ms. */
	readonly lateMs: number
	/** Processor time since the previous sample, ms. */
	readonly busyMs: number
}

/** What is known of the health of a process. */
export interface ProcessHealth {
	/** Peak of resident memory when it was last reported, MB. */
	reportedMb: number
	/** Longest time for which the event loop was held since the metric was read, ms. */
	maxHeldMs: number
}

/** Returns what a sample has to report; `readMemory` is called only if memory grew. */
export function assessHealth(
	health: ProcessHealth,
	{ residentMb, lateMs, busyMs }: HealthSample,
	readMemory: () => MemoryUse,
): HealthEvent[] {
	const events: HealthEvent[] = []
	health.maxHeldMs = Math.max(health.maxHeldMs, lateMs)
	if (residentMb >= health.reportedMb + REPORTED_GROWTH_MB) {
		health.reportedMb = residentMb
		events.push({ kind: 'memoryGrew', ...readMemory() })
	}
	if (lateMs >= HELD_MS)
		events.push({ kind: 'loopHeld', forMs: lateMs, busyMs })
	return events
}

/** Health of this process. */
export const ownHealth: ProcessHealth = { reportedMb: 0, maxHeldMs: 0 }

/** Samples this process until it exits. */
export function watchHealth(report: (event: HealthEvent) => void): void {
	let before = readNow()
	let usage = process.cpuUsage()
	const sample = () => {
		const now = readNow()
		const { user, system } = process.cpuUsage(usage)
		const events = assessHealth(
			ownHealth,
			{
				residentMb: toMb(process.memoryUsage.rss()),
				lateMs: Math.round(Math.max(0, now - before - SAMPLE_INTERVAL_MS)),
				busyMs: Math.round((user + system) / US_PER_MS),
			},
			readMemoryUse,
		)
		before = now
		usage = process.cpuUsage()
		for (const event of events) report(event)
	}
	setInterval(sample, SAMPLE_INTERVAL_MS).unref()
}

/** Reads the memory of this process. */
export function readMemoryUse(): MemoryUse {
	const { rss, arrayBuffers } = process.memoryUsage()
	const { used_heap_size, heap_size_limit } = getHeapStatistics()
	return {
		residentMb: toMb(rss),
		heapMb: toMb(used_heap_size),
		heapLimitMb: toMb(heap_size_limit),
		buffersMb: toMb(arrayBuffers),
	}
}

function toMb(bytes: number): number {
	return Math.round(bytes / BYTES_PER_MB)
}

/** Registers the metrics of this process's memory and event loop. */
export function registerHealth(registry: Registry): void {
	const registers = [registry]
	new Gauge({
		name: 'juniperhook_memory_bytes',
		help: 'Memory of the process, by part',
		labelNames: ['part'] as const,
		registers,
		collect() {
			const { residentMb, heapMb, buffersMb } = readMemoryUse()
			this.set({ part: 'resident' }, residentMb * BYTES_PER_MB)
			this.set({ part: 'heap' }, heapMb * BYTES_PER_MB)
			this.set({ part: 'buffers' }, buffersMb * BYTES_PER_MB)
		},
	})
	new Gauge({
		name: 'juniperhook_loop_held_seconds',
		help: 'Longest time for which the event loop was held since the last reading',
		registers,
		collect() {
			this.set(ownHealth.maxHeldMs / 1_000)
			ownHealth.maxHeldMs = 0
		},
	})
}
