/**
 * Estimates the memory of a JSON text once it is parsed. A text of many small values takes
 * tens of times its size, which a limit on its bytes does not bound.
 */

const QUOTE = 0x22
const COMMA = 0x2c
const BACKSLASH = 0x5c
const OPENING_BRACKET = 0x5b
const OPENING_BRACE = 0x7b

/** Memory of an object or array, with its place in its parent, bytes. */
const CONTAINER_BYTES = 128
/** Memory of a text or the name of a field besides its bytes. */
const TEXT_BYTES = 64
/** Memory of another value: a place in its parent. */
const VALUE_BYTES = 16

/** Returns the estimated memory of a JSON text once it is parsed, bytes. */
export function estimateParsedBytes(json: Uint8Array): number {
	let bytes = json.length
	for (let at = 0; at < json.length; at++)
		switch (json[at]) {
			case QUOTE:
				bytes += TEXT_BYTES
				at = findTextEnd(json, at + 1)
				break
			case OPENING_BRACE:
			case OPENING_BRACKET:
				bytes += CONTAINER_BYTES
				break
			case COMMA:
				bytes += VALUE_BYTES
				break
		}
	return bytes
}

/** Returns the offset of the quote that ends a text, or the end of the JSON text. */
function findTextEnd(json: Uint8Array, start: number): number {
	for (let at = start; at < json.length; at++) {
		if (json[at] === QUOTE) return at
		if (json[at] === BACKSLASH) at++
	}
	return json.length
}
