/** Keeps a process running after an error that nothing else has handled. */

import type { Registry } from 'prom-client'
import { Counter } from 'prom-client'

/** Internal faults of this process so far. */
export const faults = { count: 0 }

/**
 * Reports errors thrown in callbacks and rejections without a handler, which would
 * terminate the process. Requests and timers are independent of each other, so
 * everything else goes on.
 */
export function surviveFaults(report: (detail: string) => void): void {
	const survive = (err: unknown) => {
		faults.count++
		try {
			report(describeFault(err))
		} catch {
			// What this handler throws would end the process; the fault is counted.
		}
	}
	process.on('uncaughtException', survive)
	process.on('unhandledRejection', survive)
}

/** Returns the stack of an error, or a text for another thrown value; never throws. */
export function describeFault(err: unknown): string {
	try {
		return err instanceof Error ? (err.stack ?? err.message) : String(err)
	} catch {
		return 'a thrown value without a text'
	}
}

/** Registers the counter of internal faults. */
export function registerFaults(registry: Registry): void {
	new Counter({
		name: 'juniperhook_internal_faults_total',
		help: 'Errors that nothing in the process had handled',
		registers: [registry],
		collect() {
			this.reset()
			this.inc(faults.count)
		},
	})
}
