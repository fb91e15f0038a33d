/**
 * A gateway as a process of its own, which tests can stop with signals. Its argument is
 * its settings as JSON; it prints a line once it serves.
 */

import type { ListedServer, TrafficConfig } from '@juniperhook/core'
import { createEventLog, surviveFaults } from '@juniperhook/runtime'
import { startGateway } from '../src/index.ts'
import { createCatalog, SERVER_WIRE } from './fakeBackends.ts'
import { describeSettings, until } from './openGateway.ts'

/** Settings of the process. */
export interface GatewayProcessSettings {
	readonly firstPort: number
	/** Time from SIGTERM to SIGKILL, ms. */
	readonly stopMs: number
	readonly config: TrafficConfig
	readonly listed: readonly ListedServer[]
	/** Whether an open request cannot be refused: that throws. */
	readonly hasFailingRefusal?: boolean
}

const given = JSON.parse(process.argv[2]!) as GatewayProcessSettings
const { firstPort, stopMs, config, listed, hasFailingRefusal } = given
const settings = { ...describeSettings(firstPort), stopMs }
const source = createCatalog(config, listed)
const ctx = await startGateway(
	settings,
	SERVER_WIRE,
	source,
	createEventLog('gateway'),
)
await until(() => ctx.routes !== undefined)
if (hasFailingRefusal) addFailingRefusal()
process.stdout.write('serves\n')

function addFailingRefusal(): void {
	surviveFaults(() => {})
	const refuse = () => {
		throw new Error('a request that cannot be refused')
	}
	const request = { timeoutAt: Number.POSITIVE_INFINITY, refuse }
	ctx.requestsBeingRead.add(request as never)
	ctx.openRequests++
}
