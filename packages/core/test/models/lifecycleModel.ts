/**
 * One booking, asked for at two entries by one key, at one home agent that may
 * pause, restart or be told to leave, over links that lose, double and delay.
 * The functions explored are those of the daemons.
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
	answerOne,
	answerReaders,
	dropFrames,
	nameOf,
	send,
	sendAnswer,
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
	BORN_WALL,
	createInitial,
	findBrokenPromise,
	KEY,
	KEY_WALL,
	ROOMY_MS,
} from './lifecycleModelState.ts'

/** The model for given bounds. */
export function createLifecycleModel(
	bounds: LifecycleBounds,
	mutant: LifecycleMutant = 'none',
): Model<LifecycleModelState, LifecycleModelEvent> {
	return {
		initial: createInitial(bounds),
		list: state => listEvents(state, bounds),
		apply: (state, event) => apply(state, event, bounds, mutant),
		findFault: state => state.fault ?? findBrokenPromise(state, bounds),
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
	for (const [entry, asked] of state.requested.entries()) {
		if (!asked) {
			events.push({ do: 'ask', entry })
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
		if (used.doubles < bounds.duplicates)
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
		case 'ask':
			state.requested[event.entry] = true
			offer(draft, event.entry)
			break
		case 'deliver': {
			const at = state.messages.indexOf(event.message)
			if (event.again) state.used.doubles++
			else state.messages.splice(at, 1)
			deliver(draft, JSON.parse(event.message))
			break
		}
		case 'linkLost': {
			state.used.losses++
			const { attempt } = state.lifecycles[event.entry]!
			dropFrames(state, event.entry)
			tell(draft, event.entry, { type: 'linkLost', attempt })
			break
		}
		case 'silent': {
			state.used.silences++
			const { attempt } = state.lifecycles[event.entry]!
			dropFrames(state, event.entry)
			tell(draft, event.entry, { type: 'silent', attempt })
			break
		}
		case 'finish': {
			const name = nameOf(event.run)
			stepAgent(draft, { type: 'finish', name, how: 'whole' })
			answerReaders(draft, event.run)
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
	if (draft.mutant === 'forgetAge')
		Object.assign(agent, { bornWall: BORN_WALL })
	draft.state = {
		...state,
		agent,
		incarnation: state.incarnation + 1,
		attached: {},
		// Its connections died with it; only entries' tries in flight notice.
		messages: state.messages.filter(text => !text.includes('"kind":"offer"')),
	}
}

function offer(draft: Draft, entry: number): void {
	const { state } = draft
	const { incarnation } = state
	state.believes[entry] = incarnation
	tell(draft, entry, { type: 'routed' })
	const { attempt } = state.lifecycles[entry]!
	const name = { reqId: `r${entry}`, attempt }
	send(state, { kind: 'offer', entry, name, incarnation })
}

function deliver(draft: Draft, message: Message): void {
	const { state } = draft
	switch (message.kind) {
		case 'offer':
			takeOffer(draft, message)
			break
		case 'void': {
			const { entry, name } = message
			const { attempt } = name
			const known = message.incarnation === state.incarnation
			if (known) stepAgent(draft, { type: 'void', name })
			const answer = known ? answerVoid(draft.state.agent, name) : 'unknown'
			if (draft.mutant === 'noTombstone') draft.state.agent.voided.clear()
			const frame = { t: 'voidAnswer', answer } as const
			send(draft.state, { kind: 'frame', entry, attempt, frame })
			break
		}
		case 'frame':
			takeFrame(draft, message.entry, message.attempt, message.frame)
			break
		default:
			message satisfies never
	}
}

function takeOffer(
	draft: Draft,
	message: Extract<Message, { kind: 'offer' }>,
): void {
	const { name, entry } = message
	const { freshKey, keyed } = draft.bounds
	const claim = {
		key: KEY,
		wallTime: KEY_WALL,
		windowMs: ROOMY_MS,
		homeSinceWall: BORN_WALL,
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
			startBudgetMs: ROOMY_MS,
			mayWait: true,
			...(keyed && { claim }),
		},
	})
}

function stepAgent(draft: Draft, event: AdmissionEvent): void {
	const { agent, at } = draft.state
	const effects = stepAdmission(agent, event, at)
	for (const effect of effects) carryOut(draft, effect)
}

function carryOut(draft: Draft, effect: AdmissionEffect): void {
	const { state } = draft
	const id = attemptKey(effect.name)
	switch (effect.do) {
		case 'start':
			state.runs.push(id)
			break
		case 'refuse':
			for (const reader of [id, ...(state.attached[id] ?? [])])
				answerOne(state, reader, { t: 'refused', outcome: effect.outcome })
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

function takeFrame(
	draft: Draft,
	entry: number,
	attempt: number,
	frame: Frame,
): void {
	switch (frame.t) {
		case 'admitted':
			tell(draft, entry, { type: 'admitted', attempt })
			break
		case 'chunk':
			tell(draft, entry, { type: 'chunk', attempt, n: frame.n }, frame.of)
			break
		case 'end': {
			const { state } = draft.state.lifecycles[entry]!
			const next = state.at === 'answering' ? state.next : 0
			const n = draft.mutant === 'noEndMark' ? next : frame.n
			tell(draft, entry, { type: 'end', attempt, n })
			break
		}
		case 'refused':
			tell(draft, entry, { type: 'refused', attempt, outcome: frame.outcome })
			break
		case 'voidAnswer':
			tell(draft, entry, { type: 'voidAnswer', attempt, answer: frame.answer })
			break
		default:
			frame satisfies never
	}
}

function tell(
	draft: Draft,
	entry: number,
	event: LifecycleEvent,
	chunk = '',
): void {
	const { state, mutant } = draft
	const fate = state.lifecycles[entry]!
	const settled = fate.state.at === 'settled'
	const effects = stepLifecycle(fate, event, true)
	for (const effect of effects) {
		if (settled && effect.do !== 'drop')
			draft.state = { ...draft.state, fault: 'a settled request went on' }
		carryOutEntry(draft, entry, effect, chunk)
	}
	const { state: now } = fate
	const gaveUp = now.at === 'settled' && now.outcome.outcome === 'unknown'
	if (mutant === 'retryUnknown' && gaveUp && fate.attempt < 2) {
		fate.state = { at: 'routing' }
		offer(draft, entry)
	}
}

function carryOutEntry(
	draft: Draft,
	entry: number,
	effect: LifecycleEffect,
	chunk: string,
): void {
	const { state } = draft
	const fate = state.lifecycles[entry]!
	const name = { reqId: `r${entry}`, attempt: fate.attempt }
	const incarnation = state.believes[entry]!
	switch (effect.do) {
		case 'route':
			dropFrames(state, entry)
			offer(draft, entry)
			break
		case 'sendVoid':
			send(state, { kind: 'void', entry, name, incarnation })
			break
		case 'resume':
			dropFrames(state, entry)
			resume(draft, entry, name, effect.from)
			break
		case 'forward':
			state.told[entry]!.push(chunk)
			fate.answerStarted = true
			break
		case 'cancel':
		case 'drop':
		case 'settle':
			break
		default:
			effect satisfies never
	}
}

/** The agent answers a resume at once; a lost answer is a lost link again. */
function resume(
	draft: Draft,
	entry: number,
	name: AttemptName,
	from: number,
): void {
	const { state } = draft
	const id = attemptKey(name)
	const known = state.believes[entry] === state.incarnation
	const first = Object.keys(state.attached).find(other =>
		state.attached[other]?.includes(id),
	)
	const source = first ?? id
	const phase = known ? state.agent.attempts.get(source)?.phase : undefined
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
			answerOne(state, id, { t: 'refused', outcome })
			break
		}
		default:
			phase satisfies never
	}
}
