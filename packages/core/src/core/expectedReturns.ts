/**
 * Recognizes callers that come back after a refusal, at any entry: by the fingerprint of
 * the refused request and the time that its caller was told. A caller that comes when
 * told counts as returned, once; one that comes earlier does not.
 */

/** How much earlier than told a caller may come, ms: clocks and delays of messages. */
const EARLY_MS = 100
/** How much later a caller may come, ms: it opens a new connection, and may be slow. */
const LATE_MS = 1_500
/** Callers that are remembered; the oldest are forgotten beyond them. */
const MAX_EXPECTED = 4_096
/** Callers that one report to other entries names; the newest. */
export const MAX_REPORTED_RETURNS = 32

/** A refused caller that was told when to come back. */
export interface ExpectedReturn {
	/** First 32 bits of the digest of its request. */
	readonly fingerprint: number
	readonly dueAt: number
}

/** Refused callers that are expected back. */
export interface ExpectedReturns {
	/** When each is due, by fingerprint, ms. */
	readonly dueAt: Map<number, number>
	/** Refused by this entry since its last report, oldest first. */
	unreported: ExpectedReturn[]
}

/** Creates a state that expects none. */
export function createExpectedReturns(): ExpectedReturns {
	return { dueAt: new Map(), unreported: [] }
}

/** Remembers a caller that this entry has refused. */
export function expectReturn(
	returns: ExpectedReturns,
	expected: ExpectedReturn,
): void {
	learnReturn(returns, expected)
	returns.unreported.push(expected)
	if (returns.unreported.length > MAX_REPORTED_RETURNS)
		returns.unreported.shift()
}

/** Remembers a caller that another entry has refused. */
export function learnReturn(
	{ dueAt }: ExpectedReturns,
	expected: ExpectedReturn,
): void {
	dueAt.delete(expected.fingerprint)
	dueAt.set(expected.fingerprint, expected.dueAt)
	if (dueAt.size <= MAX_EXPECTED) return
	const [oldest] = dueAt.keys()
	dueAt.delete(oldest!)
}

/** Returns and clears what is to be reported to other entries. */
export function drainReturns(returns: ExpectedReturns): ExpectedReturn[] {
	const { unreported } = returns
	returns.unreported = []
	return unreported
}

/** Whether a request comes from a refused caller that is due; true once for each. */
export function takeReturn(
	{ dueAt }: ExpectedReturns,
	fingerprint: number,
	now: number,
): boolean {
	const due = dueAt.get(fingerprint)
	if (due === undefined || now < due - EARLY_MS) return false
	dueAt.delete(fingerprint)
	return now <= due + LATE_MS
}

/** Forgets callers that have not come back in time. */
export function expireReturns({ dueAt }: ExpectedReturns, now: number): void {
	for (const [fingerprint, due] of dueAt)
		if (now > due + LATE_MS) dueAt.delete(fingerprint)
}
