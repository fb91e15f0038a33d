/** Hands the command line to oclif. */

import { flush, handle, run } from '@oclif/core'

/** Runs a command and ends the process with its exit code on failure. */
export async function runCommandLine(args: string[]): Promise<void> {
	try {
		await run(args, import.meta.url)
		await flush()
	} catch (err) {
		await handle(err as Error)
	}
}
