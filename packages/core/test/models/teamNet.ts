/**
 * Entries that keep a team's limit together, in virtual time: the real decisions, and
 * messages between them that take time, are lost, or don't come because the home is gone.
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
/** One way between two entries, ms. */
const WAY_MS = [1, 40] as const
/** An entry gives a question up after this, ms. */
const ASK_MS = 300
/** Entries tell their homes again what is under way, ms. */
const TELL_MS = 10_000

/** What is played. */
export interface TeamStory {
	readonly entries: number
	readonly limit: TeamConfig
	/** Requests a second, and tokens of each. */
	readonly demand: number
	readonly tokens: number
	/** How long a request runs, ms. */
	readonly runsMs: number
	/** Part of the requests that come to the first entry. */
	readonly leaning: number
	/** Part of the messages that are lost. */
	readonly loss: number
	/** When the home ends and the others learn of it, ms. */
	readonly homeEndsAt?: number
	readonly endsAt: number
	readonly seed: number
}

/** A request that was admitted: from when to when it ran. */
export interface TeamRun {
	readonly from: number
	readonly to: number
}

interface Entry {
	readonly name: string
	readonly limits: LimitTable
	names: readonly string[]
}

/** Plays a story; gives what ran, and when requests were refused. */
export function playTeam(story: TeamStory): TeamRun[] {
	const { entries: count, limit, demand, tokens, runsMs, leaning } = story
	const random = createRandom(story.seed)
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
	// What one sends another comes in its order.
	const arrivals = new Map<string, number>()
	const send = (from: string, to: string, run: () => void) => {
		const [least, most] = WAY_MS
		const link = `${from} ${to}`
		const soonest = now + least + random() * (most - least)
		const at = Math.max(soonest, arrivals.get(link) ?? 0)
		arrivals.set(link, at)
		if (random() >= story.loss) after(at - now, run)
	}

	function tell(entry: Entry): void {
		const home = findTeamHome(TEAM, entry.names)!
		const held = reportTeamInFlight(entry.limits, TEAM)
		if (home === entry.name) return
		send(entry.name, home, () => {
			const keeper = byName.get(home)
			if (keeper) recordTeamInFlight(keeper.limits, TEAM, entry.name, held)
		})
	}

	function begin(entry: Entry): void {
		runs.push({ from: now, to: now + runsMs })
		after(runsMs, () => {
			releaseTeam(entry.limits, TEAM)
			tell(entry)
		})
	}

	function keepPart(entry: Entry): void {
		const part = { count: entry.names.length, place: placeOf(entry) }
		if (!admitWithinShare(entry.limits, TEAM, limit, tokens, part, now))
			begin(entry)
	}

	function ask(entry: Entry, home: string): void {
		const held = beginTeamHomeAdmission(entry.limits, TEAM, limit, now)
		let isOver = false
		const settle = (then: () => void) => {
			if (isOver) return
			isOver = true
			then()
		}
		after(ASK_MS, () =>
			settle(() => {
				endTeamHomeAdmission(entry.limits, TEAM, false)
				tell(entry)
				keepPart(entry)
			}),
		)
		send(entry.name, home, () => {
			const keeper = byName.get(home)
			if (!keeper) return
			const asked = { entry: entry.name, held, tokens }
			const refusal = admitForEntry(keeper.limits, TEAM, limit, asked, now)
			send(home, entry.name, () =>
				settle(() => {
					if (endTeamHomeAdmission(entry.limits, TEAM, !refusal)) tell(entry)
					if (!refusal) begin(entry)
				}),
			)
		})
	}

	function take(entry: Entry): void {
		const home = findTeamHome(TEAM, entry.names)!
		if (!isEnforcedAtTeamHome(limit, entry.names.length)) keepPart(entry)
		else if (home !== entry.name) ask(entry, home)
		else if (!admitAtTeamHome(entry.limits, TEAM, limit, tokens, now)) begin(entry)
	}

	function loseHome(): void {
		const home = findTeamHome(TEAM, names)!
		byName.delete(home)
		const left = names.filter(name => name !== home)
		for (const entry of byName.values()) {
			entry.names = left
			const isHome = () => findTeamHome(TEAM, left) === entry.name
			pruneInFlightElsewhere(entry.limits, new Set(left), isHome)
		}
	}

	for (let at = 0; at < story.endsAt; at += 1_000 / demand) {
		const entry = random() < leaning ? 0 : Math.floor(random() * count)
		queue.push({
			at,
			run: () => {
				const { name } = entries[entry]!
				const live = byName.get(name) ?? [...byName.values()][0]!
				take(live)
			},
		})
	}
	for (let at = TELL_MS; at < story.endsAt; at += TELL_MS)
		queue.push({
			at,
			run: () => {
				for (const entry of byName.values()) tell(entry)
			},
		})
	if (story.homeEndsAt !== undefined)
		queue.push({ at: story.homeEndsAt, run: loseHome })
	runAll(queue, at => {
		now = at
	})
	return runs
}

function placeOf({ name, names }: Entry): number {
	return names.indexOf(name)
}

/** Runs events in the order of their times; more may come meanwhile. */
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
