/**
 * Model of one request, such as a booking, sent to up to two entries with the same key.
 * The agent that is its key home may pause, restart or leave; links may lose, duplicate
 * and delay messages. The model explores the same functions that the daemons run.
 */

import type {
	AdmissionEffect,
	AdmissionEvent,
	AttemptName,
	LifecycleEffect,
	LifecycleEvent,
} from '../../src/index.ts'
import {
	answerVoid,
	attemptKey,
	createAdmission,
	PAUSE_GRACE_MS,
	PAUSE_THRESHOLD_MS,
	stepAdmission,
	stepLifecycle,
	unknown,
} from '../../src/index.ts'
import type { Model } from './explore.ts'
import {
	answerAll,
	dropFrames,
	nameOf,
	send,
	sendAnswer,
	sendFrame,
} from './lifecycleModelLinks.ts'
import type {
	Draft,
	Frame,
	LifecycleBounds,
	LifecycleModelEvent,
	LifecycleModelState,
	LifecycleMutant,
	Message,
} from './lifecycleModelState.ts'
import {
	AMPLE_MS,
	BORN_WALL,
	createInitial,
	findViolation,
	KEY,
	KEY_WALL,
} from './lifecycleModelState.ts'

/** Creates the model with the given bounds. */
export function createLifecycleModel(
	bounds: LifecycleBounds,
	mutant: LifecycleMutant = 'none',
): Model<LifecycleModelState, LifecycleModelEvent> {
	return {
		initial: createInitial(bounds),
		list: state => listEvents(state, bounds),
		apply: (state, event) => apply(state, event, bounds, mutant),
		findFault: state => state.fault ?? findViolation(state, bounds),
		keyOf: state =>
			JSON.stringify(state, (_, value) =>
				value instanceof Map ? [...value] : value,
			),
	}
}

function listEvents(
	state: LifecycleModelState,
	bounds: LifecycleBounds,
): LifecycleModelEvent[] {
	const { used } = state
	const events: LifecycleModelEvent[] = []
	for (const [entry, isRequested] of state.requested.entries()) {
		if (!isRequested) {
			events.push({ do: 'request', entry })
			break
		}
		const { at } = state.lifecycles[entry]!.state
		const open = at === 'offered' || at === 'answering'
		if (open && used.losses < bounds.losses)
			events.push({ do: 'linkLost', entry })
		if (at === 'offered' && used.silences < bounds.silences)
			events.push({ do: 'silent', entry })
	}
	for (const message of state.messages) {
		events.push({ do: 'deliver', message, again: false })
		if (used.duplicates < bounds.duplicates)
			events.push({ do: 'deliver', message, again: true })
	}
	for (const [run, row] of state.agent.attempts)
		if (row.phase === 'running') events.push({ do: 'finish', run })
	if (used.restarts < bounds.restarts) events.push({ do: 'restart' })
	if (used.pauses < bounds.pauses) events.push({ do: 'pause' })
	if (used.leaves < bounds.leaves) events.push({ do: 'leave' })
	return events
}

function apply(
	before: LifecycleModelState,
	event: LifecycleModelEvent,
	bounds: LifecycleBounds,
	mutant: LifecycleMutant,
): LifecycleModelState {
	const draft: Draft = { state: structuredClone(before), bounds, mutant }
	const { state } = draft
	switch (event.do) {
		case 'request':
			state.requested[event.entry] = true
			sendOffer(draft, event.entry)
			break
		case 'deliver': {
			const at = state.messages.indexOf(event.message)
			if (event.again) state.used.duplicates++
			else state.messages.splice(at, 1)
			deliver(draft, JSON.parse(event.message))
			break
		}
		case 'linkLost': {
			state.used.losses++
			const { attempt } = state.lifecycles[event.entry]!
			dropFrames(state, event.entry)
			stepEntry(draft, event.entry, { type: 'linkLost', attempt })
			break
		}
		case 'silent': {
			state.used.silences++
			const { attempt } = state.lifecycles[event.entry]!
			dropFrames(state, event.entry)
			stepEntry(draft, event.entry, { type: 'silent', attempt })
			break
		}
		case 'finish': {
			const name = nameOf(event.run)
			stepAgent(draft, { type: 'finish', name, how: 'whole' })
			answerAll(draft, event.run)
			break
		}
		case 'restart':
			restartAgent(draft)
			break
		case 'pause':
			state.used.pauses++
			advance(draft, PAUSE_THRESHOLD_MS * 2)
			stepAgent(draft, { type: 'tick' })
			advance(draft, PAUSE_GRACE_MS * 2)
			break
		case 'leave':
			state.used.leaves++
			stepAgent(draft, { type: 'leave' })
			break
		default:
			event satisfies never
	}
	return draft.state
}

function advance(draft: Draft, ms: number): void {
	const { now, wall } = draft.state.at
	draft.state = { ...draft.state, at: { now: now + ms, wall: wall + ms } }
}

function restartAgent(draft: Draft): void {
	advance(draft, PAUSE_THRESHOLD_MS)
	const { state } = draft
	state.used.restarts++
	const agent = createAdmission(state.at, 1)
	if (draft.mutant === 'ignoreKeyAge')
		Object.assign(agent, { startedWall: BORN_WALL })
	draft.state = {
		...state,
		agent,
		incarnation: state.incarnation + 1,
		attached: {},
		// Its connections are closed; only entries with an attempt in flight notice.
		messages: state.messages.filter(text => !text.includes('"kind":"offer"')),
	}
}

function sendOffer(draft: Draft, entry: number): void {
	const { state } = draft
	const { incarnation } = state
	state.knownIncarnation[entry] = incarnation
	stepEntry(draft, entry, { type: 'routed' })
	const { attempt } = state.lifecycles[entry]!
	const name = { reqId: `r${entry}`, attempt }
	send(state, { kind: 'offer', entry, name, incarnation })
}

function deliver(draft: Draft, message: Message): void {
	const { state } = draft
	switch (message.kind) {
		case 'offer':
			handleOffer(draft, message)
			break
		case 'void': {
			const { entry, name } = message
			const { attempt } = name
			const isCurrent = message.incarnation === state.incarnation
			if (isCurrent) stepAgent(draft, { type: 'void', name })
			const answer = isCurrent ? answerVoid(draft.state.agent, name) : 'unknown'
			if (draft.mutant === 'noTombstone') draft.state.agent.voided.clear()
			const frame = { t: 'voidAnswer', answer } as const
			send(draft.state, { kind: 'frame', entry, attempt, frame })
			break
		}
		case 'frame':
			handleFrame(draft, message.entry, message.attempt, message.frame)
			break
		default:
			message satisfies never
	}
}

function handleOffer(
	draft: Draft,
	message: Extract<Message, { kind: 'offer' }>,
): void {
	const { name, entry } = message
	const { freshKey, keyed } = draft.bounds
	const claim = {
		key: KEY,
		wallTime: KEY_WALL,
		windowMs: AMPLE_MS,
		keyHomeSinceWall: BORN_WALL,
		fresh: freshKey,
	}
	send(draft.state, {
		kind: 'frame',
		entry,
		attempt: name.attempt,
		frame: { t: 'admitted' },
	})
	stepAgent(draft, {
		type: 'offer',
		offer: {
			...name,
			team: 'team',
			weight: 1,
			priority: 0,
			startBudgetMs: AMPLE_MS,
			mayWait: true,
			...(keyed && { claim }),
		},
	})
}

function stepAgent(draft: Draft, event: AdmissionEvent): void {
	const { agent, at } = draft.state
	const effects = stepAdmission(agent, event, at)
	for (const effect of effects) applyAgentEffect(draft, effect)
}

function applyAgentEffect(draft: Draft, effect: AdmissionEffect): void {
	const { state } = draft
	const id = attemptKey(effect.name)
	switch (effect.do) {
		case 'start':
			state.runs.push(id)
			break
		case 'refuse':
			for (const reader of [id, ...(state.attached[id] ?? [])])
				sendFrame(state, reader, { t: 'refused', outcome: effect.outcome })
			break
		case 'attach': {
			const first = attemptKey(effect.first)
			state.attached[first] = [...(state.attached[first] ?? []), id]
			const phase = state.agent.attempts.get(first)?.phase
			if (phase === 'whole') sendAnswer(state, id, 0)
			break
		}
		case 'cancel':
			break
		default:
			effect satisfies never
	}
}

function handleFrame(
	draft: Draft,
	entry: number,
	attempt: number,
	frame: Frame,
): void {
	switch (frame.t) {
		case 'admitted':
			stepEntry(draft, entry, { type: 'admitted', attempt })
			break
		case 'chunk':
			stepEntry(draft, entry, { type: 'chunk', attempt, n: frame.n }, frame.of)
			break
		case 'end': {
			const { state } = draft.state.lifecycles[entry]!
			const next = state.at === 'answering' ? state.next : 0
			const n = draft.mutant === 'noEndMarker' ? next : frame.n
			stepEntry(draft, entry, { type: 'end', attempt, n })
			break
		}
		case 'refused':
			stepEntry(draft, entry, {
				type: 'refused',
				attempt,
				outcome: frame.outcome,
			})
			break
		case 'voidAnswer':
			stepEntry(draft, entry, {
				type: 'voidAnswer',
				attempt,
				answer: frame.answer,
			})
			break
		default:
			frame satisfies never
	}
}

function stepEntry(
	draft: Draft,
	entry: number,
	event: LifecycleEvent,
	chunk = '',
): void {
	const { state, mutant } = draft
	const lifecycle = state.lifecycles[entry]!
	const wasSettled = lifecycle.state.at === 'settled'
	const effects = stepLifecycle(lifecycle, event, true)
	for (const effect of effects) {
		if (wasSettled && effect.do !== 'drop')
			draft.state = { ...draft.state, fault: 'effect after settling' }
		applyEntryEffect(draft, entry, effect, chunk)
	}
	const { state: after } = lifecycle
	const isUnknown =
		after.at === 'settled' && after.outcome.outcome === 'unknown'
	if (mutant === 'retryUnknown' && isUnknown && lifecycle.attempt < 2) {
		lifecycle.state = { at: 'routing' }
		sendOffer(draft, entry)
	}
}

function applyEntryEffect(
	draft: Draft,
	entry: number,
	effect: LifecycleEffect,
	chunk: string,
): void {
	const { state } = draft
	const lifecycle = state.lifecycles[entry]!
	const name = { reqId: `r${entry}`, attempt: lifecycle.attempt }
	const incarnation = state.knownIncarnation[entry]!
	switch (effect.do) {
		case 'route':
			dropFrames(state, entry)
			sendOffer(draft, entry)
			break
		case 'sendVoid':
			send(state, { kind: 'void', entry, name, incarnation })
			break
		case 'resume':
			dropFrames(state, entry)
			resume(draft, entry, name, effect.from)
			break
		case 'forward':
			state.forwarded[entry]!.push(chunk)
			lifecycle.answerStarted = true
			break
		case 'cancel':
		case 'drop':
		case 'settle':
			break
		default:
			effect satisfies never
	}
}

/** Resumes an answer. The agent responds at once; losing that is another lost link. */
function resume(
	draft: Draft,
	entry: number,
	name: AttemptName,
	from: number,
): void {
	const { state } = draft
	const id = attemptKey(name)
	const isCurrent = state.knownIncarnation[entry] === state.incarnation
	const first = Object.keys(state.attached).find(other =>
		state.attached[other]?.includes(id),
	)
	const attempt = first ?? id
	const phase = isCurrent ? state.agent.attempts.get(attempt)?.phase : undefined
	switch (phase) {
		case 'whole':
			sendAnswer(state, id, from)
			break
		case 'waiting':
		case 'running':
			break
		case 'refused':
		case 'broken':
		case undefined: {
			const outcome = unknown('truncated')
			sendFrame(state, id, { t: 'refused', outcome })
			break
		}
		default:
			phase satisfies never
	}
}
