/**
 * Framing of a response on its way from an agent to an entry: MessagePack frames with
 * numbered chunks and an explicit end. A response without an end frame is incomplete.
 */

import type { NotRun, Unknown } from '@juniperhook/core'
import { Packr, UnpackrStream } from 'msgpackr'
import type { LoadFields } from './messages.ts'

/** A frame of a response. */
export type AnswerFrame =
	/** The agent has queued the request; it may still refuse it before it starts. */
	| { readonly t: 'admitted' }
	| {
			readonly t: 'refused'
			readonly outcome: NotRun | Unknown
			readonly load: LoadFields
	  }
	/** Chunk 0: the backend server's status and headers. */
	| {
			readonly t: 'head'
			readonly n: 0
			readonly status: number
			readonly headers: Record<string, string | string[]>
	  }
	| { readonly t: 'chunk'; readonly n: number; readonly data: Uint8Array }
	/** `n` is the number of chunks sent, including the head. */
	| { readonly t: 'end'; readonly n: number; readonly load: LoadFields }
	/** The backend server broke off its response; the request may have run. */
	| { readonly t: 'failed'; readonly detail: string }
	/** Heartbeat while there is no data to send. */
	| { readonly t: 'beat' }

/** Maximum size of a frame: a part of a body as read at once, or a head, bytes. */
const MAX_FRAME_BYTES = 4_194_304

const packr = new Packr({ useRecords: false })

/** Encodes a frame into a buffer that the packer does not reuse. */
export function packFrame(frame: AnswerFrame): Buffer {
	return Buffer.from(packr.pack(frame))
}

/** Creates a transform stream from bytes to {@link AnswerFrame} objects. */
export function createFrameReader(): UnpackrStream {
	return new UnpackrStream({
		useRecords: false,
		maxIncompleteBufferSize: MAX_FRAME_BYTES,
	})
}
