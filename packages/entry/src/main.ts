/** Starts an entry from the settings file given on the command line. */

import { startDaemon } from '@juniperhook/runtime'
import { startEntry } from './entry.ts'

/** Starts the daemon, which runs until SIGTERM. */
export async function runEntry(settingsPath: string): Promise<void> {
	await startDaemon(settingsPath, startEntry)
}
