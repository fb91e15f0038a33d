/**
 * Exhaustive breadth-first exploration of a model, so that the path to the first fault
 * found is a shortest one.
 *
 * `getAdjacencyMap` of xstate/graph does the same for small models, but stores every
 * transition and dequeues with `shift`, which is too slow for these models; PROOF.md has
 * the measurement.
 */

/** A model: plain states, enabled events, and a pure transition function. */
export interface Model<S, E> {
	readonly initial: S
	/** Lists the events enabled in a state; none in a faulty one. */
	list(state: S): readonly E[]
	/** Returns a new state, or the same one if the event has no effect. */
	apply(state: S, event: E): S
	/** Returns a description of the fault of a state, if it has one. */
	findFault(state: S): string | undefined
	/** Returns a key that is the same for equal states only; JSON by default. */
	keyOf?(state: S): string
}

/** Result of an exploration. */
export interface Exploration<E> {
	readonly states: number
	readonly transitions: number
	/** Largest distance of a state from the initial one. */
	readonly depth: number
	readonly fault: string | undefined
	/** Shortest path to the fault; empty without a fault. */
	readonly path: readonly E[]
	/** Whether every reachable state was visited. */
	readonly complete: boolean
}

/** Predecessor of a state on its shortest path. */
interface Predecessor<E> {
	readonly from: number
	readonly event: E
}

/** Visits every reachable state, or stops at the first fault or the limit. */
export function explore<S, E>(
	model: Model<S, E>,
	maxStates = 3_000_000,
): Exploration<E> {
	const keyOf = model.keyOf ?? JSON.stringify
	const known = new Set<string>([keyOf(model.initial)])
	const predecessors: (Predecessor<E> | undefined)[] = [undefined]
	let layer: { id: number; state: S }[] = [{ id: 0, state: model.initial }]
	let transitions = 0
	let depth = 0
	const report = (fault?: string, path: E[] = [], complete = true) => {
		const states = known.size
		return { states, transitions, depth, fault, path, complete }
	}
	while (layer.length > 0) {
		const next: typeof layer = []
		for (const { id, state } of layer) {
			for (const event of model.list(state)) {
				transitions++
				const target = model.apply(state, event)
				const key = keyOf(target)
				if (known.has(key)) continue
				known.add(key)
				const to = predecessors.push({ from: id, event }) - 1
				const fault = model.findFault(target)
				if (fault !== undefined)
					return report(fault, tracePath(predecessors, to))
				next.push({ id: to, state: target })
			}
			if (known.size > maxStates) return report(undefined, [], false)
		}
		if (next.length > 0) depth++
		layer = next
	}
	return report()
}

function tracePath<E>(
	predecessors: readonly (Predecessor<E> | undefined)[],
	to: number,
): E[] {
	const path: E[] = []
	for (let at = predecessors[to]; at; at = predecessors[at.from])
		path.unshift(at.event)
	return path
}
