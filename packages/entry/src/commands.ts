/** Commands of the `juniperhook` binary, for oclif's explicit strategy. */

import { Check } from './commands/check.ts'
import { Diff } from './commands/diff.ts'
import { Entry } from './commands/entry.ts'
import { Explain } from './commands/explain.ts'
import { Report } from './commands/report.ts'
import { Status } from './commands/status.ts'

/** Commands by name. */
export const COMMANDS = {
	check: Check,
	diff: Diff,
	entry: Entry,
	explain: Explain,
	report: Report,
	status: Status,
}
