/** Parsing of decimal numbers in headers. */

/** Returns a finite, non-negative number, or undefined for any other text. */
export function parseDecimal(text: string): number | undefined {
	const value = text.trim() === '' ? Number.NaN : Number(text)
	return Number.isFinite(value) && value >= 0 ? value : undefined
}
