import { readFileSync } from 'node:fs'
import { readConfig } from '@juniperhook/core'
import { formatFault, readSettings } from '@juniperhook/runtime'
import { Args, Command, Flags } from '@oclif/core'

/** `juniperhook check FILE`: validates a file with the rules that every node applies. */
export class Check extends Command {
	static override summary = 'Check a configuration or settings file.'
	static override description = `Prints every fault at once, each with its line,
section, key and what was expected. Exit code 0: the file is valid; 1: it is
not; 2: wrong arguments.`
	static override examples = [
		'<%= config.bin %> check examples/cradle-ridge.ini',
		'<%= config.bin %> check --settings /etc/juniperhook.ini',
	]
	static override args = {
		file: Args.file({ description: 'INI file', required: true, exists: true }),
	}
	static override flags = {
		settings: Flags.boolean({
			description: "the file is a process's settings, not a configuration",
		}),
	}

	/** Validates the file and prints its faults. */
	async run(): Promise<void> {
		const { args, flags } = await this.parse(Check)
		const text = readFileSync(args.file, 'utf8')
		const result = flags.settings ? readSettings(text) : readConfig(text)
		if (result.valid) {
			this.log(`${args.file}: valid`)
			return
		}
		for (const fault of result.faults) this.log(formatFault(args.file, fault))
		const count = result.faults.length
		this.log(`${args.file}: ${count} fault${count === 1 ? '' : 's'}`)
		this.exit(1)
	}
}
