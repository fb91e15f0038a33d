/**
 * Features that the published configuration and the settings call for, by service. A
 * service that calls for none is served by the same decisions as without them.
 */

import type { TrafficConfig } from '@juniperhook/core'
import { hasCompetingStreams } from '@juniperhook/core'
import type { GatewayContext, GatewaySettings } from './context.ts'

/** Features in use for a service. */
export interface ServiceFeatures {
	/** Room is allocated by urgency and team instead of to all requests alike. */
	readonly urgency: boolean
	/** Refused callers are given places in the forecast room, which are kept for them. */
	readonly returns: boolean
	/** Requests are weighed by the work that they ask for. */
	readonly work: boolean
}

const NO_FEATURES: ServiceFeatures = {
	urgency: false,
	returns: false,
	work: false,
}

/** Derives the features of all services. */
export function deriveFeatures(
	config: TrafficConfig,
	{ underPressure }: Pick<GatewaySettings, 'underPressure'>,
): ReadonlyMap<string, ServiceFeatures> {
	return new Map(
		config.services.map(({ name, engine }) => {
			if (!engine) return [name, NO_FEATURES]
			const urgency = hasCompetingStreams(config, name)
			return [name, { urgency, returns: underPressure, work: underPressure }]
		}),
	)
}

/** Replaces the settings and derives the features anew. */
export function applySettings(
	ctx: GatewayContext,
	settings: GatewaySettings,
): void {
	ctx.settings = settings
	if (ctx.routes) ctx.features = deriveFeatures(ctx.routes.config, settings)
}

/** Returns the features of a service. */
export function featuresOf(
	features: ReadonlyMap<string, ServiceFeatures>,
	service: string,
): ServiceFeatures {
	return features.get(service) ?? NO_FEATURES
}
