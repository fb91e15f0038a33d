/**
 * Binds listeners to their addresses. An address may still be in use by a predecessor
 * that drains, or its network interface may not be up yet.
 */

import type { Server } from 'node:net'
import { splitAddress } from '@juniperhook/core'
import type { Attempt, Need, Waits } from './waits.ts'
import { awaitNeed, createWaits } from './waits.ts'

/** Interval of the attempts to bind an address, ms. */
const BIND_RETRY_MS = 100

/** How a listener reports that its address is not available, and errors later on. */
export interface BindOptions {
	readonly need: Need
	readonly waits: Waits
	/** Once true, an address that is not bound yet is not waited for any longer. */
	isStopping(): boolean
	/** Called when the listener fails to accept a connection, for lack of descriptors. */
	onError(err: Error): void
}

/** Options of a listener that reports nothing. */
export const SILENT_BIND: BindOptions = {
	need: 'control',
	waits: createWaits(() => {}),
	isStopping: () => false,
	onError: () => {},
}

/**
 * Binds a server to an address and waits until that is possible. Returns whether it is
 * bound; false if the process stops before.
 */
export async function bindServer(
	server: Server,
	address: string,
	{ need, waits, isStopping, onError }: BindOptions,
): Promise<boolean> {
	// Without a listener, an error would terminate the process.
	server.on('error', err => {
		if (server.listening) onError(err)
	})
	const isBound = await awaitNeed(waits, need, BIND_RETRY_MS, isStopping, () =>
		attemptBind(server, address),
	)
	return isBound ?? false
}

function attemptBind(server: Server, address: string): Promise<Attempt<true>> {
	const { ip, port } = splitAddress(address)
	return new Promise(resolve => {
		const fail = (err: NodeJS.ErrnoException) => {
			server.off('listening', succeed)
			resolve({ ok: false, reason: `${address}: ${err.code ?? err.message}` })
		}
		const succeed = () => {
			server.off('error', fail)
			resolve({ ok: true, value: true })
		}
		server.once('error', fail)
		server.once('listening', succeed)
		server.listen(port, ip)
	})
}
