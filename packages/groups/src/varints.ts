/**
 * Varint encoding of integers as text for JSON messages, with seven bits to a byte. Most
 * numbers that agents exchange are below 128, and a small VM's link carries half a KB per
 * ms.
 */

const PAYLOAD_BITS = 7
const CONTINUATION = 1 << PAYLOAD_BITS
const MAX_BYTES = 5

/** Encodes integers from 0 to 2^31 as varints, in base64. */
export function encodeVarints(numbers: readonly number[]): string {
	const bytes: number[] = []
	for (const number of numbers) {
		let rest = number
		while (rest >= CONTINUATION) {
			bytes.push((rest % CONTINUATION) + CONTINUATION)
			rest = Math.floor(rest / CONTINUATION)
		}
		bytes.push(rest)
	}
	return Buffer.from(bytes).toString('base64')
}

/** Decodes varints. Throws a RangeError if one is truncated or too long. */
export function decodeVarints(packed: string): number[] {
	const numbers: number[] = []
	let number = 0
	let length = 0
	for (const byte of Buffer.from(packed, 'base64')) {
		number += (byte % CONTINUATION) * 2 ** (PAYLOAD_BITS * length)
		length++
		if (length > MAX_BYTES) throw new RangeError('varint longer than 5 bytes')
		if (byte >= CONTINUATION) continue
		numbers.push(number)
		number = 0
		length = 0
	}
	if (length > 0) throw new RangeError('last varint truncated')
	return numbers
}
