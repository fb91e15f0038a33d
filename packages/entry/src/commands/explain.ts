import { Args, Command } from '@oclif/core'
import { explainRequest, formatTrace } from '../explain.ts'
import { readLogFiles } from '../logLines.ts'

/** `juniperhook explain ID LOG…`: traces a request and names its outcome's likely cause. */
export class Explain extends Command {
	static override summary = 'Trace a request through logs.'
	static override description = `Reads the logs of any number of processes and
prints all decisions about one request, the state on which they were based, and
the likely cause. Exit code 0; 1: no line names the request; 2: wrong arguments.`
	static override examples = ['<%= config.bin %> explain 9c41d07b *.log']
	static override strict = false
	static override args = {
		id: Args.string({ description: "the caller's id", required: true }),
		log: Args.file({ description: 'a log file', required: true, exists: true }),
	}

	/** Reads the log files and prints the trace. */
	async run(): Promise<void> {
		const { args, argv } = await this.parse(Explain)
		const paths = argv.slice(1).map(String)
		const trace = explainRequest(args.id, readLogFiles(paths))
		if (!trace) {
			this.logToStderr(`no line names the request ${args.id}`)
			this.exit(1)
		}
		for (const line of formatTrace(trace)) this.log(line)
	}
}
