/** What a failed call proves: whether a byte can have reached the other side. */

import { errors } from 'undici'

const NEVER_CONNECTED = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']

/** Whether the call failed before there was a connection to send on. */
export function neverConnected(err: unknown): boolean {
	if (err instanceof errors.ConnectTimeoutError) return true
	const code = err instanceof Error && 'code' in err ? String(err.code) : ''
	return NEVER_CONNECTED.includes(code)
}
