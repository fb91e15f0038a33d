/** A small TCP relay of the tests, whose links can be cut and healed. */

import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'

/** A relay from one address to another. */
export interface Relay {
	readonly server: Server
	readonly sockets: Set<Socket>
	/** While cut, nothing passes: open links hang, new ones are not answered. */
	cut: boolean
}

/** Listens on `ip:port` and passes everything on to `targetIp:port`. */
export function startRelay(
	ip: string,
	targetIp: string,
	port: number,
): Promise<Relay> {
	const sockets = new Set<Socket>()
	const server = createServer(near => {
		const far = connect({ host: targetIp, port })
		for (const [from, to] of [
			[near, far],
			[far, near],
		] as const) {
			sockets.add(from)
			from.on('data', data => {
				if (!relay.cut) to.write(data)
			})
			from.on('close', () => {
				sockets.delete(from)
				to.destroy()
			})
			from.on('error', () => to.destroy())
		}
	})
	const relay: Relay = { server, sockets, cut: false }
	return new Promise(resolve => {
		server.listen(port, ip, () => resolve(relay))
	})
}

/** Cuts the link; what was on its way is lost. */
export function cutRelay(relay: Relay): void {
	relay.cut = true
}

/** Heals the link; connections of the cut are reset. */
export function healRelay(relay: Relay): void {
	relay.cut = false
	for (const socket of relay.sockets) socket.destroy()
}

/** Ends the relay and its links. */
export function stopRelay(relay: Relay): void {
	relay.server.close()
	for (const socket of relay.sockets) socket.destroy()
}
