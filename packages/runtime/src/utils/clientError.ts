/** What a request was that Node's parser gave up on. */

import type { ErrorKind } from '@juniperhook/core'

/** The kind of such a request; undefined when the connection just ended. */
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
