/** Runs the rounds of a coordinator; a round makes one change of the map. */

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
import {
	computeLeadMs,
	computeProbeTimeoutMs,
	raiseArmingMs,
	updateArmingMs,
} from './armingTime.ts'
import type { Coordinator } from './coordinatorState.ts'
import { delay, FENCE_BITS, readAnchor } from './coordinatorState.ts'
import { setMap } from './mapPlanning.ts'
import type { RunningRound } from './orderSender.ts'
import {
	estimateCopyingMs,
	estimateRoundTripMs,
	sendPendingOrders,
} from './orderSender.ts'

/** Base of the polling interval during a round, ms. */
const POLL_INTERVAL_MS = 20
/**
 * Time without a confirmation by any rank after which a round is abandoned, ms. It covers
 * an unresponsive agent in the tree and the broadcast along another tree.
 */
const STALL_TIMEOUT_MS = 2_500
/**
 * Reason for abandoning a round after a demand shift, while it holds nothing. Its plan is
 * for the earlier demand, and a plan for the present one would have to wait for its end:
 * for up to 1.3 s of the 3.6 s for which demand remains steady.
 */
const OUTDATED = 'demand has shifted'
/** Mean delay after a failed round, ms. */
const FAILURE_DELAY_MS = 200

/** Weight of a new round in the smoothed overhead. */
const OVERHEAD_WEIGHT = 0.3

/** Returns a fence higher than all known ones. */
function nextFence(co: Coordinator): number {
	co.fenceCounter++
	const low = Math.floor(co.random() * 2 ** FENCE_BITS)
	return co.fenceCounter * 2 ** FENCE_BITS + low
}

/**
 * Runs a round to its end, or until the coordinator is stopped. Without a plan, the round
 * only completes the change of an older one.
 */
export async function runRound(
	co: Coordinator,
	report: RankReport,
	plan: MapPlan | undefined,
): Promise<void> {
	const fence = nextFence(co)
	const { epoch, size } = report
	const round = createRound(fence, epoch, size, plan?.placements, co.undo)
	const startedAt = readNow()
	const run: RunningRound = {
		round,
		inFlight: new Set(),
		broadcasts: 0,
		mostNew: plan?.mostNew ?? 0,
		progressAt: readElapsed(),
	}
	co.log.write('round begun', {
		fence,
		epoch: round.epoch,
		step: report.step,
		held: report.held,
	})
	const roundTripMs = estimateRoundTripMs(co, round.ranks)
	const phases: string[] = []
	let urgentMs = 0
	let lastPhase = round.phase
	let phaseAt = startedAt
	while (!isRoundOver(round) && !co.stopped) {
		sendPendingOrders(co, run)
		await delay(
			isUrgentPhase(round.phase) ? POLL_INTERVAL_MS / 8 : POLL_INTERVAL_MS / 2,
		)
		if (needsReport(round)) {
			const { phase } = round
			const anchorReport = await readAnchor(co)
			const leadMs = computeLeadMs(co.armingMs, roundTripMs)
			const leadPasses = Math.max(1, Math.ceil(leadMs / co.passMs))
			if (anchorReport && round.phase === phase)
				applyAnchorReport(round, anchorReport, leadPasses)
		}
		if (round.phase !== lastPhase) {
			const tookMs = readNow() - phaseAt
			phases.push(`${lastPhase} ${Math.round(tookMs)}`)
			if (isUrgentPhase(lastPhase)) urgentMs += tookMs
			if (lastPhase === 'arming' && round.phase === 'releasing')
				co.armingMs = updateArmingMs(co.armingMs, urgentMs)
			phaseAt = readNow()
			run.broadcasts = 0
			run.progressAt = readElapsed()
		}
		co.copying = round.phase === 'preparing'
		co.urgent = isUrgentPhase(round.phase)
		lastPhase = round.phase
		const probeTimeoutMs = computeProbeTimeoutMs(co.armingMs, roundTripMs)
		if (round.phase === 'probing' && readNow() - phaseAt > probeTimeoutMs) {
			co.armingMs = raiseArmingMs(co.armingMs, probeTimeoutMs)
			abandonProbing(round)
		}
		if (co.shiftedAt > startedAt && round.map && canAbandon(round)) {
			round.reason = OUTDATED
			break
		}
		const isStalled =
			readElapsed() - run.progressAt >
			STALL_TIMEOUT_MS + estimateCopyingMs(co, run)
		if (isStalled && canAbandon(round)) break
	}
	co.copying = false
	co.urgent = false
	await finishRound(co, run, startedAt, phases)
}

/** Whether a round needs a report of the anchor to proceed. */
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

/** Whether a phase delays passes if it takes longer than the lead. */
function isUrgentPhase(phase: RoundPhase): boolean {
	return (
		phase === 'holding' ||
		phase === 'probing' ||
		phase === 'arming' ||
		phase === 'releasing'
	)
}

/** Whether a round can be abandoned, as it has neither held nor armed anything. */
function canAbandon({ phase }: GroupRound): boolean {
	return phase === 'fencing' || phase === 'preparing' || phase === 'waiting'
}

function recordOverhead(co: Coordinator, tookMs: number): void {
	co.overheadMs += OVERHEAD_WEIGHT * (Math.max(0, tookMs) - co.overheadMs)
}

async function finishRound(
	co: Coordinator,
	run: RunningRound,
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
		// Another coordinator may have used a higher counter than any report shows.
		co.fenceCounter += 1 + Math.floor(co.random() * 8)
		await delay(FAILURE_DELAY_MS * (0.5 + co.random()))
		return
	}
	const hasOwnMap = round.map && !round.inherited && round.version > 0
	if (!hasOwnMap) return
	co.lastCopyingMs = estimateCopyingMs(co, run)
	recordOverhead(co, readNow() - startedAt - co.lastCopyingMs)
	setMap(co, round.map!, { epoch: round.epoch, map: round.version })
}
