/** Predicts whether a request would wait too long, so that it is refused at once. */

import { type FairQueue, predictWaitMs } from '@juniperhook/core'
import type { AvailabilityForecast } from './availabilityForecast.ts'
import { forecastWaitMs } from './availabilityForecast.ts'
import type { GatewayContext } from './context.ts'
import { featuresOf } from './features.ts'
import { meterOf } from './fleet.ts'
import { expectedFraction, isWithinFraction } from './groupAdmission.ts'
import type { Pressure } from './pressure.ts'
import type { AcquireOptions, Waiter } from './waiter.ts'

/** Whether the requests of a service wait in order of urgency and time left. */
export function isOrderedByUrgency(
	ctx: GatewayContext,
	service: string,
): boolean {
	return featuresOf(ctx.features, service).urgency
}

/**
 * Whether a request is refused because its group admits only a fraction of its urgency,
 * now and as slots become free. Those slots go to the requests within the fraction, so
 * none is expected for it while it waits; refused at once, its caller can come back.
 */
export function isRefusedByLevel(
	ctx: GatewayContext,
	{ service, candidate, slotsFreeOneByOne }: AcquireOptions,
	bestFraction: number | undefined,
): boolean {
	if (!slotsFreeOneByOne || bestFraction === undefined) return false
	const expected = expectedFraction(meterOf(ctx.fleet, service), candidate)
	if (expected === undefined) return false
	return !isWithinFraction(candidate, Math.max(bestFraction, expected))
}

/** Predicts whether a request would exceed its maximum wait, to refuse it at once. */
export function willExceedWait(
	ctx: GatewayContext,
	queue: FairQueue<Waiter>,
	options: AcquireOptions,
	{ dispatchRate }: Pressure,
	forecast: AvailabilityForecast | undefined,
	now: number,
): boolean {
	const isBefore = isOrderedByUrgency(ctx, options.service)
		? ({ urgency }: Waiter) => urgency <= options.candidate.urgency
		: ({ priority }: Waiter) => priority <= options.priority
	const before = queue.waiting.filter(isBefore)
	if (forecast) return forecastWaitMs(forecast, before.length) > options.waitMs
	if (!options.slotsFreeOneByOne) return options.waitMs <= 0
	return predictWaitMs(dispatchRate, before.length, now) > options.waitMs
}
