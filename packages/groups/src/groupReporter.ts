/**
 * Sends group reports to some entries, which forward them to the others: whether the
 * group runs, which ranks are slow, and its limit of requests in flight. Further entries
 * are learnt from the answers, because the ones configured at the start may be gone.
 */

import { randomBytes } from 'node:crypto'
import type { RpcLink } from '@juniperhook/runtime'
import { call, messageOf, readNow } from '@juniperhook/runtime'
import type { CoordinatedStatus } from './coordinatorState.ts'
import type { LinkCache } from './linkCache.ts'
import { createLinkCache, dropLink, reachLink } from './linkCache.ts'

/** Slowdown factor above which a rank is reported as slow. */
const MIN_REPORTED_SLOWDOWN = 1.2
/** Interval at which a report that is not the normal one is repeated, ms. */
const REPORT_INTERVAL_MS = 1_000
/** The same interval after an entry has not confirmed the last report, ms. */
const RETRY_INTERVAL_MS = 200
const CONNECT_TIMEOUT_MS = 300
/**
 * Time within which an entry has to confirm a report, ms; after it, the link is closed
 * and the report repeated over a new one.
 */
const CONFIRM_TIMEOUT_MS = 500

/** Number of entries that receive each report; any one of them forwards it to all. */
const ENTRIES_PER_REPORT = 3
/** Maximum number of known entries; those that failed last are at the end. */
const MAX_KNOWN_ENTRIES = 24

/** Report of a group that runs without slow ranks and limit. */
const NORMAL_REPORT = JSON.stringify({ slow: {} })

/** Links to entries and the state of reports to them. */
export interface GroupReporter extends LinkCache {
	/** Control addresses of entries, in order of preference. */
	entries: readonly string[]
	/** Distinguishes the reports of this process from those of other coordinators. */
	readonly by: string
	/** Number of reports so far. */
	reportCount: number
	/** The last report without its header, as JSON. */
	lastReport: string
	reportedAt: number
	/** Whether an entry has not confirmed the last report. */
	unconfirmed: boolean
	/** Called when an entry could not be reached, with the reason. */
	onUnreachable(entry: string, reason: string): void
}

/** Creates a reporter without links. */
export function createGroupReporter(
	entries: readonly string[],
	onUnreachable: GroupReporter['onUnreachable'],
): GroupReporter {
	return {
		...createLinkCache(),
		entries,
		by: randomBytes(6).toString('base64url'),
		reportCount: 0,
		lastReport: NORMAL_REPORT,
		reportedAt: 0,
		unconfirmed: false,
		onUnreachable,
	}
}

/** Status of a group, to be reported to entries. */
export interface GroupStatus extends CoordinatedStatus {
	/** Service and name of the group, `service/name`. */
	readonly group: string
}

/** Reports a group's status if it has changed, or again if it is not the normal one. */
export function reportGroup(
	reporter: GroupReporter,
	status: GroupStatus,
): void {
	const { group, slowdowns, maxInFlightPerRank, open } = status
	const slowRanks = [...slowdowns].filter(
		([, slowdown]) => slowdown > MIN_REPORTED_SLOWDOWN,
	)
	const slow = Object.fromEntries(slowRanks)
	const isLimited = maxInFlightPerRank !== undefined
	const report = {
		slow,
		...(isLimited && { limit: maxInFlightPerRank }),
		...(!open && { broken: true }),
	}
	const text = JSON.stringify(report)
	const now = readNow()
	const isRepeated = text !== NORMAL_REPORT || reporter.unconfirmed
	const intervalMs = reporter.unconfirmed
		? RETRY_INTERVAL_MS
		: REPORT_INTERVAL_MS
	if (
		text === reporter.lastReport &&
		!(isRepeated && now - reporter.reportedAt > intervalMs)
	)
		return
	reporter.unconfirmed = false
	reporter.lastReport = text
	reporter.reportedAt = now
	reporter.reportCount++
	const { by, reportCount } = reporter
	const message = { group, by, number: reportCount, hops: 0, ...report }
	for (const entry of reporter.entries.slice(0, ENTRIES_PER_REPORT))
		void sendReport(reporter, entry, message)
}

async function sendReport(
	reporter: GroupReporter,
	entry: string,
	message: object,
): Promise<void> {
	let link: RpcLink | undefined
	try {
		link = await reachLink(reporter, entry, {}, CONNECT_TIMEOUT_MS)
		const others = await call<string[]>(
			link,
			'paces',
			message,
			CONFIRM_TIMEOUT_MS,
		)
		const unknown = others.filter(other => !reporter.entries.includes(other))
		reporter.entries = [...reporter.entries, ...unknown].slice(
			0,
			MAX_KNOWN_ENTRIES,
		)
	} catch (err) {
		// A link may fail without a reset; only the missing answer shows it.
		// The next report opens a new link.
		if (link) dropLink(reporter, entry, link)
		reporter.unconfirmed = true
		// The entry moves to the end, so the next report goes to another one instead.
		const rest = reporter.entries.filter(other => other !== entry)
		reporter.entries = [...rest, entry]
		reporter.onUnreachable(entry, messageOf(err))
	}
}
