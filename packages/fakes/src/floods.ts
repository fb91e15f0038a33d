/** Bytes without end, sent until the connection closes. */

import type { AddressInfo, Socket } from 'node:net'
import { connect, createServer } from 'node:net'
import { pause } from './daemons.ts'

/** Bytes sent once, and bytes sent again and again after them. */
export interface Flood {
	readonly name: string
	readonly first: string
	readonly endless: string
}

/** Sends a flood on a connection. */
export function sendFlood(socket: Socket, { first, endless }: Flood): void {
	socket.write(first)
	if (endless === '') return
	const bytes = Buffer.from(endless)
	const pump = () => {
		while (!socket.destroyed && socket.write(bytes));
	}
	socket.on('drain', pump)
	pump()
}

/** Floods a listener over `count` connections, which read nothing, for `ms`. */
export async function floodListener(
	ip: string,
	port: number,
	flood: Flood,
	count: number,
	ms: number,
): Promise<void> {
	const sockets = Array.from({ length: count }, () => {
		const socket = connect(port, ip)
		socket.on('error', () => {})
		socket.pause()
		sendFlood(socket, flood)
		return socket
	})
	await pause(ms)
	for (const socket of sockets) socket.destroy()
}

/** A server that answers each connection with a flood. */
export interface FloodServer {
	readonly address: string
	/** Connections that are open. */
	readonly open: Set<Socket>
	/** Undefined to pass connections on to the server behind. */
	flood: Flood | undefined
}

/** Starts a server that stands before the one at `target`, `IP:port`. */
export async function startFloodServer(target: string): Promise<FloodServer> {
	const open = new Set<Socket>()
	const server = createServer(socket => {
		open.add(socket)
		socket.on('error', () => {})
		socket.on('close', () => open.delete(socket))
		const { flood } = floodServer
		if (flood) {
			socket.once('data', () => sendFlood(socket, flood))
			return
		}
		const [host, port] = target.split(':')
		const onward = connect(Number(port), host)
		onward.on('error', () => socket.destroy())
		socket.on('close', () => onward.destroy())
		onward.on('close', () => socket.destroy())
		socket.pipe(onward).pipe(socket)
	})
	await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
	const { port } = server.address() as AddressInfo
	const address = `127.0.0.1:${port}`
	const floodServer: FloodServer = { address, open, flood: undefined }
	return floodServer
}

const PART = 'x'.repeat(65_536)
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
const DEEP = `${'['.repeat(30_000)}${']'.repeat(30_000)}`
const CHUNK = `10000\r\n${PART}\r\n`

/** Returns a complete HTTP response with a body. */
export function respondWith(body: string): string {
	return `${HEAD}Content-Length: ${body.length}\r\n\r\n${body}`
}

/** HTTP responses without end. */
export const RESPONSE_FLOODS: readonly Flood[] = [
	{ name: 'a head', first: HEAD, endless: 'x: y\r\n'.repeat(10_000) },
	{
		name: 'interim responses',
		first: '',
		endless: 'HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(2_000),
	},
	{
		name: 'a body in chunks',
		first: `${HEAD}Transfer-Encoding: chunked\r\n\r\n`,
		endless: CHUNK,
	},
	{ name: 'a body until the end', first: `${HEAD}\r\n`, endless: PART },
	{
		name: 'bytes after the response',
		first: respondWith('{}'),
		endless: PART,
	},
	{ name: 'a value nested deeply', first: respondWith(DEEP), endless: '' },
]

const call = (id: string, method: string, params: string) =>
	`{"jsonrpc":"2.0","id":${id},"method":${method},"params":${params}}\n`

/** Messages of other processes without end. */
export const MESSAGE_FLOODS: readonly Flood[] = [
	{ name: 'a line', first: '', endless: PART },
	{
		name: 'calls whose answers it does not read',
		first: '',
		endless: call('1', '"nobody"', '{}').repeat(500),
	},
	{ name: 'lines that are no JSON', first: '', endless: 'x\n'.repeat(10_000) },
	{
		name: 'calls nested deeply',
		first: '',
		endless: call('1', '"state"', DEEP),
	},
	{ name: 'odd calls', first: '', endless: call(DEEP, '{"a":1e999}', '7') },
]

/** Requests without end; `request` is a head without its last line. */
export function listRequestFloods(request: string): readonly Flood[] {
	return [
		{ name: 'a head', first: request, endless: 'x: y\r\n'.repeat(10_000) },
		{
			name: 'a body',
			first: `${request}Transfer-Encoding: chunked\r\n\r\n`,
			endless: CHUNK,
		},
		{ name: 'requests', first: '', endless: `${request}\r\n`.repeat(500) },
		{ name: 'bytes that are no request', first: '', endless: PART },
	]
}
