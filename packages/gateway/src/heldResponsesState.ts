/** State of the responses that callers have not taken yet. */

import type { ServerResponse } from 'node:http'
import type { HeldBytes, Holder } from '@juniperhook/core'
import { createHeldBytes, heldLimitBytes } from '@juniperhook/core'
import { readNow } from '@juniperhook/runtime'

/** The server's message that a stream is read from. */
export interface StreamSource {
	pause(): void
	/** Reads on; the time for which it was paused, ms, is not the server's. */
	resume(pausedMs: number): void
}

/** A response whose bytes are written as its reader takes them. */
export interface ResponseQueue {
	readonly res: ServerResponse
	readonly holder: Holder
	readonly requestId: string
	readonly beganAt: number
	/** Bytes not written yet. */
	readonly pieces: Buffer[]
	/** Whether written bytes have not been taken yet. */
	isWriting: boolean
	/** Undefined while no server's stream is read. */
	source: StreamSource | undefined
	/** How often its source was paused. */
	pauses: number
}

/** State of all held responses. */
export interface HeldResponses {
	readonly bytes: HeldBytes
	readonly queues: Map<Holder, ResponseQueue>
	readonly byResponse: WeakMap<ServerResponse, ResponseQueue>
	/** Time that the process has observed, ms. */
	observedMs: number
	checkedAt: number
}

/** Creates the state of an entry with this memory. */
export function createHeldResponses(memoryMb: number): HeldResponses {
	return {
		bytes: createHeldBytes(heldLimitBytes(memoryMb)),
		queues: new Map(),
		byResponse: new WeakMap(),
		observedMs: 0,
		checkedAt: readNow(),
	}
}
