/**
 * The parts of undici that the daemons use, for their bundles: its main module
 * also loads fetch, WebSocket, caches and mocks, which stay resident. The
 * lockfile pins the version whose inner modules these are.
 */

import apiRequest from 'undici/lib/api/api-request.js'
import * as errors from 'undici/lib/core/errors.js'
import Agent from 'undici/lib/dispatcher/agent.js'

const shared = new Agent()

/** Like undici's own `request(url, options)`. */
function request(url, options = {}) {
	const { origin, pathname, search } = new URL(url)
	const { dispatcher = shared, ...rest } = options
	const method = rest.method ?? (rest.body ? 'PUT' : 'GET')
	const path = `${pathname}${search}`
	return apiRequest.call(dispatcher, { ...rest, origin, path, method })
}

export { Agent, errors, request }
