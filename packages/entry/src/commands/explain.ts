import { Args, Command } from '@oclif/core'
import { explainRequest, formatStory } from '../explain.ts'
import { readLogFiles } from '../logLines.ts'

/** `juniperhook explain ID LOG…`: a request's story and its likely cause. */
export class Explain extends Command {
	static override summary = "Tell a request's story from logs."
	static override description = `Reads the logs of any number of processes and
prints all that was decided about one request, the state that decided it, and
the likely cause. Exit code 0; 1: no line names the request; 2: wrong arguments.`
	static override examples = ['<%= config.bin %> explain 9c41d07b *.log']
	static override strict = false
	static override args = {
		id: Args.string({ description: "the caller's id", required: true }),
		log: Args.file({ description: 'a log file', required: true, exists: true }),
	}

	/** Reads the files and prints. */
	async run(): Promise<void> {
		const { args, argv } = await this.parse(Explain)
		const paths = argv.slice(1).map(String)
		const story = explainRequest(args.id, readLogFiles(paths))
		if (!story) {
			this.logToStderr(`no line names the request ${args.id}`)
			this.exit(1)
		}
		for (const line of formatStory(story)) this.log(line)
	}
}
