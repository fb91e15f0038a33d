/** Which other entries an entry keeps links to. */

/**
 * Entries that one entry keeps links to. Up to this number each hears every other
 * one directly, which is what sharing the places at servers needs; it costs some
 * ten messages a second for each link.
 */
export const MAX_LINKS = 40

/**
 * Addresses that `own` keeps links to: all, or if there are too many, those that
 * lie one, two, four and so on places behind it in the ring of all addresses, and
 * its next neighbours. News reach all others in as many steps as the number of
 * entries has binary digits, at most; nobody has many more links than others.
 */
export function chooseLinks(
	own: string,
	known: readonly string[],
	most = MAX_LINKS,
): string[] {
	const others = known.filter(address => address !== own)
	if (others.length <= most) return others
	const ring = [...others, own].sort()
	const at = ring.indexOf(own)
	const chosen = new Set<string>()
	const add = (distance: number) => {
		const address = ring[(at + distance) % ring.length]!
		if (address !== own && chosen.size < most) chosen.add(address)
	}
	for (let distance = 1; distance < ring.length; distance *= 2) add(distance)
	for (let distance = 1; chosen.size < most; distance++) add(distance)
	return [...chosen]
}
