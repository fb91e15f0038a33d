import { Args, Command } from '@oclif/core'

/** `juniperhook-agent FILE`: runs an agent until it receives SIGTERM. */
export default class Agent extends Command {
	static override summary = 'Run the agent beside one backend server.'
	static override description = `Reads its own addresses from the settings file
and the configuration from the platform's service. SIGTERM refuses new work at
once and finishes what is in flight. While the settings file is missing or
invalid, or an address is in use, it waits and says so in its log.`
	static override examples = ['<%= config.bin %> /etc/juniperhook-agent.ini']
	static override args = {
		settings: Args.file({
			description: 'settings file (INI)',
			required: true,
			exists: true,
		}),
	}

	/** Parses the arguments and starts the daemon. */
	async run(): Promise<void> {
		const { args } = await this.parse(Agent)
		const { runAgent } = await import('./main.ts')
		await runAgent(args.settings)
	}
}
