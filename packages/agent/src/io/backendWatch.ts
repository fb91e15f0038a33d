/**
 * Watches for the restart of a backend server that is leaving or down. The signals of an
 * incarnation (backoff, limit, leaving) end with it.
 */

import { connect } from 'node:net'
import { splitAddress } from '@juniperhook/core'
import type { ServerCrashNotice } from '@juniperhook/runtime'
import { createLog, readMoment } from '@juniperhook/runtime'
import { describeCrash } from './crashReport.ts'
import { stepTable } from './requests.ts'
import type { RequestTable } from './requestTable.ts'
import { describeServer } from './serverSignals.ts'

/** Shorter than a process takes to listen again, so that a restart is not missed. */
export const BACKEND_CHECK_INTERVAL_MS = 200
const CONNECT_TIMEOUT_MS = 150
/**
 * A leaving server that still listens after this time is taken to have restarted between
 * two checks. If it has not, its next answer signals again that it is leaving.
 */
const MAX_LEAVING_MS = 60_000
const log = createLog('agent')

/**
 * Checks whether a backend server that is not known to be up has exited or restarted.
 * `onCrash` receives the requests that ran when it crashed.
 */
export async function checkBackend(
	table: RequestTable,
	onCrash: (notice: ServerCrashNotice) => void,
): Promise<void> {
	ensureWatchConnection(table)
	if (table.backendState === 'up') return
	if (!(await isListening(table.server.backend))) {
		handleBackendDown(table, onCrash)
		return
	}
	switch (table.backendState) {
		case 'unsure':
			table.backendState = 'up'
			table.interrupted = undefined
			return
		case 'leaving':
			if (readMoment().now - table.leavingSince >= MAX_LEAVING_MS)
				handleBackendStarted(table)
			return
		case 'gone':
			handleBackendStarted(table)
			return
		default:
			return
	}
}

/**
 * Keeps a connection open while signals of the server are in force: a restart between two
 * checks would otherwise go unnoticed, because the new incarnation listens as well.
 */
function ensureWatchConnection(table: RequestTable): void {
	if (table.watchConnection || table.backendState === 'gone') return
	if (describeServer(table.admission) === '') return
	const { ip, port } = splitAddress(table.server.backend)
	const socket = connect({ host: ip, port })
	table.watchConnection = socket
	socket.on('error', () => {})
	socket.resume()
	socket.on('close', () => {
		table.watchConnection = undefined
		if (table.backendState === 'up') table.backendState = 'unsure'
		table.onConnectionBroken()
	})
}

function handleBackendDown(
	table: RequestTable,
	onCrash: (notice: ServerCrashNotice) => void,
): void {
	const { backendState, interrupted } = table
	table.backendState = 'gone'
	table.interrupted = undefined
	// A server that signalled that it is leaving has exited, not crashed.
	if (!interrupted || backendState === 'leaving' || backendState === 'gone')
		return
	const notice = describeCrash(table, interrupted)
	table.backendCrashes++
	const detail = Object.keys(notice.ran).join(' ')
	log({ msg: 'backend server ended', server: notice.server, detail })
	onCrash(notice)
}

function handleBackendStarted(table: RequestTable): void {
	table.backendState = 'up'
	stepTable(table, { type: 'serverStarts' })
	log({ msg: 'backend server has started', server: table.serverName })
	table.onChange()
}

function isListening(address: string): Promise<boolean> {
	const { ip, port } = splitAddress(address)
	return new Promise(resolve => {
		const socket = connect({ host: ip, port })
		const settle = (listens: boolean) => {
			clearTimeout(timer)
			socket.destroy()
			resolve(listens)
		}
		// A timeout may only mean a slow machine; the server counts as listening.
		const timer = setTimeout(() => settle(true), CONNECT_TIMEOUT_MS)
		socket.on('connect', () => settle(true))
		socket.on('error', (err: NodeJS.ErrnoException) =>
			settle(err.code !== 'ECONNREFUSED'),
		)
	})
}
