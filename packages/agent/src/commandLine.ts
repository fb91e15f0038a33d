/** Runs the command line through oclif. */

import { flush, handle, run } from '@oclif/core'

/** Runs a command; on failure, exits the process with the command's exit code. */
export async function runCommandLine(args: string[]): Promise<void> {
	try {
		await run(args, import.meta.url)
		await flush()
	} catch (err) {
		await handle(err as Error)
	}
}
