import { Args, Command } from '@oclif/core'
import { readLogFiles } from '../logLines.ts'
import { formatReport, makeReport } from '../report.ts'

/** `juniperhook report LOG…`: summarizes a run and what limited it. */
export class Report extends Command {
	static override summary =
		'Summarize a run and what limited it, from its logs.'
	static override description = `Reads the logs of any number of processes and
prints a row per second, the causes that cost most requests, and how well passes
were predicted. Exit code 0; 1: no file holds a log line; 2: wrong arguments.`
	static override examples = [
		'<%= config.bin %> report entry-*.log agent-*.log',
	]
	static override strict = false
	static override args = {
		log: Args.file({ description: 'a log file', required: true, exists: true }),
	}

	/** Reads the log files and prints the report. */
	async run(): Promise<void> {
		const { argv } = await this.parse(Report)
		const report = makeReport(readLogFiles(argv.map(String)))
		if (report.rows.length === 0) {
			this.logToStderr('no log line in these files')
			this.exit(1)
		}
		for (const line of formatReport(report)) this.log(line)
	}
}
