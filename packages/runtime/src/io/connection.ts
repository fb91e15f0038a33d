/** What a failed call proves: whether a byte can have reached the other side. */

import { errors } from 'undici'

const CONNECT_ERROR_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']

/** Whether the call failed before there was a connection to send on. */
export function neverConnected(err: unknown): boolean {
	if (err instanceof errors.ConnectTimeoutError) return true
	const code = err instanceof Error && 'code' in err ? String(err.code) : ''
	return CONNECT_ERROR_CODES.includes(code)
}
