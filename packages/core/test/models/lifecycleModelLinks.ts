/** Links between the entries and the home agent of the model of fates. */

import type { AttemptName } from '../../src/index.ts'
import type {
	Draft,
	Frame,
	LifecycleModelState,
	Message,
} from './lifecycleModelState.ts'
import { CHUNKS, KEY } from './lifecycleModelState.ts'

/** Sends a run's answer to all who wait for it. */
export function answerReaders(draft: Draft, run: string): void {
	const { state } = draft
	for (const reader of [run, ...(state.attached[run] ?? [])])
		sendAnswer(state, reader, 0)
}

/** Sends an answer from a chunk on. */
export function sendAnswer(
	state: LifecycleModelState,
	reader: string,
	from: number,
): void {
	for (let n = from; n < CHUNKS; n++)
		answerOne(state, reader, { t: 'chunk', n, of: KEY })
	answerOne(state, reader, { t: 'end', n: CHUNKS })
}

/** Sends a frame to one who waits. */
export function answerOne(
	state: LifecycleModelState,
	reader: string,
	frame: Frame,
): void {
	const name = nameOf(reader)
	const entry = Number(name.reqId.slice(1))
	send(state, { kind: 'frame', entry, attempt: name.attempt, frame })
}

/** A connection that the entry has left brings nothing more. */
export function dropFrames(state: LifecycleModelState, entry: number): void {
	const kept = state.messages.filter(text => {
		const message: Message = JSON.parse(text)
		return message.kind !== 'frame' || message.entry !== entry
	})
	state.messages.splice(0, state.messages.length, ...kept)
}

/** Puts a message on its way; it may stay there for ever. */
export function send(state: LifecycleModelState, message: Message): void {
	const text = JSON.stringify(message)
	if (state.messages.includes(text)) return
	state.messages.push(text)
	state.messages.sort()
}

/** The name that a table key was made of. */
export function nameOf(id: string): AttemptName {
	const [reqId = '', attempt] = id.split('/')
	return { reqId, attempt: Number(attempt) }
}
