/** A TCP relay on loopback whose connections can be cut, delayed, throttled or reset. */

import type { Server, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import type { ThrottledLink } from './throttledLink.ts'
import { transferBytes } from './throttledLink.ts'

/** Bytes of one connection per transfer over a throttled link. */
const CHUNK_BYTES = 8_192

/** What a relay does with traffic. */
export type RelayMode =
	| 'pass'
	/** Drops all data: open connections hang, new ones get no answer. */
	| 'silent'
	/** Drops what the client sends; data to the client passes. */
	| 'deaf'
	/** Drops data to the client; what the client sends passes. */
	| 'mute'

/** A relay from one address to another. */
export interface Relay {
	readonly server: Server
	readonly sockets: Set<Socket>
	mode: RelayMode
	/** Delay added in each direction, ms. */
	delayMs: number
	/** Link for data to clients; the relays of one VM share it. */
	link: ThrottledLink | undefined
}

/** Listens on `ip:port` and forwards connections to `targetIp:targetPort`. */
export function startRelay(
	ip: string,
	targetIp: string,
	port: number,
	targetPort = port,
	link?: ThrottledLink,
): Promise<Relay> {
	const relay: Relay = {
		server: createServer(client =>
			openConnection(relay, client, targetIp, targetPort),
		),
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

function openConnection(
	relay: Relay,
	client: Socket,
	targetIp: string,
	targetPort: number,
): void {
	const target = connect({ host: targetIp, port: targetPort })
	client.setNoDelay(true)
	target.setNoDelay(true)
	forward(relay, client, target, ['silent', 'deaf'])
	forward(relay, target, client, ['silent', 'mute'], () => relay.link)
}

/** Forwards data from one socket to the other, unless the mode is in `droppedIn`. */
function forward(
	relay: Relay,
	from: Socket,
	to: Socket,
	droppedIn: readonly RelayMode[],
	findLink: () => ThrottledLink | undefined = () => undefined,
): void {
	relay.sockets.add(from)
	const delayed = createDelay(relay)
	from.on('data', data => {
		if (droppedIn.includes(relay.mode)) return
		const link = findLink()
		if (!link) {
			delayed(() => {
				if (!to.destroyed) to.write(data)
			})
			return
		}
		// Reading pauses meanwhile, so that connections take turns on the link.
		from.pause()
		void transferInChunks(link, data, to).then(() => from.resume())
	})
	from.on('close', () => {
		relay.sockets.delete(from)
		delayed(() => to.destroySoon())
	})
	from.on('error', (err: NodeJS.ErrnoException) => {
		if (err.code === 'ECONNRESET') to.resetAndDestroy()
		else to.destroy()
	})
}

async function transferInChunks(
	link: ThrottledLink,
	data: Buffer,
	to: Socket,
): Promise<void> {
	for (let at = 0; at < data.length && !to.destroyed; at += CHUNK_BYTES) {
		const part = data.subarray(at, at + CHUNK_BYTES)
		await transferBytes(link, part.length)
		if (!to.destroyed) to.write(part)
	}
}

/** Runs actions in order, each after the relay's delay at the time of the call. */
function createDelay(relay: Relay): (action: () => void) => void {
	const queue: { action: () => void; at: number }[] = []
	const pump = () => {
		while (queue[0] && queue[0].at <= performance.now()) queue.shift()!.action()
		if (queue[0]) setTimeout(pump, queue[0].at - performance.now())
	}
	return action => {
		queue.push({ action, at: performance.now() + relay.delayMs })
		if (queue.length === 1) pump()
	}
}

/** Cuts all connections silently; data in transit is lost. */
export function cutRelay(relay: Relay): void {
	relay.mode = 'silent'
}

/** Restores the relay and closes all open connections. */
export function healRelay(relay: Relay): void {
	relay.mode = 'pass'
	relay.delayMs = 0
	for (const socket of relay.sockets) socket.destroy()
}

/** Resets all open connections. */
export function resetRelay(relay: Relay): void {
	for (const socket of relay.sockets) socket.resetAndDestroy()
}

/** Stops the relay and closes its connections. */
export function stopRelay(relay: Relay): void {
	relay.server.close()
	for (const socket of relay.sockets) socket.destroy()
}
