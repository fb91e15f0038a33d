/** The configurations that a soak publishes, in the platform's format. */

/** Hostname of all routes. */
export const HOST = 'soak.example'
/** Timeouts of routes by kind of request, ms. */
export const TIMEOUT_MS = { once: 1_500, repeatable: 1_500, stream: 4_000 }
/** Team names by API key. */
export const TEAM_OF_KEY: { readonly [key: string]: string } = {
	'key-rangers': 'rangers',
	'key-guests': 'guests',
}
/** An API key that a later configuration revokes. */
export const REVOKED_KEY = 'key-doomed'
/**
 * Retry budget: in each window, retries may amount to `ratio` times the requests, plus
 * `slack`.
 */
export const RETRIES = { ratio: 0.2, slack: 40, windowMs: 10_000 }

/** Requests a second that a cold server bears, and what all entries may add to it. */
export const COLD = { perSecond: 6, factor: 1.5, extra: 5 }

const PLAIN = 'plain-service'
const MODEL = 'model-service'
/** Services by kind of request. */
export const SERVICE_OF = { once: PLAIN, repeatable: PLAIN, stream: MODEL }
/** Path prefixes by kind of request. */
export const PREFIX_OF = { once: '/o/', repeatable: '/r/', stream: '/s/' }

/** Returns the path of the route that a configuration version adds. */
export function versionPath(version: number): string {
	return `/v${version}/`
}

/** Routes that each growth of the configuration adds; no caller uses them. */
const ROUTES_PER_GROWTH = 1_000

/**
 * Builds the JSON text of a configuration. Versions start at 1; each adds a route, and
 * each growth adds {@link ROUTES_PER_GROWTH}.
 */
export function buildConfig(
	version: number,
	keepsRevokedKey: boolean,
	growths: number,
): string {
	const added = Array.from({ length: version }, (_, at) => at + 1)
	const grown = Array.from(
		{ length: growths * ROUTES_PER_GROWTH },
		(_, at) => `/grown-${at}/`,
	)
	const keys = keepsRevokedKey ? [REVOKED_KEY] : []
	return JSON.stringify({
		config_version: version,
		routes: [
			buildRoute(PREFIX_OF.once, 'non_idempotent', PLAIN, 2),
			buildRoute(PREFIX_OF.repeatable, 'idempotent', PLAIN, 2),
			{
				...buildRoute(PREFIX_OF.stream, 'streaming', MODEL, 2),
				timeout_ms: TIMEOUT_MS.stream,
				stream_resume: true,
				gap_aim_ms: 200,
			},
			...added.map(one => buildRoute(versionPath(one), 'idempotent', PLAIN, 2)),
			...grown.map(path => buildRoute(path, 'idempotent', PLAIN, 2)),
		],
		services: [
			{ name: PLAIN, max_connections: 200, cold_per_s: COLD.perSecond },
			{
				name: MODEL,
				max_connections: 200,
				cold_per_s: COLD.perSecond,
				engine: ENGINE,
			},
		],
		limits: {
			max_header_bytes: 8_192,
			max_body_bytes: 65_536,
			header_timeout_ms: 5_000,
			idle_timeout_ms: 10_000,
		},
		tenants: [
			...Object.entries(TEAM_OF_KEY).map(([key, name]) => ({
				name,
				api_keys: [key],
			})),
			{ name: 'doomed', api_keys: keys },
		],
	})
}

/** Engine settings that match the layout of the fake group. */
const ENGINE = {
	slots: 8,
	stride: 1,
	step_ms: 1,
	per_seq_ms: 0.1,
	link_mbps: 180_000,
	sets: 2,
	experts: 16,
	places: 6,
	spare: 2,
	expert_mb: 1,
	expert_share: 0.85,
	form_ms: 10,
}

function buildRoute(
	prefix: string,
	kind: string,
	service: string,
	attempts: number,
): object {
	return {
		name: `route ${prefix}`,
		hostname: HOST,
		path_prefix: prefix,
		route_type: kind,
		timeout_ms: TIMEOUT_MS.once,
		target_latency_ms: 300,
		priority: 1,
		service,
		max_attempts: attempts,
	}
}
