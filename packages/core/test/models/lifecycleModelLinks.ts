/** Links between the entries and the key home in the request lifecycle model. */

import type { AttemptName } from '../../src/index.ts'
import type {
	Draft,
	Frame,
	LifecycleModelState,
	Message,
} from './lifecycleModelState.ts'
import { CHUNKS, KEY } from './lifecycleModelState.ts'

/** Sends the answer of an attempt to it and to all attached attempts. */
export function answerAll(draft: Draft, run: string): void {
	const { state } = draft
	for (const reader of [run, ...(state.attached[run] ?? [])])
		sendAnswer(state, reader, 0)
}

/** Sends an answer, starting with chunk `from`. */
export function sendAnswer(
	state: LifecycleModelState,
	reader: string,
	from: number,
): void {
	for (let n = from; n < CHUNKS; n++)
		sendFrame(state, reader, { t: 'chunk', n, of: KEY })
	sendFrame(state, reader, { t: 'end', n: CHUNKS })
}

/** Sends a frame to the entry of an attempt. */
export function sendFrame(
	state: LifecycleModelState,
	reader: string,
	frame: Frame,
): void {
	const name = nameOf(reader)
	const entry = Number(name.reqId.slice(1))
	send(state, { kind: 'frame', entry, attempt: name.attempt, frame })
}

/** Drops the frames in flight to an entry, which has closed the connection. */
export function dropFrames(state: LifecycleModelState, entry: number): void {
	const kept = state.messages.filter(text => {
		const message: Message = JSON.parse(text)
		return message.kind !== 'frame' || message.entry !== entry
	})
	state.messages.splice(0, state.messages.length, ...kept)
}

/** Sends a message; it may be delayed indefinitely. */
export function send(state: LifecycleModelState, message: Message): void {
	const text = JSON.stringify(message)
	if (state.messages.includes(text)) return
	state.messages.push(text)
	state.messages.sort()
}

/** Returns the attempt name that a map key was derived from. */
export function nameOf(id: string): AttemptName {
	const [reqId = '', attempt] = id.split('/')
	return { reqId, attempt: Number(attempt) }
}
