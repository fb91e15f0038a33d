/**
 * What the requests of a rank have chosen since it was last asked. Engines tell
 * totals since their start; between agents only what is new travels, a byte an
 * expert or less: the totals of 1,728 experts take 9 KB as JSON, and those of 16
 * ranks five times a second fill the link of a small VM.
 */

import type { RankReport } from '@juniperhook/core'
import type { EnginePort, RankCounts, RankSample } from './ports.ts'

const MAX_BYTE = 255
/**
 * From this number of experts of all sets on, a count takes half a byte: its root,
 * whose step is below what chance makes of a count. 3,840 experts take 2.6 KB in
 * place of 5.1, of a link that carries half a KB a ms.
 */
const MANY = 2_000
const MAX_ROOT = 15

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

/** Choices since the last counts; none where those are of another life or epoch. */
function takeNew(reader: ChoiceReader, counts: RankCounts): number[] {
	const { last } = reader
	reader.last = counts
	// A rank that has started anew counts from nought.
	const isSame =
		last?.epoch === counts.epoch &&
		last.bornAt === counts.bornAt &&
		last.counts.length === counts.counts.length
	if (!isSame) return []
	return counts.counts.map((count, at) => Math.max(0, count - last.counts[at]!))
}

/** A sample as agents send it to each other. */
export interface SampleMessage extends Omit<RankSample, 'chosen'> {
	/**
	 * Base64 of a byte an expert; times `unit`, it is the number of choices. Of
	 * many experts, two in a byte, the first one low; the square of each, times
	 * `unit`, is the number.
	 */
	readonly packed: string
	readonly unit: number
}

/** Turns a sample into a message. */
export function toSampleMessage(sample: RankSample): SampleMessage {
	const { chosen, ...rest } = sample
	const most = chosen.reduce((so, count) => Math.max(so, count), 0)
	const isMany = chosen.length > MANY
	const unit = Math.max(1, most / (isMany ? MAX_ROOT ** 2 : MAX_BYTE))
	const bytes = isMany ? packRoots(chosen, unit) : packBytes(chosen, unit)
	return { ...rest, unit, packed: bytes.toString('base64') }
}

/** Turns a message about so many experts of all sets into a sample. */
export function fromSampleMessage(
	message: SampleMessage,
	experts: number,
): RankSample {
	const { packed, unit, ...rest } = message
	const bytes = Buffer.from(packed, 'base64')
	const isMany = experts > MANY
	const chosen = isMany
		? unpackRoots(bytes, unit).slice(0, experts)
		: Array.from(bytes, byte => byte * unit)
	return { ...rest, chosen }
}

/** Bytes of a sample of so many experts, before they are base64. */
export function sampleBytes(experts: number): number {
	return experts > MANY ? Math.ceil(experts / 2) : experts
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

/** An odd number of experts leaves a nought behind the last one. */
function unpackRoots(bytes: Buffer, unit: number): number[] {
	const chosen: number[] = []
	for (const byte of bytes) {
		const low = byte % (MAX_ROOT + 1)
		const high = (byte - low) / (MAX_ROOT + 1)
		chosen.push(low * low * unit, high * high * unit)
	}
	return chosen
}
