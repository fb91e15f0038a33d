import { Args, Command } from '@oclif/core'

/** `juniperhook entry FILE`: runs an entry until it is told to stop. */
export class Entry extends Command {
	static override summary = 'Run an entry: take requests and route them.'
	static override description = `Reads its own addresses from the settings file
and the configuration from the platform's service. SIGTERM ends readiness first,
then finishes what is in flight. Exit code 1: the settings are wrong.`
	static override examples = ['<%= config.bin %> entry /etc/juniperhook.ini']
	static override args = {
		settings: Args.file({
			description: 'settings file (INI)',
			required: true,
			exists: true,
		}),
	}

	/** Parses the arguments and starts the daemon. */
	async run(): Promise<void> {
		const { args } = await this.parse(Entry)
		const { runEntry } = await import('../main.ts')
		await runEntry(args.settings)
	}
}
