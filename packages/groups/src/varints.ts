/**
 * Whole numbers as text for JSON messages, seven bits a byte: most of what agents
 * tell each other is below 128, and a small VM's link carries half a KB a ms.
 */

const BITS = 7
const MORE = 1 << BITS
const MAX_BYTES = 5

/** Base64 of numbers from 0 to 2^31, each in as few bytes as it takes. */
export function packNumbers(numbers: readonly number[]): string {
	const bytes: number[] = []
	for (const number of numbers) {
		let rest = number
		while (rest >= MORE) {
			bytes.push((rest % MORE) + MORE)
			rest = Math.floor(rest / MORE)
		}
		bytes.push(rest)
	}
	return Buffer.from(bytes).toString('base64')
}

/** The numbers that were packed; throws a RangeError when one is cut short. */
export function unpackNumbers(packed: string): number[] {
	const numbers: number[] = []
	let number = 0
	let length = 0
	for (const byte of Buffer.from(packed, 'base64')) {
		number += (byte % MORE) * 2 ** (BITS * length)
		length++
		if (length > MAX_BYTES) throw new RangeError('a number is too long')
		if (byte >= MORE) continue
		numbers.push(number)
		number = 0
		length = 0
	}
	if (length > 0) throw new RangeError('a number is cut short')
	return numbers
}
