/** File searches that Node 20 lacks. */

import { readdirSync } from 'node:fs'
import { join } from 'node:path'

export { existsSync, readFileSync } from 'node:fs'

/** Lists files below `folder` whose paths match `pattern`, without installed packages. */
export function globSync(folder: string, pattern: RegExp): string[] {
	const names = readdirSync(folder, { recursive: true }).map(String)
	return names
		.filter(name => pattern.test(name) && !name.includes('node_modules'))
		.map(name => join(folder, name))
		.sort()
}
