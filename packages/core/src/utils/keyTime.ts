/**
 * Creation times of idempotency keys. The keys are UUIDv7 (RFC 9562): their first 48 bits
 * are the Unix time in milliseconds at which the caller created them.
 */

const UUID_V7 =
	/^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const TIME_DIGITS = 12
const HEX = 16

/** Returns the creation time of a key, Unix ms, or `undefined` if it is not a UUIDv7. */
export function readKeyTime(key: string): number | undefined {
	if (!UUID_V7.test(key)) return undefined
	const digits = key.replaceAll('-', '').slice(0, TIME_DIGITS)
	return Number.parseInt(digits, HEX)
}

/** Creates a UUIDv7 from `wallMs` (Unix milliseconds) and 16 random bytes. */
export function makeKey(wallMs: number, bytes: Uint8Array): string {
	const hex = Array.from(bytes, byte => byte.toString(HEX).padStart(2, '0'))
	const tail = hex.join('')
	const time = Math.floor(wallMs).toString(HEX).padStart(TIME_DIGITS, '0')
	const variant = (8 + ((bytes[8] ?? 0) & 3)).toString(HEX)
	return [
		time.slice(0, 8),
		time.slice(8),
		`7${tail.slice(13, 16)}`,
		`${variant}${tail.slice(17, 20)}`,
		tail.slice(20, 32),
	].join('-')
}
