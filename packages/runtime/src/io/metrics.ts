/** Metrics of a process, with prom-client; errors are labelled by kind. */

import { ERROR_KINDS } from '@juniperhook/core'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { registerFaults } from '../utils/faultGuard.ts'
import { registerHealth } from '../utils/processHealth.ts'
import { connectionCounts } from './httpConnections.ts'
import { rpcCounts } from './rpcLines.ts'
import type { Waits } from './waits.ts'
import { registerWaits } from './waits.ts'

const LATENCY_BUCKETS = [
	0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60,
]

/** Metrics that entries and agents have in common. */
export interface Metrics {
	readonly registry: Registry
	/** Refused and cancelled requests, by error kind. */
	readonly refusals: Counter<'kind'>
	/** Attempts after the first, by the error kind that caused them. */
	readonly retries: Counter<'kind'>
	/** Requests by final outcome. */
	readonly outcomes: Counter<'outcome'>
	/** Late or duplicate response chunks that were dropped. */
	readonly dropped: Counter
	/** Responses resumed after a lost link. */
	readonly resumes: Counter
	readonly latency: Histogram
	readonly revision: Gauge
	/** Configurations rejected as invalid. */
	readonly invalidConfigs: Counter
	/** Configurations ignored because a newer one is active. */
	readonly staleConfigs: Counter
	/** Calls to the platform's services. */
	readonly platformCalls: Counter
}

/** Creates the metrics of a process, with every error kind at zero. */
export function createMetrics(waits: Waits): Metrics {
	const registry = new Registry()
	const registers = [registry]
	registerWaits(registry, waits)
	registerFaults(registry)
	registerHealth(registry)
	registerConnections(registry)
	const name = (part: string) => `juniperhook_${part}`
	const counter = (part: string, help: string) =>
		new Counter({ name: name(part), help, registers })
	const byKind = (part: string, help: string) =>
		new Counter({ name: name(part), help, labelNames: ['kind'], registers })
	const metrics: Metrics = {
		registry,
		refusals: byKind('refusals_total', 'Requests refused or given up'),
		retries: byKind('retries_total', 'Tries after the first'),
		outcomes: new Counter({
			name: name('outcomes_total'),
			help: 'Final outcomes of requests',
			labelNames: ['outcome'],
			registers,
		}),
		dropped: counter('dropped_chunks_total', 'Late or doubled chunks'),
		resumes: counter('resumes_total', 'Answers taken up again'),
		latency: new Histogram({
			name: name('request_seconds'),
			help: 'Time from request to end of answer',
			buckets: LATENCY_BUCKETS,
			registers,
		}),
		revision: new Gauge({
			name: name('config_revision'),
			help: 'Configuration revision in force',
			registers,
		}),
		invalidConfigs: counter('config_invalid_total', 'Invalid documents'),
		staleConfigs: counter('config_stale_total', 'Older documents ignored'),
		platformCalls: counter('platform_calls_total', 'Calls to the platform'),
	}
	for (const kind of ERROR_KINDS) {
		metrics.refusals.inc({ kind }, 0)
		metrics.retries.inc({ kind }, 0)
	}
	registerControlTraffic(registry)
	return metrics
}

/** Registers gauges of the messages and bytes on control connections. */
export function registerControlTraffic(registry: Registry): void {
	for (const [field, help] of [
		['messagesIn', 'Control messages received'],
		['messagesOut', 'Control messages sent'],
		['bytesIn', 'Control bytes received'],
		['bytesOut', 'Control bytes sent'],
		['badFrames', 'Control frames refused'],
	] as const) {
		const snake = field.replace(/[A-Z]/g, c => `_${c.toLowerCase()}`)
		new Gauge({
			name: `juniperhook_control_${snake}`,
			help,
			registers: [registry],
			collect() {
				this.set(rpcCounts[field])
			},
		})
	}
}

/** Registers the count of connections closed because of what waited on them. */
export function registerConnections(registry: Registry): void {
	new Counter({
		name: 'juniperhook_waiting_closed_total',
		help: 'Connections closed because too many requests waited on them',
		registers: [registry],
		collect() {
			this.reset()
			this.inc(connectionCounts.waitingClosed)
		},
	})
}
