/** Loopback addresses of a soak: each VM has its own, and one behind a relay. */

/** Ports, the same on every VM. */
export const PORTS = {
	callers: 8227,
	readiness: 8220,
	control: 8229,
	agents: 7340,
	engine: 9000,
	store: 8223,
} as const

const FIRST = 10

function ip(net: number, group: number, index: number): string {
	return `127.${net}.${group}.${FIRST + index}`
}

/** An entry's VM. */
export const entryIp = (net: number, index: number) => ip(net, 1, index)
/** An agent's process. */
export const agentIp = (net: number, rank: number) => ip(net, 2, rank)
/** A backend server as its own VM reaches it. */
export const serverIp = (net: number, index: number) => ip(net, 3, index)
/** The relay that all others reach a backend server and its agent through. */
export const relayIp = (net: number, index: number) => ip(net, 4, index)
/** The relay that an entry reaches the store through. */
export const entryStoreIp = (net: number, index: number) => ip(net, 5, index)
/** The relay that an agent reaches the store through. */
export const agentStoreIp = (net: number, rank: number) => ip(net, 6, rank)
