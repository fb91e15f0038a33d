import { Args, Command } from '@oclif/core'

/** `juniperhook entry FILE`: runs an entry until SIGTERM. */
export class Entry extends Command {
	static override summary = 'Run an entry: accept requests and route them.'
	static override description = `Reads its own addresses from the settings file
and the configuration from the platform's service. On SIGTERM it first reports
not ready, then finishes the requests in flight. While the settings file is
missing or invalid, or an address is in use, it waits and says so in its log.`
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
