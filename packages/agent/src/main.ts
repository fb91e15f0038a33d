/** Starts an agent from the settings file given on the command line. */

import { loadSettings, setLogLevel } from '@juniperhook/runtime'
import { startAgent } from './agent.ts'

/** Starts the daemon, which runs until SIGTERM. */
export async function runAgent(settingsPath: string): Promise<void> {
	const settings = loadSettings(settingsPath)
	setLogLevel(settings.log.level)
	await startAgent(settings)
}
