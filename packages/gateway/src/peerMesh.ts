/** Topology of the links between entries. */

/**
 * Maximum number of links per entry. Up to this number entries form a full mesh, which
 * sharing the slots of servers needs; each link costs about ten messages a second.
 */
export const MAX_LINKS = 40

/**
 * Returns the addresses that `own` maintains links to: all, or if there are more than
 * `max`, those at distances 1, 2, 4, ... in the ring of all addresses (as in Chord) and
 * then its next neighbours. A message reaches all of n entries within log2(n) hops,
 * rounded up, and links are spread evenly over the entries.
 */
export function chooseLinks(
	own: string,
	known: readonly string[],
	max = MAX_LINKS,
): string[] {
	const others = known.filter(address => address !== own)
	if (others.length <= max) return others
	const ring = [...others, own].sort()
	const position = ring.indexOf(own)
	const chosen = new Set<string>()
	const add = (distance: number) => {
		const address = ring[(position + distance) % ring.length]!
		if (address !== own && chosen.size < max) chosen.add(address)
	}
	for (let distance = 1; distance < ring.length; distance *= 2) add(distance)
	for (let distance = 1; chosen.size < max; distance++) add(distance)
	return [...chosen]
}
