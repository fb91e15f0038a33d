/**
 * What the requests of a rank have chosen since it was last asked. Engines tell
 * totals since their start; between agents only what is new travels, a byte an
 * expert: the totals of 1,728 experts take 9 KB as JSON, and those of 16 ranks
 * five times a second fill the link of a small VM.
 */

import type { RankReport } from '@juniperhook/core'
import type { EnginePort, RankCounts, RankSample } from './ports.ts'

const MAX_BYTE = 255

/** What one reader has been told so far. */
export interface ChoiceReader {
	last: RankCounts | undefined
}

/** Makes a reader that has been told nothing. */
export function createChoiceReader(): ChoiceReader {
	return { last: undefined }
}

/**
 * Reads an engine's counts and how busy it was when it was last looked at;
 * undefined when it does not answer.
 */
export async function readSample(
	port: EnginePort,
	engine: string,
	reader: ChoiceReader,
	known: RankReport | undefined,
): Promise<RankSample | undefined> {
	const counts = await port.counts(engine)
	const report = known ?? (await port.report(engine))
	if (!counts || !report) return undefined
	const { running, waiting, pace } = report
	const chosen = takeNew(reader, counts)
	return { epoch: counts.epoch, chosen, running, waiting, pace }
}

/** Choices since the last counts; none where those are of another epoch. */
function takeNew(reader: ChoiceReader, counts: RankCounts): number[] {
	const { last } = reader
	reader.last = counts
	// A rank that has started anew counts from nought.
	const isSame =
		last?.epoch === counts.epoch && last.counts.length === counts.counts.length
	if (!isSame) return []
	return counts.counts.map((count, at) => Math.max(0, count - last.counts[at]!))
}

/** A sample as agents send it to each other. */
export interface SampleMessage extends Omit<RankSample, 'chosen'> {
	/** Base64 of a byte an expert; times `unit`, it is the number of choices. */
	readonly packed: string
	readonly unit: number
}

/** Turns a sample into a message. */
export function toSampleMessage(sample: RankSample): SampleMessage {
	const { chosen, ...rest } = sample
	const most = chosen.reduce((so, count) => Math.max(so, count), 0)
	const unit = Math.max(1, most / MAX_BYTE)
	const bytes = Buffer.from(chosen.map(count => Math.round(count / unit)))
	return { ...rest, unit, packed: bytes.toString('base64') }
}

/** Turns a message into a sample. */
export function fromSampleMessage(message: SampleMessage): RankSample {
	const { packed, unit, ...rest } = message
	const bytes = Buffer.from(packed, 'base64')
	return { ...rest, chosen: Array.from(bytes, byte => byte * unit) }
}
