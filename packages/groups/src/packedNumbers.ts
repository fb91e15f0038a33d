/** Whole numbers from 0 to 65,535 as text for JSON messages. */

/**
 * Base64: the first byte says how many bytes a number takes, one where all are
 * below 256 and two otherwise.
 */
export function packNumbers(numbers: readonly number[]): string {
	const isSmall = numbers.every(number => number < 256)
	const packed = isSmall
		? Buffer.from([1, ...numbers])
		: Buffer.concat([Buffer.from([2]), toBytes(numbers)])
	return packed.toString('base64')
}

/** The numbers that were packed; throws a RangeError when one is cut short. */
export function unpackNumbers(packed: string): number[] {
	const bytes = Buffer.from(packed, 'base64')
	const width = bytes[0] === 1 ? 1 : 2
	const numbers: number[] = []
	for (let at = 1; at < bytes.length; at += width)
		numbers.push(bytes.readUIntLE(at, width))
	return numbers
}

function toBytes(numbers: readonly number[]): Buffer {
	const bytes = Buffer.alloc(numbers.length * 2)
	for (const [at, number] of numbers.entries())
		bytes.writeUInt16LE(number, at * 2)
	return bytes
}
