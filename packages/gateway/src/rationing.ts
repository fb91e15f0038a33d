/** Logs when a service begins and ends to admit a fraction of its requests, by urgency. */

import type { LevelDemand, Urgency } from '@juniperhook/core'
import { allocateRoom, shareAmongTeams } from '@juniperhook/core'
import type { GatewayContext } from './context.ts'
import type { FlowMeter } from './flowMeter.ts'
import type { ServiceLevels } from './levelDemand.ts'

/** Time without refusals after which a service no longer rations, ms. */
const ENDS_AFTER_MS = 2_000
/** Levels that a log line lists, most urgent first. */
const MAX_LOGGED_LEVELS = 10

/** A period in which a service admits only a fraction of its requests. */
export interface Rationing {
	readonly since: number
	/** When a fraction was last below 1, ms. */
	lastAt: number
}

/** What a level of urgency asks for and gets. */
interface LevelReport {
	readonly urgency: Urgency
	/** Requests that arrive per second. */
	readonly perSecond: number
	readonly fraction: number
	/** Teams that get less than the others. */
	readonly teamsCut: number
}

/** Logs and measures the rationing of a service since its last update. */
export function reportRationing(
	ctx: GatewayContext,
	service: string,
	{ levels, minAdmittedFraction }: FlowMeter,
	now: number,
): void {
	if (!levels) return
	const isRationing = minAdmittedFraction < 1
	const reports = describeShares(levels, isRationing)
	recordShares(ctx, service, reports)
	if (isRationing) {
		if (!levels.rationing)
			logRationing(ctx, 'rationing started', service, levels, reports)
		levels.rationing ??= { since: now, lastAt: now }
		levels.rationing.lastAt = now
		return
	}
	const { rationing } = levels
	if (!rationing || now - rationing.lastAt < ENDS_AFTER_MS) return
	levels.rationing = undefined
	const forMs = Math.round(rationing.lastAt - rationing.since)
	logRationing(ctx, 'rationing ended', service, levels, reports, forMs)
}

/** Removes the metrics of a service that no longer allocates room by urgency. */
export function clearRationing(
	{ metrics, log }: GatewayContext,
	service: string,
	levels: ServiceLevels,
): void {
	for (const { urgency } of levels.demands)
		metrics.admittedFraction.remove({ service, urgency })
	metrics.teamsCut.remove({ service })
	if (levels.rationing)
		log.write('rationing ended', { service, cause: 'configuration' })
}

function describeShares(
	levels: ServiceLevels,
	isRationing: boolean,
): LevelReport[] {
	const sorted = [...levels.demands].sort((a, b) => a.urgency - b.urgency)
	if (!isRationing) return sorted.map(describeUnlimited)
	const shares = allocateRoom(levels.slotsPerSecond, sorted)
	return sorted.map((demand, index) => {
		const fraction = Math.min(1, Math.max(0, shares[index]!.fraction))
		const teams = levels.teams.get(demand.urgency)
		const teamsCut = teams ? shareAmongTeams(fraction, teams).cut.size : 0
		return { ...describeUnlimited(demand), fraction, teamsCut }
	})
}

function describeUnlimited({ urgency, perSecond }: LevelDemand): LevelReport {
	return { urgency, perSecond, fraction: 1, teamsCut: 0 }
}

function recordShares(
	{ metrics }: GatewayContext,
	service: string,
	reports: readonly LevelReport[],
): void {
	for (const { urgency, fraction } of reports)
		metrics.admittedFraction.set({ service, urgency }, fraction)
	const teamsCut = reports.reduce((sum, report) => sum + report.teamsCut, 0)
	metrics.teamsCut.set({ service }, teamsCut)
}

function logRationing(
	{ log }: GatewayContext,
	event: 'rationing started' | 'rationing ended',
	service: string,
	{ slotsPerSecond }: ServiceLevels,
	reports: readonly LevelReport[],
	forMs?: number,
): void {
	const logged = reports.slice(0, MAX_LOGGED_LEVELS)
	log.write(event, {
		service,
		roomPerSecond: round(slotsPerSecond),
		demand: logged.map(one => `${one.urgency}:${round(one.perSecond)}`),
		fractions: logged.map(one => `${one.urgency}:${round(one.fraction)}`),
		teamsCut: reports.reduce((sum, one) => sum + one.teamsCut, 0),
		forMs,
	})
}

function round(value: number): number {
	return Math.round(value * 100) / 100
}
