/** Small helpers of the stand-ins. */

import { randomBytes } from 'node:crypto'

export const now = () => performance.now()

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** A random number from `low` to `high`. */
export const between = (low, high) => low + Math.random() * (high - low)

export const pick = list => list[Math.floor(Math.random() * list.length)]

export const randomHex = bytes => randomBytes(bytes).toString('hex')

/** Listens at a free port of `ip`, or at `port`; returns the address. */
export async function listen(server, ip, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject)
		server.listen(port, ip, resolve)
	})
	return `${ip}:${server.address().port}`
}
