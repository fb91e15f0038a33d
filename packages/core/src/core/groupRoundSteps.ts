/**
 * Transitions of a round, on the answer to an order and on a report of the anchor. See
 * groupRound.ts for the reasons behind the rules.
 */

import type {
	EngineOrder,
	GroupRound,
	OrderAnswer,
	PendingOrder,
	RankReport,
	RoundPhase,
} from '../internal.ts'
import { isRoundOver, REFUSED_TO_ARM, unusedVersion } from '../internal.ts'

/** Type of the orders that each phase sends, if any. */
const ORDER_OF_PHASE: Record<RoundPhase, EngineOrder['type'] | undefined> = {
	fencing: 'disarm',
	inspecting: undefined,
	waiting: undefined,
	preparing: 'prepare',
	holding: 'hold',
	probing: 'probe',
	arming: 'arm',
	disarming: 'disarm',
	releasing: 'go',
	settling: undefined,
	done: undefined,
	failed: undefined,
}

/** Applies the answer to an order; answers to orders of earlier phases are ignored. */
export function applyOrderAnswer(
	round: GroupRound,
	{ rank, order }: PendingOrder,
	answer: OrderAnswer,
): void {
	if (isRoundOver(round) || order.type !== ORDER_OF_PHASE[round.phase]) return
	if ('step' in order && order.step !== round.step) return
	const expectedVersion =
		round.phase === 'fencing' ? unusedVersion(round.fence) : round.version
	if ('version' in order && order.version !== expectedVersion) return
	switch (answer) {
		case 'silent':
			return
		case 'fenced':
			fail(round, 'a newer round has begun')
			return
		case 'conflict':
			handleConflict(round, rank)
			return
		case 'done':
			advance(round, rank)
			return
		default:
			answer satisfies never
	}
}

function advance(round: GroupRound, rank: number): void {
	switch (round.phase) {
		case 'fencing':
			enterPhase(round, 'inspecting')
			return
		case 'holding':
			enterPhase(round, 'probing')
			return
		case 'probing':
			if (confirmRank(round, rank)) enterPhase(round, 'arming')
			return
		case 'releasing':
			enterPhase(round, round.version === 0 ? 'done' : 'settling')
			return
		case 'preparing':
			if (confirmRank(round, rank)) enterPhase(round, 'holding')
			return
		case 'arming':
			if (confirmRank(round, rank)) enterPhase(round, 'releasing')
			return
		case 'disarming':
			// No rank is armed, and the fence stops all older arm orders: the group can be
			// released.
			if (!confirmRank(round, rank)) return
			round.version = 0
			enterPhase(round, 'releasing')
			return
		case 'inspecting':
		case 'waiting':
		case 'settling':
		case 'done':
		case 'failed':
			return
		default:
			round.phase satisfies never
	}
}

/** Records a rank's confirmation and returns whether all ranks have confirmed. */
function confirmRank(round: GroupRound, rank: number): boolean {
	round.confirmed.add(rank)
	return round.confirmed.size === round.ranks
}

function enterPhase(round: GroupRound, phase: RoundPhase): void {
	round.phase = phase
	round.confirmed.clear()
}

function fail(round: GroupRound, reason: string): void {
	enterPhase(round, 'failed')
	round.reason = reason
}

function handleConflict(round: GroupRound, rank: number): void {
	switch (round.phase) {
		case 'arming':
			// The group stays held. A roll-back needs a new fence, because a delayed order
			// of this round could still arm a rank after it has been disarmed.
			fail(round, REFUSED_TO_ARM)
			return
		case 'holding':
			// The pass has already begun: the next report selects a later one.
			round.step = 0
			return
		case 'preparing':
			fail(round, `rank ${rank} cannot prepare`)
			return
		case 'fencing':
		case 'probing':
		case 'disarming':
		case 'releasing':
			fail(round, `rank ${rank} refuses: the group has re-formed`)
			return
		case 'inspecting':
		case 'waiting':
		case 'settling':
		case 'done':
		case 'failed':
			return
		default:
			round.phase satisfies never
	}
}

/**
 * Applies a report of the anchor that was made after the present phase began.
 * `leadPasses` is the number of passes to begin before the change takes effect.
 */
export function applyAnchorReport(
	round: GroupRound,
	report: RankReport,
	leadPasses: number,
): void {
	if (isRoundOver(round)) return
	if (report.epoch !== round.epoch || !report.open) {
		fail(round, 'the group has re-formed')
		return
	}
	switch (round.phase) {
		case 'inspecting':
		case 'waiting':
			inspect(round, report)
			return
		case 'holding':
			if (round.step === 0) round.step = report.step + 1 + leadPasses
			return
		case 'settling':
			checkSettled(round, report)
			return
		case 'fencing':
		case 'preparing':
		case 'probing':
		case 'arming':
		case 'disarming':
		case 'releasing':
		case 'done':
		case 'failed':
			return
		default:
			round.phase satisfies never
	}
}

/**
 * Abandons a change because a rank has not answered the probe. No rank has been armed
 * under this fence, so the group can continue with its old map.
 */
export function abandonProbing(round: GroupRound): void {
	if (round.phase !== 'probing') return
	round.version = 0
	enterPhase(round, 'releasing')
}

function checkSettled(round: GroupRound, report: RankReport): void {
	if (report.map === round.version) enterPhase(round, 'done')
	// A duplicate of the hold arrived after the release. Every rank is armed, so the
	// release is sent again; otherwise the group would stay held for ever.
	else if (report.held === round.step) enterPhase(round, 'releasing')
	else if (!report.armed) fail(round, 'another round rolled the change back')
}

function inspect(round: GroupRound, report: RankReport): void {
	const { held, armed, prepared } = report
	if (held !== undefined) {
		// Every rank prepared this version before the hold order was sent.
		round.inherited = true
		round.step = held
		round.version = armed?.version ?? prepared ?? 0
		if (round.version === 0) enterPhase(round, 'releasing')
		else enterPhase(round, round.undo ? 'disarming' : 'arming')
		return
	}
	if (armed !== undefined) {
		enterPhase(round, 'waiting')
		return
	}
	if (round.map) enterPhase(round, 'preparing')
	else enterPhase(round, 'done')
}
