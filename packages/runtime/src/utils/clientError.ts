/** Classifies requests that Node's HTTP parser rejected. */

import type { ErrorKind } from '@juniperhook/core'

/**
 * Returns the error kind for a code of Node's `clientError` event; undefined if the
 * caller closed the connection.
 */
export function kindOfClientError(
	code: string | undefined,
): ErrorKind | undefined {
	switch (code) {
		case 'HPE_HEADER_OVERFLOW':
			return 'headersTooLarge'
		case 'ERR_HTTP_REQUEST_TIMEOUT':
			return 'requestTimeout'
		case 'ECONNRESET':
		case 'EPIPE':
			return undefined
		default:
			return 'badRequest'
	}
}
