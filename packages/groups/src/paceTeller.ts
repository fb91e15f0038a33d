/** Tells entries which ranks are slow, so that they send them less. */

import type { RpcLink } from '@juniperhook/runtime'
import { connectRpc, messageOf, notify, readNow } from '@juniperhook/runtime'

/** A rank counts as slow from this pace on. */
const SLOW_PACE = 1.2
/** Between two tellings while some rank is slow, ms. */
const TELL_MS = 1_000
const CONNECT_MS = 300

/** Links to entries and what they were told. */
export interface PaceTeller {
	/** Control addresses of some entries. */
	readonly entries: readonly string[]
	readonly links: Map<string, RpcLink>
	told: string
	toldAt: number
	/** Entries that could not be reached, and why. */
	onUnreached(entry: string, reason: string): void
}

/** Makes a teller without links. */
export function createPaceTeller(
	entries: readonly string[],
	onUnreached: PaceTeller['onUnreached'],
): PaceTeller {
	return { entries, links: new Map(), told: '{}', toldAt: 0, onUnreached }
}

/** Tells the paces of slow ranks, by engine address, if there is news. */
export function tellPaces(
	teller: PaceTeller,
	paces: ReadonlyMap<string, number>,
): void {
	const slow = [...paces].filter(([, pace]) => pace > SLOW_PACE)
	const text = JSON.stringify(Object.fromEntries(slow))
	const now = readNow()
	const isDue = slow.length > 0 && now - teller.toldAt > TELL_MS
	if (text === teller.told && !isDue) return
	teller.told = text
	teller.toldAt = now
	for (const entry of teller.entries)
		void tell(teller, entry, { paces: Object.fromEntries(slow) })
}

async function tell(
	teller: PaceTeller,
	entry: string,
	message: object,
): Promise<void> {
	try {
		const known = teller.links.get(entry)
		const isOpen = known !== undefined && !known.socket.destroyed
		const link = isOpen ? known : await connectRpc(entry, {}, CONNECT_MS)
		teller.links.set(entry, link)
		notify(link, 'paces', message)
	} catch (err) {
		teller.onUnreached(entry, messageOf(err))
	}
}
