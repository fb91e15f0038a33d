/**
 * Watches for the next life of a backend server that leaves or is gone: what its former
 * life said ends with it.
 */

import { connect } from 'node:net'
import { splitAddress } from '@juniperhook/core'
import type { ServerCrashNotice } from '@juniperhook/runtime'
import { createLog, readMoment } from '@juniperhook/runtime'
import { stepTable } from './requests.ts'
import type { RequestTable } from './requestTable.ts'
import { describeEnd } from './crashReport.ts'
import { describeServer } from './serverSignals.ts'

/** Between two looks, ms; less than a process takes to listen again. */
export const LIFE_LOOK_MS = 200
const CONNECT_MS = 150
/**
 * One that still listens after this, ms, began its next life between two looks: else its
 * next answer says again that it leaves.
 */
const MOST_LEAVING_MS = 60_000
const log = createLog('agent')

/**
 * Looks whether a life has ended or the next one begun, where that is waited for;
 * `onEnd` is told which requests ran when one ended.
 */
export async function lookForNextLife(
	table: RequestTable,
	onEnd: (notice: ServerCrashNotice) => void,
): Promise<void> {
	keepLifeline(table)
	if (table.life === 'up') return
	if (!(await isListening(table.server.backend))) {
		endLife(table, onEnd)
		return
	}
	switch (table.life) {
		case 'unsure':
			table.life = 'up'
			table.broken = undefined
			return
		case 'leaving':
			if (readMoment().now - table.leavesSince >= MOST_LEAVING_MS)
				beginLife(table)
			return
		case 'gone':
			beginLife(table)
			return
		default:
			return
	}
}

/** Whoever listens there later may be another life: its end is to be seen itself. */
function keepLifeline(table: RequestTable): void {
	if (table.lifeline || table.life === 'gone') return
	if (describeServer(table.admission) === '') return
	const { ip, port } = splitAddress(table.server.backend)
	const socket = connect({ host: ip, port })
	table.lifeline = socket
	socket.on('error', () => {})
	socket.resume()
	socket.on('close', () => {
		table.lifeline = undefined
		if (table.life === 'up') table.life = 'unsure'
		table.onBroken()
	})
}

function endLife(
	table: RequestTable,
	onEnd: (notice: ServerCrashNotice) => void,
): void {
	const { life, broken } = table
	table.life = 'gone'
	table.broken = undefined
	// One that had said that it leaves has not ended under what it ran.
	if (!broken || life === 'leaving' || life === 'gone') return
	const notice = describeEnd(table, broken)
	table.lives++
	const detail = Object.keys(notice.ran).join(' ')
	log({ msg: 'backend server ended', server: notice.server, detail })
	onEnd(notice)
}

function beginLife(table: RequestTable): void {
	table.life = 'up'
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
		// A machine that is only slow still has its server.
		const timer = setTimeout(() => settle(true), CONNECT_MS)
		socket.on('connect', () => settle(true))
		socket.on('error', (err: NodeJS.ErrnoException) =>
			settle(err.code !== 'ECONNREFUSED'),
		)
	})
}
