/**
 * How a round goes on: what follows from the answer to an order, and from a
 * report of the anchor. See groupRound.ts for why each rule stands.
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

/** The order that a phase gives, if any. */
const ORDER_OF: Record<RoundPhase, EngineOrder['type'] | undefined> = {
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

/** Takes the answer to an order of this round. */
export function applyOrderAnswer(
	round: GroupRound,
	{ rank, order }: PendingOrder,
	answer: OrderAnswer,
): void {
	if (isRoundOver(round) || order.type !== ORDER_OF[round.phase]) return
	if ('step' in order && order.step !== round.step) return
	const expected =
		round.phase === 'fencing' ? unusedVersion(round.fence) : round.version
	if ('version' in order && order.version !== expected) return
	switch (answer) {
		case 'silent':
			return
		case 'fenced':
			fail(round, 'a newer round has begun')
			return
		case 'conflict':
			takeConflict(round, rank)
			return
		case 'done':
			confirm(round, rank)
			return
		default:
			answer satisfies never
	}
}

function confirm(round: GroupRound, rank: number): void {
	switch (round.phase) {
		case 'fencing':
			enter(round, 'inspecting')
			return
		case 'holding':
			enter(round, 'probing')
			return
		case 'probing':
			if (confirmRank(round, rank)) enter(round, 'arming')
			return
		case 'releasing':
			enter(round, round.version === 0 ? 'done' : 'settling')
			return
		case 'preparing':
			if (confirmRank(round, rank)) enter(round, 'holding')
			return
		case 'arming':
			if (confirmRank(round, rank)) enter(round, 'releasing')
			return
		case 'disarming':
			// Nobody is armed and no older order can arm: the hold may go.
			if (!confirmRank(round, rank)) return
			round.version = 0
			enter(round, 'releasing')
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

/** True when all ranks have confirmed. */
function confirmRank(round: GroupRound, rank: number): boolean {
	round.confirmed.add(rank)
	return round.confirmed.size === round.ranks
}

function enter(round: GroupRound, phase: RoundPhase): void {
	round.phase = phase
	round.confirmed.clear()
}

function fail(round: GroupRound, reason: string): void {
	enter(round, 'failed')
	round.reason = reason
}

function takeConflict(round: GroupRound, rank: number): void {
	switch (round.phase) {
		case 'arming':
			// The group stays held. Taking back needs a new fence: an order of
			// this round may still arm a rank after it has been disarmed.
			fail(round, REFUSED_TO_ARM)
			return
		case 'holding':
			// The pass has begun: a later one is chosen with the next report.
			round.step = 0
			return
		case 'preparing':
			fail(round, `rank ${rank} cannot prepare`)
			return
		case 'fencing':
		case 'probing':
		case 'disarming':
		case 'releasing':
			fail(round, `rank ${rank} refuses: the group has formed anew`)
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
 * Takes a report of the anchor that was made after the present phase began.
 * `lead` is the number of passes that are to begin before the change.
 */
export function applyAnchorReport(
	round: GroupRound,
	report: RankReport,
	lead: number,
): void {
	if (isRoundOver(round)) return
	if (report.epoch !== round.epoch || !report.open) {
		fail(round, 'the group has formed anew')
		return
	}
	switch (round.phase) {
		case 'inspecting':
		case 'waiting':
			inspect(round, report)
			return
		case 'holding':
			if (round.step === 0) round.step = report.step + 1 + lead
			return
		case 'settling':
			settle(round, report)
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
 * Gives a change up because a rank has not answered the probe: nothing has been
 * armed under this fence, so the group may go on with its old map.
 */
export function abandonProbing(round: GroupRound): void {
	if (round.phase !== 'probing') return
	round.version = 0
	enter(round, 'releasing')
}

function settle(round: GroupRound, report: RankReport): void {
	if (report.map === round.version) enter(round, 'done')
	// A double of the hold that came after the release: every rank is armed,
	// and the release has to be given again, or the group stands still for good.
	else if (report.held === round.step) enter(round, 'releasing')
	else if (!report.armed) fail(round, 'another round took the change back')
}

function inspect(round: GroupRound, report: RankReport): void {
	const { held, armed, prepared } = report
	if (held !== undefined) {
		// Every rank had prepared this version before the hold was asked for.
		round.inherited = true
		round.step = held
		round.version = armed?.version ?? prepared ?? 0
		if (round.version === 0) enter(round, 'releasing')
		else enter(round, round.undo ? 'disarming' : 'arming')
		return
	}
	if (armed !== undefined) {
		enter(round, 'waiting')
		return
	}
	if (round.map) enter(round, 'preparing')
	else enter(round, 'done')
}
