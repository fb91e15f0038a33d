/** Writes what was sent, answered and run to record.txt beside the case. */

import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

/** Creates a record; its times are seconds since the start of the script. */
export function createRecord(folder) {
	const startedAt = performance.now()
	const lines = []
	return {
		/** Seconds since the start of the script. */
		now: () => (performance.now() - startedAt) / 1_000,
		note(text) {
			const at = ((performance.now() - startedAt) / 1_000).toFixed(3)
			lines.push(`${at.padStart(8)} s  ${text}`)
		},
		save() {
			writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
		},
	}
}

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))
