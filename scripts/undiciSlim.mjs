/**
 * The parts of undici that the daemons use, for their bundles. Its main module also
 * loads fetch, WebSocket, caches and mocks, which would stay in memory. The lockfile
 * pins the version to which these internal modules belong.
 */

import apiRequest from 'undici/lib/api/api-request.js'
import * as errors from 'undici/lib/core/errors.js'
import Agent from 'undici/lib/dispatcher/agent.js'

const defaultDispatcher = new Agent()

/** Equivalent of undici's `request(url, options)`. */
function request(url, options = {}) {
	const { origin, pathname, search } = new URL(url)
	const { dispatcher = defaultDispatcher, ...rest } = options
	const method = rest.method ?? (rest.body ? 'PUT' : 'GET')
	const path = `${pathname}${search}`
	return apiRequest.call(dispatcher, { ...rest, origin, path, method })
}

export { Agent, errors, request }
