/** Classifies failed calls by whether any byte can have reached the peer. */

import { errors } from 'undici'

const CONNECT_ERROR_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']

/** Whether the call failed before its connection was established. */
export function neverConnected(err: unknown): boolean {
	if (err instanceof errors.ConnectTimeoutError) return true
	const code = err instanceof Error && 'code' in err ? String(err.code) : ''
	return CONNECT_ERROR_CODES.includes(code)
}
