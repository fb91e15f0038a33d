/** Starts an entry with the settings file named on the command line. */

import { loadSettings, setLogLevel } from '@juniperhook/runtime'
import { startEntry } from './entry.ts'

/** Runs the daemon until it is told to stop. */
export async function runEntry(settingsPath: string): Promise<void> {
	const settings = loadSettings(settingsPath)
	setLogLevel(settings.log.level)
	await startEntry(settings)
}
