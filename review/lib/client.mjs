/** Client with one HTTP/1.1 connection, which it keeps for several requests. */

import { connect } from 'node:net'

/** Opens a connection; rejects if there is none within a second. */
export function openConnection(ip, port) {
	return new Promise((resolve, reject) => {
		const socket = connect({ host: ip, port })
		const timer = setTimeout(() => socket.destroy(new Error('late')), 1_000)
		socket.once('error', reject)
		socket.once('connect', () => {
			clearTimeout(timer)
			socket.removeListener('error', reject)
			resolve(createConnection(socket))
		})
	})
}

function createConnection(socket) {
	let bytes = Buffer.alloc(0)
	let wake = () => {}
	const connection = { socket, isClosed: false, error: '' }
	socket.setNoDelay(true)
	socket.on('data', data => {
		bytes = Buffer.concat([bytes, data])
		wake()
	})
	socket.on('error', err => {
		connection.error = err.code ?? err.message
	})
	socket.on('close', () => {
		connection.isClosed = true
		wake()
	})
	socket.on('end', () => {
		connection.isClosed = true
		wake()
	})
	const more = () =>
		new Promise(resolve => {
			wake = resolve
		})
	/** Sends a request and reads its answer, to its end or that of the connection. */
	connection.request = async ({ method, path, headers, body = '' }) => {
		const lines = [`${method} ${path} HTTP/1.1`]
		for (const [name, value] of Object.entries(headers))
			lines.push(`${name}: ${value}`)
		if (method === 'POST')
			lines.push(`Content-Length: ${Buffer.byteLength(body)}`)
		socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`)
		const answer = { status: 0, headers: {}, body: '', isComplete: false }
		for (;;) {
			if (parseAnswer(bytes, answer)) {
				bytes = bytes.subarray(answer.length)
				return answer
			}
			if (connection.isClosed) return answer
			await more()
		}
	}
	return connection
}

/** Parses what has arrived of an answer; returns whether it is complete. */
function parseAnswer(bytes, answer) {
	const headEnd = bytes.indexOf('\r\n\r\n')
	if (headEnd < 0) return false
	const [first, ...lines] = bytes
		.subarray(0, headEnd)
		.toString('latin1')
		.split('\r\n')
	answer.status = Number(first.split(' ')[1])
	for (const line of lines) {
		const at = line.indexOf(':')
		answer.headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim()
	}
	let at = headEnd + 4
	const length = answer.headers['content-length']
	if (length !== undefined) {
		const end = at + Number(length)
		answer.body = bytes.subarray(at, end).toString('latin1')
		answer.length = end
		answer.isComplete = bytes.length >= end
		return answer.isComplete
	}
	answer.body = ''
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', at)
		if (lineEnd < 0) return false
		const size = Number.parseInt(bytes.subarray(at, lineEnd).toString(), 16)
		if (bytes.length < lineEnd + 2 + size + 2) return false
		answer.body += bytes
			.subarray(lineEnd + 2, lineEnd + 2 + size)
			.toString('latin1')
		at = lineEnd + 2 + size + 2
		if (size > 0) continue
		answer.length = at
		answer.isComplete = true
		return true
	}
}
