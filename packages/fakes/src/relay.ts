/** A TCP relay on loopback whose links can be cut, silenced, delayed or reset. */

import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import type { ThrottledLink } from './throttledLink.ts'
import { passLink } from './throttledLink.ts'

/** Bytes of a connection that pass a narrow link in one turn. */
const TURN_BYTES = 8_192

/** What a relay does with what passes it. */
export type RelayMode =
	| 'pass'
	/** Nothing passes: open links hang, new ones are not answered. */
	| 'silent'
	/** What the opener of a link sends is lost; the other way passes. */
	| 'deaf'
	/** What the opener of a link is sent is lost; the other way passes. */
	| 'mute'

/** A relay from one address to another. */
export interface Relay {
	readonly server: Server
	readonly sockets: Set<Socket>
	mode: RelayMode
	/** Added to the way in each direction, ms. */
	delayMs: number
	/** What openers are sent passes it; relays of one VM share it. */
	link: ThrottledLink | undefined
}

/** Listens on `ip:port` and passes everything on to `targetIp:targetPort`. */
export function startRelay(
	ip: string,
	targetIp: string,
	port: number,
	targetPort = port,
	link?: ThrottledLink,
): Promise<Relay> {
	const relay: Relay = {
		server: createServer(near => openLink(relay, near, targetIp, targetPort)),
		sockets: new Set(),
		mode: 'pass',
		delayMs: 0,
		link,
	}
	return new Promise((resolve, reject) => {
		relay.server.once('error', reject)
		relay.server.listen(port, ip, () => resolve(relay))
	})
}

function openLink(
	relay: Relay,
	near: Socket,
	targetIp: string,
	targetPort: number,
): void {
	const far = connect({ host: targetIp, port: targetPort })
	near.setNoDelay(true)
	far.setNoDelay(true)
	carry(relay, near, far, ['silent', 'deaf'])
	carry(relay, far, near, ['silent', 'mute'], () => relay.link)
}

/** Passes on what `from` sends, unless it is lost in the present mood. */
function carry(
	relay: Relay,
	from: Socket,
	to: Socket,
	lost: readonly RelayMode[],
	findLink: () => ThrottledLink | undefined = () => undefined,
): void {
	relay.sockets.add(from)
	const later = createDelay(relay)
	from.on('data', data => {
		if (lost.includes(relay.mode)) return
		const link = findLink()
		if (!link) {
			later(() => {
				if (!to.destroyed) to.write(data)
			})
			return
		}
		// Nothing more is read meanwhile: connections share the link in turn.
		from.pause()
		void passInTurn(link, data, to).then(() => from.resume())
	})
	from.on('close', () => {
		relay.sockets.delete(from)
		later(() => to.destroySoon())
	})
	from.on('error', (err: NodeJS.ErrnoException) => {
		if (err.code === 'ECONNRESET') to.resetAndDestroy()
		else to.destroy()
	})
}

async function passInTurn(
	link: ThrottledLink,
	data: Buffer,
	to: Socket,
): Promise<void> {
	for (let at = 0; at < data.length && !to.destroyed; at += TURN_BYTES) {
		const part = data.subarray(at, at + TURN_BYTES)
		await passLink(link, part.length)
		if (!to.destroyed) to.write(part)
	}
}

/** Does things in turn, each after the relay's delay of that moment. */
function createDelay(relay: Relay): (deed: () => void) => void {
	const queue: { deed: () => void; at: number }[] = []
	const pump = () => {
		while (queue[0] && queue[0].at <= performance.now()) queue.shift()!.deed()
		if (queue[0]) setTimeout(pump, queue[0].at - performance.now())
	}
	return deed => {
		queue.push({ deed, at: performance.now() + relay.delayMs })
		if (queue.length === 1) pump()
	}
}

/** Cuts the link; what was on its way is lost. */
export function cutRelay(relay: Relay): void {
	relay.mode = 'silent'
}

/** Heals the link; connections of the cut are closed. */
export function healRelay(relay: Relay): void {
	relay.mode = 'pass'
	relay.delayMs = 0
	for (const socket of relay.sockets) socket.destroy()
}

/** Resets all open connections. */
export function resetRelay(relay: Relay): void {
	for (const socket of relay.sockets) socket.resetAndDestroy()
}

/** Ends the relay and its links. */
export function stopRelay(relay: Relay): void {
	relay.server.close()
	for (const socket of relay.sockets) socket.destroy()
}
