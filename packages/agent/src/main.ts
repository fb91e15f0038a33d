/** Starts an agent with the settings file named on the command line. */

import { loadSettings, setLogLevel } from '@juniperhook/runtime'
import { startAgent } from './agent.ts'

/** Runs the daemon until it receives SIGTERM. */
export async function runAgent(settingsPath: string): Promise<void> {
	const settings = loadSettings(settingsPath)
	setLogLevel(settings.log.level)
	await startAgent(settings)
}
