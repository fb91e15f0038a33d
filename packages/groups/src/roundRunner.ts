/** Takes one change of the map from order to order. */

import type {
	GroupRound,
	MapPlan,
	RankReport,
	RoundPhase,
} from '@juniperhook/core'
import {
	abandonProbing,
	applyAnchorReport,
	createRound,
	isRoundOver,
	REFUSED_TO_ARM,
} from '@juniperhook/core'
import { readElapsed, readNow } from '@juniperhook/runtime'
import { leadMsOf, noteArmed, noteMissed, probeLimitMs } from './armingTime.ts'
import type { Coordinator } from './coordinatorState.ts'
import { FENCE_BITS, pause, readAnchor } from './coordinatorState.ts'
import { setMap } from './mapPlanning.ts'
import type { Run } from './orderSender.ts'
import { copyingMsOf, giveAll, tripMs } from './orderSender.ts'

/** Between steps of a round that waits for a report, ms. */
const LOOK_MS = 20
/**
 * A round in which no rank has confirmed anything for this long is given up, ms.
 * It covers an agent on the way that has gone silent and the way round it.
 */
const STUCK_MS = 2_500
/**
 * Why a round is left while nothing is held by it: its plan followed the demand
 * before, and one for the present demand would have to wait for its end, up to
 * 1.3 s of the 3.6 s for which demand stays as it is.
 */
const OUTDATED = 'demand has shifted'
/** After a failed round, ms. */
const FAILED_PAUSE_MS = 200

/** Weight of a new round in what rounds take besides copying. */
const OVERHEAD_WEIGHT = 0.3

function nextFence(co: Coordinator): number {
	co.counter++
	const low = Math.floor(co.random() * 2 ** FENCE_BITS)
	return co.counter * 2 ** FENCE_BITS + low
}

/** Takes a round to its end, or until this coordinator is stopped. */
export async function runRound(
	co: Coordinator,
	report: RankReport,
	planned: MapPlan | undefined,
): Promise<void> {
	const fence = nextFence(co)
	const { epoch, size } = report
	const round = createRound(fence, epoch, size, planned?.placements, co.undo)
	const startedAt = readNow()
	const run: Run = {
		round,
		asked: new Set(),
		tries: 0,
		mostNew: planned?.mostNew ?? 0,
		progressAt: readElapsed(),
	}
	co.log.write('round begun', {
		fence,
		epoch: round.epoch,
		step: report.step,
		held: report.held,
	})
	const trip = tripMs(co, round.ranks)
	const phases: string[] = []
	let urgentMs = 0
	let shown = round.phase
	let phaseAt = startedAt
	while (!isRoundOver(round) && !co.stopped) {
		giveAll(co, run)
		await pause(isUrgentPhase(round.phase) ? LOOK_MS / 8 : LOOK_MS / 2)
		if (needsReport(round)) {
			const { phase } = round
			const fresh = await readAnchor(co)
			const leadMs = leadMsOf(co.armingMs, trip)
			const lead = Math.max(1, Math.ceil(leadMs / co.passMs))
			if (fresh && round.phase === phase) applyAnchorReport(round, fresh, lead)
		}
		if (round.phase !== shown) {
			const tookMs = readNow() - phaseAt
			phases.push(`${shown} ${Math.round(tookMs)}`)
			if (isUrgentPhase(shown)) urgentMs += tookMs
			if (shown === 'arming' && round.phase === 'releasing')
				co.armingMs = noteArmed(co.armingMs, urgentMs)
			phaseAt = readNow()
			run.tries = 0
			run.progressAt = readElapsed()
		}
		co.copying = round.phase === 'preparing'
		co.urgent = isUrgentPhase(round.phase)
		shown = round.phase
		const probeMs = probeLimitMs(co.armingMs, trip)
		if (round.phase === 'probing' && readNow() - phaseAt > probeMs) {
			co.armingMs = noteMissed(co.armingMs, probeMs)
			abandonProbing(round)
		}
		if (co.shiftedAt > startedAt && round.map && isHarmless(round)) {
			round.reason = OUTDATED
			break
		}
		const isStuck =
			readElapsed() - run.progressAt > STUCK_MS + copyingMsOf(co, run)
		if (isStuck && isHarmless(round)) break
	}
	co.copying = false
	co.urgent = false
	await endRound(co, run, startedAt, phases)
}

function needsReport(round: GroupRound): boolean {
	switch (round.phase) {
		case 'inspecting':
		case 'waiting':
		case 'settling':
			return true
		case 'holding':
			return round.step === 0
		case 'fencing':
		case 'preparing':
		case 'probing':
		case 'arming':
		case 'disarming':
		case 'releasing':
		case 'done':
		case 'failed':
			return false
		default:
			return round.phase satisfies never
	}
}

/** Whether passes wait for a phase that takes longer than the lead. */
function isUrgentPhase(phase: RoundPhase): boolean {
	return (
		phase === 'holding' ||
		phase === 'probing' ||
		phase === 'arming' ||
		phase === 'releasing'
	)
}

/** Whether a round may be left where it is: nothing is held or armed by it. */
function isHarmless({ phase }: GroupRound): boolean {
	return phase === 'fencing' || phase === 'preparing' || phase === 'waiting'
}

function noteOverhead(co: Coordinator, tookMs: number): void {
	co.overheadMs += OVERHEAD_WEIGHT * (Math.max(0, tookMs) - co.overheadMs)
}

async function endRound(
	co: Coordinator,
	run: Run,
	startedAt: number,
	phases: readonly string[],
): Promise<void> {
	const { round } = run
	co.log.write('round over', {
		fence: round.fence,
		phase: round.phase,
		reason: round.reason,
		inherited: round.inherited,
		step: round.step,
		tookMs: Math.round(readNow() - startedAt),
		phases,
	})
	co.undo = round.reason === REFUSED_TO_ARM
	if (round.phase !== 'done') {
		if (round.reason === OUTDATED) return
		// Another coordinator may have a higher counter than any report shows.
		co.counter += 1 + Math.floor(co.random() * 8)
		await pause(FAILED_PAUSE_MS * (0.5 + co.random()))
		return
	}
	const ours = round.map && !round.inherited && round.version > 0
	if (!ours) return
	co.copyingMs = copyingMsOf(co, run)
	noteOverhead(co, readNow() - startedAt - co.copyingMs)
	setMap(co, round.map!, { epoch: round.epoch, map: round.version })
}
