/** Starts an agent from the settings file given on the command line. */

import { startDaemon } from '@juniperhook/runtime'
import { startAgent } from './agent.ts'

/** Starts the daemon, which runs until SIGTERM. */
export async function runAgent(settingsPath: string): Promise<void> {
	await startDaemon(settingsPath, startAgent)
}
