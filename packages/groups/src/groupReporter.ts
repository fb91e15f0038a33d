/**
 * Tells some entries whether a group runs, which ranks are slow and how much it may
 * hold; they tell the others. Which entries there are it learns from those that it
 * reaches: the ones named at its start may be gone.
 */

import { randomBytes } from 'node:crypto'
import type { RpcLink } from '@juniperhook/runtime'
import { call, connectRpc, messageOf, readNow } from '@juniperhook/runtime'
import type { CoordinatedStatus } from './coordinatorState.ts'

/** A rank counts as slow from this pace on. */
const SLOW_PACE = 1.2
/** Between two tellings of what is not ordinary, ms. */
const TELL_MS = 1_000
/** The same after some entry has missed the last one, ms. */
const MISSED_MS = 200
const CONNECT_MS = 300
/** An entry that has not confirmed by then is told again on a new link, ms. */
const CONFIRM_MS = 500

/** Entries that are told each time: any one of them passes it on to all. */
const TOLD_AT_ONCE = 3
/** Entries that are remembered; the ones that failed last are at the end. */
const MOST_KNOWN = 24

/** What is told of a group that runs, without slow ranks and limit. */
const ORDINARY = JSON.stringify({ slow: {} })

/** Links to entries and what they were told. */
export interface PaceTeller {
	/** Control addresses of entries, those to tell first in front. */
	entries: readonly string[]
	readonly links: Map<string, RpcLink>
	/** Tells this process's news from those of other coordinators. */
	readonly by: string
	/** How many times something was told. */
	count: number
	told: string
	toldAt: number
	/** Whether an entry has missed what was told last. */
	missed: boolean
	/** Entries that could not be reached, and why. */
	onUnreached(entry: string, reason: string): void
}

/** Makes a teller without links. */
export function createPaceTeller(
	entries: readonly string[],
	onUnreached: PaceTeller['onUnreached'],
): PaceTeller {
	return {
		entries,
		links: new Map(),
		by: randomBytes(6).toString('base64url'),
		count: 0,
		told: ORDINARY,
		toldAt: 0,
		missed: false,
		onUnreached,
	}
}

/** What entries are told of a group. */
export interface GroupStatus extends CoordinatedStatus {
	/** The service and the group's name in it. */
	readonly group: string
}

/** Tells entries what is not ordinary of a group, or what has changed. */
export function tellPaces(teller: PaceTeller, status: GroupStatus): void {
	const { group, paces, allowedHeld, open } = status
	const slowOnes = [...paces].filter(([, pace]) => pace > SLOW_PACE)
	const slow = Object.fromEntries(slowOnes)
	const isLimited = allowedHeld !== undefined
	const told = {
		slow,
		...(isLimited && { limit: allowedHeld }),
		...(!open && { broken: true }),
	}
	const text = JSON.stringify(told)
	const now = readNow()
	const isRepeated = text !== ORDINARY || teller.missed
	const pauseMs = teller.missed ? MISSED_MS : TELL_MS
	if (text === teller.told && !(isRepeated && now - teller.toldAt > pauseMs))
		return
	teller.missed = false
	teller.told = text
	teller.toldAt = now
	teller.count++
	const { by, count } = teller
	const news = { group, by, number: count, hops: 0, ...told }
	for (const entry of teller.entries.slice(0, TOLD_AT_ONCE))
		void tell(teller, entry, news)
}

async function tell(
	teller: PaceTeller,
	entry: string,
	message: object,
): Promise<void> {
	const known = teller.links.get(entry)
	let link = known?.socket.destroyed === false ? known : undefined
	try {
		link ??= await connectRpc(entry, {}, CONNECT_MS)
		teller.links.set(entry, link)
		const others = await call<string[]>(link, 'paces', message, CONFIRM_MS)
		const unknown = others.filter(one => !teller.entries.includes(one))
		teller.entries = [...teller.entries, ...unknown].slice(0, MOST_KNOWN)
	} catch (err) {
		// Without a reset, only the missing answer tells of a link gone silent.
		link?.socket.destroy()
		teller.missed = true
		// Another one is told in its place, until that one fails too.
		const rest = teller.entries.filter(one => one !== entry)
		teller.entries = [...rest, entry]
		teller.onUnreached(entry, messageOf(err))
	}
}
