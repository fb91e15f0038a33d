/** Prometheus metrics of a gateway. */

import { ERROR_KINDS } from '@juniperhook/core'
import type { Waits } from '@juniperhook/runtime'
import {
	createWaits,
	registerConnections,
	registerControlTraffic,
	registerFaults,
	registerHealth,
	registerWaits,
} from '@juniperhook/runtime'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const LATENCY_BUCKETS = [
	0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4,
]
const PAUSE_BUCKETS = [0.02, 0.04, 0.06, 0.08, 0.1, 0.12, 0.2, 0.5, 1, 2]

/** Metrics of a gateway. */
export interface GatewayMetrics {
	readonly registry: Registry
	readonly answers: Counter<'status'>
	/** Requests that a server answered, by route kind and timeliness. */
	readonly served: Counter<'kind' | 'timeliness'>
	/** Requests refused or failed, by error kind. */
	readonly refusals: Counter<'kind'>
	/** Sends after the first, by the outcome of the previous one. */
	readonly retries: Counter<'reason'>
	/** Streams resumed at another server. */
	readonly resumes: Counter
	/** Answers that were not passed on, by what was wrong with them. */
	readonly invalidAnswers: Counter<'fault'>
	/** Servers that crashed while they ran requests, by how the crash was detected. */
	readonly serverEnds: Counter<'witness'>
	/** Requests in quarantine because servers crashed while they ran them. */
	readonly quarantined: Gauge
	/** Prompt parts in quarantine because servers crashed while they ran requests with them. */
	readonly quarantinedParts: Gauge
	/** Prompt parts that are tried by one request at a time. */
	readonly suspectedParts: Gauge
	/** Connections of callers that were closed unread, by reason. */
	readonly closedConnections: Counter<'reason'>
	/** Servers with a rate limit. */
	readonly limitedServers: Gauge
	/** Servers that have requested backoff of this entry. */
	readonly restingServers: Gauge
	/** Servers that are cold. */
	readonly coldServers: Gauge
	/** Evacuated data centres. */
	readonly evacuatedDataCentres: Gauge
	/** Server signals that could not be parsed, by signal. */
	readonly unreadableSignals: Counter<'signal'>
	/** Unknown headers in servers' responses, by name. */
	readonly unknownHeaders: Counter<'header'>
	/** Permit requests for rate-limited servers, by outcome. */
	readonly permits: Counter<'outcome'>
	/** Fraction of requests admitted, where room is allocated by urgency. */
	readonly admittedFraction: Gauge<'service' | 'urgency'>
	/** Teams that get less than the others of their urgency. */
	readonly teamsCut: Gauge<'service'>
	/** Refused callers: booked, returned as told, served on return, refused again. */
	readonly returns: Counter<'outcome'>
	/** Errors of the forecast room, as shares of the completions, by lead time. */
	readonly forecastError: Gauge<'service' | 'lead_ms'>
	/** Bytes held for slow readers and senders. */
	readonly heldBytes: Gauge
	/** Bytes of bodies received, of requests and of answers. */
	readonly receivedBytes: Gauge
	/** Streams whose server was paused because of their reader. */
	readonly pausedResponses: Counter
	/** Responses ended because of their reader, by reason. */
	readonly endedResponses: Counter<'reason'>
	readonly firstByte: Histogram
	readonly pauses: Histogram
	readonly waiting: Histogram
	/** Time between the events of a stream, by lock-step group. */
	readonly groupPace: Gauge<'group'>
	/** Events per hinted token in the median, by service. */
	readonly eventsPerHintToken: Gauge<'service'>
	readonly configVersion: Gauge
	readonly sourceCalls: Counter<'outcome'>
	/** Bytes received from the source, including those of failed calls. */
	readonly sourceBytes: Counter
	/** Term of the source. */
	readonly sourceTerm: Gauge
	/** How often the source was restored from an older copy. */
	readonly sourceTerms: Counter
	/** Entries of the server list that could not be parsed. */
	readonly unreadableEntries: Counter
	/** Requests to peers for configurations and records that this entry lacks. */
	readonly pulls: Counter<'kind' | 'outcome'>
	/** Compressed bytes of configurations received from peers. */
	readonly pulledBytes: Counter
}

/** Creates the metrics, with all known error kinds at zero. */
export function createGatewayMetrics(
	waits: Waits = createWaits(() => {}),
): GatewayMetrics {
	const registry = new Registry()
	const registers = [registry]
	// First in the output, so that collectors that truncate it still get them.
	const source = createSourceMetrics(registry)
	registerWaits(registry, waits)
	registerFaults(registry)
	registerHealth(registry)
	registerConnections(registry)
	registerControlTraffic(registry)
	const refusals = new Counter({
		name: 'juniperhook_refusals_total',
		help: 'Requests refused or given up',
		labelNames: ['kind'],
		registers,
	})
	for (const kind of ERROR_KINDS) refusals.inc({ kind }, 0)
	return {
		registry,
		...source,
		refusals,
		answers: new Counter({
			name: 'juniperhook_answers_total',
			help: 'Answers by status',
			labelNames: ['status'],
			registers,
		}),
		served: new Counter({
			name: 'juniperhook_served_total',
			help: 'Requests that a server answered, by whether in time',
			labelNames: ['kind', 'timeliness'],
			registers,
		}),
		retries: new Counter({
			name: 'juniperhook_retries_total',
			help: 'Sends after the first',
			labelNames: ['reason'],
			registers,
		}),
		resumes: new Counter({
			name: 'juniperhook_resumes_total',
			help: 'Streams that went on at another server',
			registers,
		}),
		invalidAnswers: new Counter({
			name: 'juniperhook_invalid_answers_total',
			help: 'Answers of servers that were not passed on',
			labelNames: ['fault'],
			registers,
		}),
		serverEnds: new Counter({
			name: 'juniperhook_server_ends_total',
			help: 'Servers that ended while they ran something',
			labelNames: ['witness'],
			registers,
		}),
		quarantined: new Gauge({
			name: 'juniperhook_quarantined_requests',
			help: 'Requests that are sent to no server, as servers ended under them',
			registers,
		}),
		quarantinedParts: new Gauge({
			name: 'juniperhook_quarantined_parts',
			help: 'Prompt parts that are sent to no server, as servers ended under them',
			registers,
		}),
		suspectedParts: new Gauge({
			name: 'juniperhook_suspected_parts',
			help: 'Prompt parts that one request at a time tries, as a server ended under them',
			registers,
		}),
		closedConnections: new Counter({
			name: 'juniperhook_closed_connections_total',
			help: 'Connections of callers that were closed before anything was read',
			labelNames: ['reason'],
			registers,
		}),
		limitedServers: new Gauge({
			name: 'juniperhook_limited_servers',
			help: 'Servers that take only so many requests a second, as they say',
			registers,
		}),
		restingServers: new Gauge({
			name: 'juniperhook_resting_servers',
			help: 'Servers that have asked this entry for rest',
			registers,
		}),
		coldServers: new Gauge({
			name: 'juniperhook_cold_servers',
			help: 'Servers that bear only part of their load for some time',
			registers,
		}),
		evacuatedDataCentres: new Gauge({
			name: 'juniperhook_evacuated_data_centres',
			help: 'Data centres to whose servers nothing new is sent',
			registers,
		}),
		unreadableSignals: new Counter({
			name: 'juniperhook_unreadable_signals_total',
			help: 'What servers said of themselves that could not be read',
			labelNames: ['signal'],
			registers,
		}),
		unknownHeaders: new Counter({
			name: 'juniperhook_unknown_headers_total',
			help: 'Headers of answers that are neither standard nor known',
			labelNames: ['header'],
			registers,
		}),
		permits: new Counter({
			name: 'juniperhook_permits_total',
			help: 'Questions for permits to send to a server with a limit',
			labelNames: ['outcome'],
			registers,
		}),
		admittedFraction: new Gauge({
			name: 'juniperhook_admitted_fraction',
			help: 'Fraction of requests admitted, by level of urgency',
			labelNames: ['service', 'urgency'],
			registers,
		}),
		teamsCut: new Gauge({
			name: 'juniperhook_teams_cut',
			help: 'Teams that get less than the others of their urgency',
			labelNames: ['service'],
			registers,
		}),
		returns: new Counter({
			name: 'juniperhook_returns_total',
			help: 'Refused callers that were told when to come back, by outcome',
			labelNames: ['outcome'],
			registers,
		}),
		forecastError: new Gauge({
			name: 'juniperhook_room_forecast_error',
			help: 'Error of the forecast room as a share of the completions',
			labelNames: ['service', 'lead_ms'],
			registers,
		}),
		...createReaderMetrics(registry),
		firstByte: histogram(registry, 'first_byte', LATENCY_BUCKETS),
		pauses: histogram(registry, 'event_pause', PAUSE_BUCKETS),
		waiting: histogram(registry, 'queue', LATENCY_BUCKETS),
		groupPace: new Gauge({
			name: 'juniperhook_group_pace_seconds',
			help: 'Time between the events of a stream',
			labelNames: ['group'],
			registers,
		}),
		eventsPerHintToken: new Gauge({
			name: 'juniperhook_events_per_hint_token',
			help: 'Events of complete answers per hinted token, median',
			labelNames: ['service'],
			registers,
		}),
	}
}

/** Creates the metrics of slow readers and senders. */
function createReaderMetrics(registry: Registry) {
	const registers = [registry]
	return {
		heldBytes: new Gauge({
			name: 'juniperhook_held_bytes',
			help: 'Bytes held for slow readers and senders',
			registers,
		}),
		receivedBytes: new Gauge({
			name: 'juniperhook_received_bytes',
			help: 'Bytes of bodies that are being received, or held until answered',
			registers,
		}),
		pausedResponses: new Counter({
			name: 'juniperhook_responses_paused_total',
			help: 'Streams whose server was paused because of their reader',
			registers,
		}),
		endedResponses: new Counter({
			name: 'juniperhook_responses_ended_total',
			help: 'Responses ended because of their reader',
			labelNames: ['reason'],
			registers,
		}),
	}
}

/** Creates the metrics of how published configuration and servers reach this entry. */
function createSourceMetrics(registry: Registry) {
	const registers = [registry]
	return {
		configVersion: new Gauge({
			name: 'juniperhook_config_version',
			help: 'Version of the configuration in force',
			registers,
		}),
		sourceCalls: new Counter({
			name: 'juniperhook_source_calls_total',
			help: 'Calls to the configuration source',
			labelNames: ['outcome'],
			registers,
		}),
		sourceBytes: new Counter({
			name: 'juniperhook_source_bytes_total',
			help: 'Bytes that came from the configuration source',
			registers,
		}),
		sourceTerm: new Gauge({
			name: 'juniperhook_source_term',
			help: 'Term of the configuration source',
			registers,
		}),
		sourceTerms: new Counter({
			name: 'juniperhook_source_terms_total',
			help: 'Times that the configuration source went back to an older copy',
			registers,
		}),
		unreadableEntries: new Counter({
			name: 'juniperhook_unreadable_entries_total',
			help: 'Entries of the server list that named no server',
			registers,
		}),
		pulls: new Counter({
			name: 'juniperhook_peer_pulls_total',
			help: 'Questions to peers for newer configurations and records',
			labelNames: ['kind', 'outcome'],
			registers,
		}),
		pulledBytes: new Counter({
			name: 'juniperhook_peer_pulled_bytes_total',
			help: 'Packed bytes of configurations from peers',
			registers,
		}),
	}
}

function histogram(registry: Registry, part: string, buckets: number[]) {
	return new Histogram({
		name: `juniperhook_${part}_seconds`,
		help: `Time of ${part.replace('_', ' ')}`,
		buckets,
		registers: [registry],
	})
}
