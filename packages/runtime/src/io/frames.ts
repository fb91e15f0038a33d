/**
 * The answer stream from agent to entry: MessagePack frames, numbered chunks
 * and an explicit end. An answer without its end is never whole.
 */

import type { NotRun, Unknown } from '@juniperhook/core'
import { Packr, UnpackrStream } from 'msgpackr'
import type { LoadFields } from './messages.ts'

/** One frame of an answer. */
export type AnswerFrame =
	/** The agent has taken the request; it may still refuse it unstarted. */
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
	/** `n` chunks were sent, the head counted. */
	| { readonly t: 'end'; readonly n: number; readonly load: LoadFields }
	/** The backend server broke off; it may have run. */
	| { readonly t: 'failed'; readonly detail: string }
	/** Nothing to send, still at work. */
	| { readonly t: 'beat' }

const packr = new Packr({ useRecords: false })

/** Encodes a frame; the copy is the caller's to keep. */
export function packFrame(frame: AnswerFrame): Buffer {
	return Buffer.from(packr.pack(frame))
}

/** A transform from bytes to {@link AnswerFrame} objects. */
export function createFrameReader(): UnpackrStream {
	return new UnpackrStream({ useRecords: false })
}
