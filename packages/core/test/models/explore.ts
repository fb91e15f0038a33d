/**
 * Exhaustive exploration of a pure model, breadth first, so that the first
 * fault found has a shortest path.
 *
 * `getAdjacencyMap` of xstate/graph does the same for small models, but keeps
 * every transition and shifts its queue: see PROOF.md for the measurement that
 * made this module necessary.
 */

/** A model: plain states, enabled events, a pure transition. */
export interface Model<S, E> {
	readonly initial: S
	/** Events that may happen in a state; none in a broken one. */
	list(state: S): readonly E[]
	/** A new state, or the same one when nothing changes. */
	apply(state: S, event: E): S
	/** What is wrong with a state, if anything. */
	findFault(state: S): string | undefined
	/** Text that is the same for equal states only; JSON by default. */
	keyOf?(state: S): string
}

/** What an exploration found. */
export interface Exploration<E> {
	readonly states: number
	readonly transitions: number
	/** Longest shortest path. */
	readonly depth: number
	readonly fault: string | undefined
	/** Shortest way to a fault. */
	readonly path: readonly E[]
	/** Whether every reachable state was visited. */
	readonly complete: boolean
}

interface Origin<E> {
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
	const origins: (Origin<E> | undefined)[] = [undefined]
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
				const to = origins.push({ from: id, event }) - 1
				const fault = model.findFault(target)
				if (fault !== undefined) return report(fault, tracePath(origins, to))
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
	origins: readonly (Origin<E> | undefined)[],
	to: number,
): E[] {
	const path: E[] = []
	for (let at = origins[to]; at; at = origins[at.from]) path.unshift(at.event)
	return path
}
