import { readFileSync } from 'node:fs'
import { readConfig } from '@juniperhook/core'
import { formatFault, readSettings } from '@juniperhook/runtime'
import { Args, Command, Flags } from '@oclif/core'

/** `juniperhook check FILE`: judges a document as every node would. */
export class Check extends Command {
	static override summary = 'Check a configuration or settings file.'
	static override description = `Prints every fault at once, each with its line,
section, key and what was expected. Exit code 0: the file is right; 1: it is
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

	/** Judges the file. */
	async run(): Promise<void> {
		const { args, flags } = await this.parse(Check)
		const text = readFileSync(args.file, 'utf8')
		const verdict = flags.settings ? readSettings(text) : readConfig(text)
		if (verdict.valid) {
			this.log(`${args.file}: valid`)
			return
		}
		for (const fault of verdict.faults) this.log(formatFault(args.file, fault))
		const count = verdict.faults.length
		this.log(`${args.file}: ${count} fault${count === 1 ? '' : 's'}`)
		this.exit(1)
	}
}
