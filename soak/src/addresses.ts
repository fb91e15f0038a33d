/**
 * Loopback addresses of a soak test. Each VM has its own; relays have further ones,
 * through which other VMs reach it.
 */

/** Ports, the same on every VM. */
export const PORTS = {
	callers: 8227,
	readiness: 8220,
	control: 8229,
	agents: 7340,
	engine: 9000,
	store: 8223,
} as const

const FIRST_HOST_NUMBER = 10

function ip(net: number, group: number, index: number): string {
	return `127.${net}.${group}.${FIRST_HOST_NUMBER + index}`
}

/** IP of an entry. */
export const entryIp = (net: number, index: number) => ip(net, 1, index)
/** IP of an agent. */
export const agentIp = (net: number, rank: number) => ip(net, 2, rank)
/** IP of a backend server on its own VM. */
export const serverIp = (net: number, index: number) => ip(net, 3, index)
/** IP of the relay through which other VMs reach a backend server and its agent. */
export const relayIp = (net: number, index: number) => ip(net, 4, index)
/** IP of the relay through which an entry reaches the store. */
export const entryStoreIp = (net: number, index: number) => ip(net, 5, index)
/** IP of the relay through which an agent reaches the store. */
export const agentStoreIp = (net: number, rank: number) => ip(net, 6, rank)
