/** HTTP agents that keep connections open and trust none that has sent something unasked. */

import type { AgentOptions } from 'node:http'
import { Agent } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Creates an agent that reuses connections. One that receives bytes while it is idle is
 * closed: they belong to no response, and may go on without end.
 */
export function createKeepAliveAgent(options: AgentOptions): Agent {
	const agent = new Agent({ keepAlive: true, ...options })
	const reuse = agent.reuseSocket.bind(agent)
	// After the agent's own listener, which keeps the socket or destroys it.
	agent.on('free', (socket: Socket) => {
		if (!socket.destroyed) socket.on('data', closeConnection)
	})
	agent.reuseSocket = (socket, req) => {
		socket.off('data', closeConnection)
		reuse(socket, req)
	}
	return agent
}

function closeConnection(this: Socket): void {
	// The agent must not choose it for a request before it is closed.
	this.emit('agentRemove')
	this.destroy()
}
