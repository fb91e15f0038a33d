/**
 * Switches mechanisms off, one at a time, in a copy of the sources:
 * `node --import tsx scripts/ablation.ts NAME FOLDER`. What each is worth is
 * measured by playing that copy; see docs/ABLATION.md.
 */

import { readFileSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** One line of the sources, and what it is without the mechanism. */
export interface Switch {
	readonly name: string
	readonly file: string
	readonly on: string
	readonly off: string
}

const NEED = 'packages/core/src/core/groupPolicy.ts'
const SUSPICION = 'packages/core/src/core/suspicion.ts'
const DISPATCH = 'packages/core/src/core/dispatch.ts'
const CHOICE = 'packages/gateway/src/serverChoice.ts'
const WAIT_FORECAST = 'packages/gateway/src/waitForecast.ts'
const FEATURES = 'packages/gateway/src/features.ts'
const PENALTIES = 'packages/core/src/core/serverPenalties.ts'
const DEMAND = 'packages/groups/src/demand.ts'
const ATTEMPT = 'packages/gateway/src/attempt.ts'
const SEND = 'packages/gateway/src/serverSend.ts'
const RETRIES = 'packages/gateway/src/retryDecision.ts'
const STATEMENT = 'packages/gateway/src/serverStatement.ts'
const WAITING = 'packages/gateway/src/serverQueue.ts'
const ENTRY_DEMAND = 'packages/gateway/src/entryDemand.ts'
const DEMAND_WATCH = 'packages/groups/src/demandMonitor.ts'

/** All mechanisms that can be switched off. */
export const SWITCHES: readonly Switch[] = [
	{
		name: 'maps',
		file: NEED,
		on: 'const MIN_GAIN = 0.08',
		off: 'const MIN_GAIN = 9',
	},
	{
		name: 'need',
		file: NEED,
		on: 'const KEPT_MAP_SHARE = 0.65',
		off: 'const KEPT_MAP_SHARE = 0',
	},
	{
		name: 'limits',
		file: NEED,
		on: '	if (limit >= slots) return undefined',
		off: '	if (limit > Number.NEGATIVE_INFINITY) return undefined',
	},
	{
		name: 'forgetting',
		file: DEMAND,
		on: '	return Math.min(1, Math.max(0, share))',
		off: '	return share < 2 ? 1 : share',
	},
	{
		name: 'homeWatch',
		file: 'packages/groups/src/demandMonitor.ts',
		on: 'const LOCAL_COUNTS_INTERVAL_MS = 50',
		off: 'const LOCAL_COUNTS_INTERVAL_MS = 1_000',
	},
	{
		name: 'gainRate',
		file: 'packages/core/src/core/mapPlan.ts',
		on: '		if (rate <= bestRate) continue',
		off: '		if (best && plan.copies <= best.copies) continue',
	},
	{
		name: 'fit',
		file: 'packages/core/src/core/passModel.ts',
		on: '	fitter.fit = solveFit(fitter)',
		off: '	solveFit(fitter)',
	},
	{
		name: 'predictedWaits',
		file: WAIT_FORECAST,
		on: '	if (!options.slotsFreeOneByOne) return options.waitMs <= 0',
		off: '	if (dispatchRate) return options.waitMs <= 0',
	},
	{
		name: 'fairQueue',
		file: ATTEMPT,
		on: "		team: request.team?.name ?? '',",
		off: "		team: '',",
	},
	{
		name: 'failures',
		file: PENALTIES,
		on: 'const FAILURE_LOAD = 3',
		off: 'const FAILURE_LOAD = 0',
	},
	{
		name: 'slowness',
		file: PENALTIES,
		on: 'const SLOW_LOAD = 0.25',
		off: 'const SLOW_LOAD = 0',
	},
	{
		name: 'pace',
		file: DISPATCH,
		on: 'const SLOWDOWN_LOAD = 0.5',
		off: 'const SLOWDOWN_LOAD = 0',
	},
	{
		name: 'groupPace',
		file: DISPATCH,
		on: 'const GROUP_SLOWDOWN_LOAD = 0.6',
		off: 'const GROUP_SLOWDOWN_LOAD = 0',
	},
	{
		name: 'ejection',
		file: 'packages/core/src/core/routing.ts',
		on: 'export const EJECT_AFTER = 3',
		off: 'export const EJECT_AFTER = 65_000',
	},
	{
		name: 'patience',
		file: SEND,
		on: 'const HEAD_TIMEOUT_SHARE = 0.5',
		off: 'const HEAD_TIMEOUT_SHARE = 1_000',
	},
	{
		name: 'secondSends',
		file: RETRIES,
		on: '	if (attempts >= request.route.maxAttempts) return false',
		off: '	if (attempts >= 0) return false',
	},
	{
		name: 'resume',
		file: 'packages/gateway/src/streamRelay.ts',
		on: '			if (job.hasUnnumberedEvents || !mayRetry(ctx, job)) {',
		off: '			if (lastAt > 0 || !mayRetry(ctx, job)) {',
	},
	{
		name: 'peerCounts',
		file: 'packages/gateway/src/fleet.ts',
		on: '		const sum = (inFlightOfPeers.get(id) ?? 0) + sign * count',
		off: '		const sum = (inFlightOfPeers.get(id) ?? 0) + 0 * sign * count',
	},
	{
		name: 'closures',
		file: 'packages/core/src/core/groupClosure.ts',
		on: '	closures.set(group, { since, until: now + probeIntervalMs, probeIntervalMs })',
		off: '	closures.set(group, { since, until: since, probeIntervalMs })\n	closures.delete(group)',
	},
	{
		name: 'toldOpen',
		file: 'packages/gateway/src/groupReports.ts',
		on: "	if (broken) handleGroupBroken(ctx, group, 'coordinator')",
		off: "	if (broken && !at) handleGroupBroken(ctx, group, 'coordinator')",
	},
	{
		name: 'rankEnds',
		file: 'packages/gateway/src/closedGroups.ts',
		on: '	if (isGrouped(ctx, server.service))',
		off: '	if (!server.service)',
	},
	{
		name: 'quarantine',
		file: SUSPICION,
		on: 'const QUARANTINE_POINTS = 6',
		off: 'const QUARANTINE_POINTS = Number.POSITIVE_INFINITY',
	},
	{
		name: 'partQuarantine',
		file: SUSPICION,
		on: 'const PART_QUARANTINE_POINTS = 5',
		off: 'const PART_QUARANTINE_POINTS = Number.POSITIVE_INFINITY',
	},
	{
		name: 'singledOut',
		file: SUSPICION,
		on: 'const SINGLED_OUT_POINTS = 2',
		off: 'const SINGLED_OUT_POINTS = 0',
	},
	{
		name: 'groupRefusals',
		file: RETRIES,
		on: '	const refusals = job.refusedSends - job.groupRefusals',
		off: '	const refusals = job.refusedSends',
	},
	{
		name: 'drawnServers',
		file: DISPATCH,
		on: 'const MIN_SAMPLED = 2',
		off: 'const MIN_SAMPLED = 1_000',
	},
	{
		name: 'roomByUrgency',
		file: FEATURES,
		on: '			const urgency = hasCompetingStreams(config, name)',
		off: '			const urgency = !config && hasCompetingStreams(config, name)',
	},
	{
		name: 'placesForReturns',
		file: FEATURES,
		on: 'returns: underPressure, work',
		off: 'returns: false, work',
	},
	{
		name: 'requestWork',
		file: FEATURES,
		on: 'work: underPressure }]',
		off: 'work: false }]',
	},
	{
		name: 'growthReserve',
		file: 'packages/core/src/core/growthReserve.ts',
		on: '	if (streamMs <= 0) return 0',
		off: '	if (streamMs >= 0) return 0',
	},
	{
		name: 'teamShares',
		file: 'packages/core/src/core/teamShares.ts',
		on: '	if (fraction >= 1 || fraction <= 0 || large.length === 0)',
		off: '	if (fraction <= Number.POSITIVE_INFINITY)',
	},
	{
		name: 'unreadPrompts',
		file: 'packages/core/src/core/dispatch.ts',
		on: '			unreadLoad * table.unreadTokens[row]! +',
		off: '			0 * table.unreadTokens[row]! +',
	},
	{
		name: 'keptRoom',
		file: 'packages/gateway/src/groupAdmission.ts',
		on: 'const MAX_KEPT_SHARE = 0.5',
		off: 'const MAX_KEPT_SHARE = 0',
	},
	{
		name: 'untoldSends',
		file: CHOICE,
		on: '		unreportedSends: meterOf(fleet, service).unreportedSends,',
		off: '		unreportedSends: 0,',
	},
	{
		name: 'tree',
		file: 'packages/groups/src/orderSender.ts',
		on: 'const MIN_TREE_RANKS = 4',
		off: 'const MIN_TREE_RANKS = 100_000',
	},
	{
		name: 'newsOfGroups',
		file: 'packages/gateway/src/peerLinks.ts',
		on: '	if (report.hops > 1 && isFullMesh(peers)) return',
		off: '	if (report.hops > 0 || isFullMesh(peers)) return',
	},
	{
		name: 'partTaken',
		file: 'packages/gateway/src/groupAdmission.ts',
		on: '	if (!meter.traffic) return { isAdmitted: room >= 1, fraction: undefined }',
		off: '	if (!meter.traffic || meter.arrived >= 0) return { isAdmitted: room >= 1, fraction: undefined }',
	},
	{
		name: 'dealtServers',
		file: ENTRY_DEMAND,
		on: '		fleet.table.assignedElsewhere[row] = assigned.has(index) ? 0 : 1',
		off: '		fleet.table.assignedElsewhere[row] = assigned.has(index) ? 0 : 0',
	},
	{
		name: 'engineRoom',
		file: 'packages/gateway/src/serverChoice.ts',
		on: 'const ENGINE_QUEUE_CAPACITY = 0',
		off: 'const ENGINE_QUEUE_CAPACITY = 2',
	},
	{
		name: 'fullSpells',
		file: WAITING,
		on: '			if (!isRationed(ctx.fleet, options.service))',
		off: '			if (isRationed(ctx.fleet, options.service) || now)',
	},
	{
		name: 'shiftBounds',
		file: DEMAND,
		on: 'export const MIN_AGREEMENT = 0.9',
		off: 'export const MIN_AGREEMENT = 0.8',
	},
	{
		name: 'outdatedRounds',
		file: 'packages/groups/src/roundRunner.ts',
		on: '		if (co.shiftedAt > startedAt && round.map && canAbandon(round)) {',
		off: '		if (co.shiftedAt > startedAt && round.map && round.fence < 0) {',
	},
	{
		name: 'lastingFactor',
		file: DEMAND_WATCH,
		on: 'const ADAPTATION_FACTOR = 2',
		off: 'const ADAPTATION_FACTOR = 0',
	},
	{
		name: 'reserveCopying',
		file: DEMAND_WATCH,
		on: '		co.lastCopyingMs === undefined || co.lastCopyingMs > co.passMs',
		off: '		co.lastCopyingMs === undefined || co.lastCopyingMs >= 0',
	},
	{
		name: 'leadSeen',
		file: 'packages/groups/src/armingTime.ts',
		on: 'const LEAD_FACTOR = 1.25',
		off: 'const LEAD_FACTOR = 0',
	},
	{
		name: 'countsOnLink',
		file: DEMAND_WATCH,
		on: '		if (!co.urgent) await readDemand(co)',
		off: '		await readDemand(co)',
	},
	{
		name: 'gathering',
		file: 'packages/gateway/src/catalog.ts',
		on: '			now - startedAt < BURST_MS ? batchDelayMs * 2 : BATCH_DELAY_MS',
		off: '			now - startedAt < BURST_MS ? batchDelayMs : BATCH_DELAY_MS',
	},
	{
		name: 'rests',
		file: STATEMENT,
		on: '		if (restMs !== undefined) recordRequestedBackoff(ctx, server, restMs)',
		off: '		if (restMs === -1) recordRequestedBackoff(ctx, server, restMs)',
	},
	{
		name: 'restOfOneRank',
		file: 'packages/gateway/src/closedGroups.ts',
		on: 'isGrouped(ctx, service) && !ctx.backoffs.has(id)',
		off: "isGrouped(ctx, service) && id !== ''",
	},
	{
		name: 'afterRest',
		file: 'packages/core/src/core/serverBackoff.ts',
		on: 'export const BACKOFF_PROBE_INTERVAL_MS = 50',
		off: 'export const BACKOFF_PROBE_INTERVAL_MS = 0',
	},
	{
		name: 'leavingByAnswers',
		file: STATEMENT,
		on: "		if (leaving) recordLeaving(ctx, [{ kind: 'left', server }], 'answer')",
		off: "		if (leaving && !server) recordLeaving(ctx, [{ kind: 'left', server }], 'answer')",
	},
]

/** A source with a mechanism switched off; throws when its line is not there. */
export function switchOff(source: string, { name, on, off }: Switch): string {
	const [before, after, ...more] = source.split(on)
	if (before === undefined || after === undefined || more.length > 0)
		throw new Error(`${name}: its line must stand in the source once`)
	return `${before}${off}${after}`
}

const [wanted, folder] = process.argv.slice(2)
if (wanted && folder) {
	const found = SWITCHES.find(one => one.name === wanted)
	if (!found) {
		const names = SWITCHES.map(one => one.name).join(', ')
		process.stderr.write(`name one of: ${names}\n`)
		process.exit(2)
	}
	const path = join(folder, found.file)
	writeFileSync(path, switchOff(readFileSync(path, 'utf8'), found))
}
