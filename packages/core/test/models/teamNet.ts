/**
 * Simulates entries that enforce a team's limit together, in virtual time: the real
 * decisions, and messages that are delayed, lost, or unanswered because the team home
 * has stopped.
 */

import type { LimitTable, TeamConfig } from '../../src/index.ts'
import {
	admitAtTeamHome,
	admitForEntry,
	admitWithinShare,
	beginTeamHomeAdmission,
	createLimits,
	createRandom,
	endTeamHomeAdmission,
	findTeamHome,
	isEnforcedAtTeamHome,
	pruneInFlightElsewhere,
	recordTeamInFlight,
	releaseTeam,
	reportTeamInFlight,
} from '../../src/index.ts'

const TEAM = 'rangers'
/** Minimum and maximum one-way latency between two entries, ms. */
const LATENCY_MS = [1, 40] as const
/** Time-out of an admission request, ms. */
const REQUEST_TIMEOUT_MS = 300
/** Interval at which entries report their requests in flight to the team home, ms. */
const REPORT_MS = 10_000

/** Inputs of a simulation. */
export interface TeamScenario {
	readonly entries: number
	readonly limit: TeamConfig
	/** Requests per second, and tokens per request. */
	readonly demand: number
	readonly tokens: number
	/** Duration of a request, ms. */
	readonly runMs: number
	/** Share of requests sent to the first entry; the rest goes to a random entry. */
	readonly firstEntryShare: number
	/** Share of messages that are lost. */
	readonly lossRate: number
	/** When the team home stops and the others learn of it, ms. */
	readonly teamHomeStopsAt?: number
	readonly endsAt: number
	readonly seed: number
}

/** Admitted request and the period in which it ran, ms. */
export interface TeamRun {
	readonly from: number
	readonly to: number
}

interface Entry {
	readonly name: string
	readonly limits: LimitTable
	names: readonly string[]
}

/** Simulates a scenario; returns the requests that were admitted. */
export function simulateTeam(scenario: TeamScenario): TeamRun[] {
	const {
		entries: count,
		limit,
		demand,
		tokens,
		runMs,
		firstEntryShare,
	} = scenario
	const random = createRandom(scenario.seed)
	const names = Array.from({ length: count }, (_, at) => `entry-${at}`)
	const entries = names.map(
		(name): Entry => ({ name, limits: createLimits(), names }),
	)
	const byName = new Map(entries.map(one => [one.name, one]))
	const queue: { at: number; run: () => void }[] = []
	const runs: TeamRun[] = []
	let now = 0
	const after = (ms: number, run: () => void) => {
		queue.push({ at: now + ms, run })
	}
	// Messages on a link arrive in the order in which they were sent.
	const arrivals = new Map<string, number>()
	const send = (from: string, to: string, run: () => void) => {
		const [minMs, maxMs] = LATENCY_MS
		const link = `${from} ${to}`
		const earliest = now + minMs + random() * (maxMs - minMs)
		const at = Math.max(earliest, arrivals.get(link) ?? 0)
		arrivals.set(link, at)
		if (random() >= scenario.lossRate) after(at - now, run)
	}

	function report(entry: Entry): void {
		const teamHome = findTeamHome(TEAM, entry.names)!
		const held = reportTeamInFlight(entry.limits, TEAM)
		if (teamHome === entry.name) return
		send(entry.name, teamHome, () => {
			const teamHomeEntry = byName.get(teamHome)
			if (teamHomeEntry)
				recordTeamInFlight(teamHomeEntry.limits, TEAM, entry.name, held)
		})
	}

	function begin(entry: Entry): void {
		runs.push({ from: now, to: now + runMs })
		after(runMs, () => {
			releaseTeam(entry.limits, TEAM)
			report(entry)
		})
	}

	function admitLocally(entry: Entry): void {
		const share = { count: entry.names.length, index: indexOfEntry(entry) }
		if (!admitWithinShare(entry.limits, TEAM, limit, tokens, share, now))
			begin(entry)
	}

	function requestAdmission(entry: Entry, teamHome: string): void {
		const held = beginTeamHomeAdmission(entry.limits, TEAM, limit, now)
		let isOver = false
		const settle = (then: () => void) => {
			if (isOver) return
			isOver = true
			then()
		}
		after(REQUEST_TIMEOUT_MS, () =>
			settle(() => {
				endTeamHomeAdmission(entry.limits, TEAM, false)
				report(entry)
				admitLocally(entry)
			}),
		)
		send(entry.name, teamHome, () => {
			const teamHomeEntry = byName.get(teamHome)
			if (!teamHomeEntry) return
			const request = { entry: entry.name, held, tokens }
			const refusal = admitForEntry(
				teamHomeEntry.limits,
				TEAM,
				limit,
				request,
				now,
			)
			send(teamHome, entry.name, () =>
				settle(() => {
					if (endTeamHomeAdmission(entry.limits, TEAM, !refusal)) report(entry)
					if (!refusal) begin(entry)
				}),
			)
		})
	}

	function receive(entry: Entry): void {
		const teamHome = findTeamHome(TEAM, entry.names)!
		if (!isEnforcedAtTeamHome(limit, entry.names.length)) admitLocally(entry)
		else if (teamHome !== entry.name) requestAdmission(entry, teamHome)
		else if (!admitAtTeamHome(entry.limits, TEAM, limit, tokens, now))
			begin(entry)
	}

	function stopTeamHome(): void {
		const teamHome = findTeamHome(TEAM, names)!
		byName.delete(teamHome)
		const remaining = names.filter(name => name !== teamHome)
		for (const entry of byName.values()) {
			entry.names = remaining
			const isTeamHome = () => findTeamHome(TEAM, remaining) === entry.name
			pruneInFlightElsewhere(entry.limits, new Set(remaining), isTeamHome)
		}
	}

	for (let at = 0; at < scenario.endsAt; at += 1_000 / demand) {
		const entry = random() < firstEntryShare ? 0 : Math.floor(random() * count)
		queue.push({
			at,
			run: () => {
				const { name } = entries[entry]!
				const live = byName.get(name) ?? [...byName.values()][0]!
				receive(live)
			},
		})
	}
	for (let at = REPORT_MS; at < scenario.endsAt; at += REPORT_MS)
		queue.push({
			at,
			run: () => {
				for (const entry of byName.values()) report(entry)
			},
		})
	if (scenario.teamHomeStopsAt !== undefined)
		queue.push({ at: scenario.teamHomeStopsAt, run: stopTeamHome })
	runAll(queue, at => {
		now = at
	})
	return runs
}

function indexOfEntry({ name, names }: Entry): number {
	return names.indexOf(name)
}

/** Runs events in order of time; an event may add further ones. */
function runAll(
	queue: { at: number; run: () => void }[],
	setNow: (at: number) => void,
): void {
	queue.sort((a, b) => a.at - b.at)
	let added = queue.length
	for (let next = queue.shift(); next; next = queue.shift()) {
		added = queue.length
		setNow(next.at)
		next.run()
		for (const one of queue.splice(added)) insert(queue, one)
	}
}

function insert(
	queue: { at: number; run: () => void }[],
	one: { at: number; run: () => void },
): void {
	let low = 0
	let high = queue.length
	while (low < high) {
		const middle = (low + high) >> 1
		if (queue[middle]!.at <= one.at) low = middle + 1
		else high = middle
	}
	queue.splice(low, 0, one)
}
