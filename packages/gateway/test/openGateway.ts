/** Starts gateways for tests, each on ports of its own. */

import type { ListedServer } from '@juniperhook/core'
import { createEventLog } from '@juniperhook/runtime'
import type { GatewayContext } from '../src/index.ts'
import { startGateway } from '../src/index.ts'
import type { StandInCatalog } from './standIns.ts'
import { CONFIG, createCatalog, WIRE } from './standIns.ts'

/** After trouble, a gateway must be up to date again after this time, ms. */
export const CONTACT_MS = 3_000
const PORTS_EACH = 4
const log = { ...createEventLog('test'), write: () => {}, flush: () => {} }

/** A running gateway and where it listens. */
export interface TestGateway {
	readonly ctx: GatewayContext
	readonly catalog: StandInCatalog
	readonly callers: string
	readonly readiness: string
	readonly control: string
}

/** Opens a gateway that follows a catalog; by default one that lists all. */
export type Opener = (
	catalog?: StandInCatalog,
	seeds?: readonly string[],
) => Promise<TestGateway>

/** Makes an opener whose gateways listen from `firstPort` on. */
export function createOpener(
	firstPort: number,
	listed: readonly ListedServer[],
): Opener {
	let ports = firstPort
	return async (catalog = createCatalog(CONFIG, listed), seeds = []) => {
		const at = ports
		ports += PORTS_EACH
		const address = (offset: number) => `127.0.0.1:${at + offset}`
		const ctx = await startGateway(
			{
				name: `entry-${at}`,
				ip: '127.0.0.1',
				dataCentre: 'north',
				callers: address(0),
				readiness: address(1),
				control: address(2),
				metrics: address(3),
				seeds,
				stopMs: 2_000,
				contactMs: CONTACT_MS,
				retries: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
			},
			WIRE,
			catalog,
			log,
		)
		await until(() => catalog.down || ctx.routes !== undefined)
		return {
			ctx,
			catalog,
			callers: address(0),
			readiness: address(1),
			control: address(2),
		}
	}
}

/** Waits until something holds, for 4 s at most. */
export async function until(condition: () => boolean): Promise<void> {
	for (let look = 0; look < 400 && !condition(); look++)
		await new Promise(resolve => setTimeout(resolve, 10))
}
