/** The differences between two configurations. */

import type { Config, GroupConfig } from '../internal.ts'
import { readExperts } from '../internal.ts'

/** A difference in a key or a whole section. */
export interface ConfigChange {
	readonly kind: 'added' | 'removed' | 'changed'
	readonly section: string
	/** Empty if the whole section was added or removed. */
	readonly key: string
	readonly before?: string
	readonly after?: string
}

/** Expert loads that a change of a group's placement requires. */
export interface PlacementMoves {
	readonly group: string
	/** Number of loads; each is one expert on one rank in one layer. */
	readonly loads: number
	readonly bytes: number
}

/** All differences between two configurations. */
export interface ConfigDiff {
	readonly changes: readonly ConfigChange[]
	readonly moves: readonly PlacementMoves[]
}

type Section = Readonly<Record<string, unknown>>
type SectionKind = keyof Config

const SECTION_KINDS: readonly SectionKind[] = [
	'dataCentre',
	'model',
	'group',
	'placement',
	'team',
	'service',
	'server',
]

/** Compares two valid configurations. */
export function diffConfigs(from: Config, to: Config): ConfigDiff {
	const changes = SECTION_KINDS.flatMap(kind =>
		diffKind(kind, from[kind], to[kind]),
	)
	const moves = Object.keys(to.group)
		.map(group => diffPlacement(from, to, group))
		.filter(move => move.loads > 0)
	return { changes, moves }
}

function diffKind(
	kind: SectionKind,
	from: Readonly<Record<string, Section>>,
	to: Readonly<Record<string, Section>>,
): ConfigChange[] {
	const names = new Set([...Object.keys(from), ...Object.keys(to)])
	return [...names].sort().flatMap(name => {
		const section = `${kind}.${name}`
		const before = from[name]
		const after = to[name]
		if (!before) return [{ kind: 'added' as const, section, key: '' }]
		if (!after) return [{ kind: 'removed' as const, section, key: '' }]
		return diffSection(section, before, after)
	})
}

function diffSection(
	section: string,
	from: Section,
	to: Section,
): ConfigChange[] {
	const keys = new Set([...Object.keys(from), ...Object.keys(to)])
	return [...keys].sort().flatMap(key => {
		const before = from[key] === undefined ? undefined : String(from[key])
		const after = to[key] === undefined ? undefined : String(to[key])
		if (before === after) return []
		const kind = before === undefined ? 'added' : 'changed'
		return [
			{
				kind: after === undefined ? 'removed' : kind,
				section,
				key,
				...(before !== undefined && { before }),
				...(after !== undefined && { after }),
			},
		]
	})
}

function diffPlacement(
	from: Config,
	to: Config,
	group: string,
): PlacementMoves {
	const next = to.group[group]!
	const previous = from.group[group]
	const before = previous ? readPlacement(from, group, previous) : []
	const after = readPlacement(to, group, next)
	let loads = 0
	for (const [rank, experts] of after.entries()) {
		const loaded = new Set(before[rank] ?? [])
		loads += experts.filter(expert => !loaded.has(expert)).length
	}
	loads *= next.layers
	return { group, loads, bytes: loads * next.bytesPerExpert }
}

/** Returns the configured experts of each rank, or even blocks if none are given. */
export function readPlacement(
	config: Config,
	name: string,
	group: GroupConfig,
): number[][] {
	const placement = config.placement[name]
	const size = Math.ceil(group.experts / group.ranks.length)
	return group.ranks.map((_, rank) => {
		if (placement) return readExperts(placement[`rank${rank}`] ?? '')
		const block = Array.from({ length: size }, (_, at) => rank * size + at)
		return block.filter(expert => expert < group.experts)
	})
}
