/**
 * CRC-32 as in zlib. Node's own one came with release 20.15; on an earlier one, a program
 * that imports it does not start.
 */

const POLYNOMIAL = 0xed_b8_83_20
const BITS_PER_BYTE = 8
const BYTE_MASK = 0xff

/** Remainder of each byte. */
const REMAINDERS = Int32Array.from({ length: BYTE_MASK + 1 }, (_, byte) => {
	let rest = byte
	for (let bit = 0; bit < BITS_PER_BYTE; bit++)
		rest = rest & 1 ? (rest >>> 1) ^ POLYNOMIAL : rest >>> 1
	return rest
})

/** Returns the CRC-32 of a text in UTF-8, from 0 to 2^32 - 1. */
export function checksum(text: string): number {
	let rest = -1
	for (const byte of Buffer.from(text))
		rest = REMAINDERS[(rest ^ byte) & BYTE_MASK]! ^ (rest >>> BITS_PER_BYTE)
	return ~rest >>> 0
}
