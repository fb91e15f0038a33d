/**
 * Samples of the experts that a rank's requests choose. Engines report totals since their
 * start. Agents send each other only the increments since the last sample, in at most one
 * byte per expert: the totals of 1,728 experts take 9 KB as JSON, and those of 16 ranks,
 * read five times a second, saturate the link of a small VM.
 */

import type { RankReport } from '@juniperhook/core'
import type { EnginePort, RankCounts, RankSample } from './ports.ts'

const MAX_BYTE = 255
/**
 * Number of experts of all sets above which a count is encoded as its square root in
 * half a byte. The quantization error is below the sampling noise of a count. The counts
 * of 3,840 experts then take 2.6 KB instead of 5.1 KB, on a link of half a KB per ms.
 */
const MIN_COMPACT_EXPERTS = 2_000
const MAX_ROOT = 15

/** Position of a reader of an engine's counts: the totals that it read last. */
export interface CountCursor {
	last: RankCounts | undefined
}

/** Creates a cursor before the first reading. */
export function createCountCursor(): CountCursor {
	return { last: undefined }
}

/**
 * Reads an engine's new expert choices and its load, the latter from `recentReport` if
 * given.
 * Resolves to undefined if the engine does not answer.
 */
export async function readSample(
	port: EnginePort,
	engine: string,
	cursor: CountCursor,
	recentReport: RankReport | undefined,
): Promise<RankSample | undefined> {
	const counts = await port.counts(engine)
	const report = recentReport ?? (await port.report(engine))
	if (!counts || !report) return undefined
	const { running, waiting, pace } = report
	const chosen = computeIncrements(cursor, counts)
	return { epoch: counts.epoch, chosen, running, waiting, pace }
}

/**
 * Returns the increments since the last counts; none if those belong to another
 * incarnation of the engine or to another epoch.
 */
function computeIncrements(cursor: CountCursor, counts: RankCounts): number[] {
	const { last } = cursor
	cursor.last = counts
	// An engine that has restarted counts from zero.
	const isContinued =
		last?.epoch === counts.epoch &&
		last.bornAt === counts.bornAt &&
		last.counts.length === counts.counts.length
	if (!isContinued) return []
	return counts.counts.map((count, at) => Math.max(0, count - last.counts[at]!))
}

/** Encoded sample, as sent between agents. */
export interface SampleMessage extends Omit<RankSample, 'chosen'> {
	/**
	 * Counts in base64, one byte for each expert, in multiples of `unit`. In the compact
	 * encoding for many experts, two to a byte, the first in the low half; a count is the
	 * square of its half byte, times `unit`.
	 */
	readonly packed: string
	readonly unit: number
}

/** Encodes a sample. */
export function encodeSample(sample: RankSample): SampleMessage {
	const { chosen, ...rest } = sample
	const maxCount = chosen.reduce((max, count) => Math.max(max, count), 0)
	const isCompact = chosen.length > MIN_COMPACT_EXPERTS
	const unit = Math.max(1, maxCount / (isCompact ? MAX_ROOT ** 2 : MAX_BYTE))
	const bytes = isCompact ? packRoots(chosen, unit) : packBytes(chosen, unit)
	return { ...rest, unit, packed: bytes.toString('base64') }
}

/** Decodes a sample; `experts` is the number of experts of all sets. */
export function decodeSample(
	message: SampleMessage,
	experts: number,
): RankSample {
	const { packed, unit, ...rest } = message
	const bytes = Buffer.from(packed, 'base64')
	const isCompact = experts > MIN_COMPACT_EXPERTS
	const chosen = isCompact
		? unpackRoots(bytes, unit).slice(0, experts)
		: Array.from(bytes, byte => byte * unit)
	return { ...rest, chosen }
}

/** Returns the size of the encoded counts of a sample before base64, bytes. */
export function sampleSize(experts: number): number {
	return experts > MIN_COMPACT_EXPERTS ? Math.ceil(experts / 2) : experts
}

function packBytes(chosen: readonly number[], unit: number): Buffer {
	return Buffer.from(chosen.map(count => Math.round(count / unit)))
}

function packRoots(chosen: readonly number[], unit: number): Buffer {
	const bytes = Buffer.alloc(Math.ceil(chosen.length / 2))
	for (let at = 0; at < chosen.length; at++) {
		const root = Math.round(Math.sqrt(chosen[at]! / unit))
		bytes[at >> 1]! += at % 2 === 0 ? root : root * (MAX_ROOT + 1)
	}
	return bytes
}

/** Decodes half bytes. With an odd number of experts, a zero follows the last one. */
function unpackRoots(bytes: Buffer, unit: number): number[] {
	const chosen: number[] = []
	for (const byte of bytes) {
		const low = byte % (MAX_ROOT + 1)
		const high = (byte - low) / (MAX_ROOT + 1)
		chosen.push(low * low * unit, high * high * unit)
	}
	return chosen
}
