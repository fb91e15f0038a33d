import { readFileSync } from 'node:fs'
import { type Config, diffConfigs, readConfig } from '@juniperhook/core'
import { formatFault } from '@juniperhook/runtime'
import { Args, Command } from '@oclif/core'

const MEGABYTE = 1_000_000

/** `juniperhook diff A B`: shows what applying B over A would change. */
export class Diff extends Command {
	static override summary = 'Show what applying file B over file A changes.'
	static override description = `Lists sections and keys added, removed and
changed, and the moves of experts with the bytes they load. Exit code 0 whether
or not they differ; 1: a file is invalid; 2: wrong arguments.`
	static override examples = ['<%= config.bin %> diff now.ini next.ini']
	static override args = {
		from: Args.file({ description: 'file A', required: true, exists: true }),
		to: Args.file({ description: 'file B', required: true, exists: true }),
	}

	/** Reads both files and prints their differences. */
	async run(): Promise<void> {
		const { args } = await this.parse(Diff)
		const from = this.read(args.from)
		const to = this.read(args.to)
		const diff = diffConfigs(from, to)
		for (const change of diff.changes) {
			const location = `[${change.section}] ${change.key}`.trim()
			this.log(`${change.kind.padEnd(8)}${location}${describe(change)}`)
		}
		for (const move of diff.moves) {
			const megabytes = Math.round(move.bytes / MEGABYTE)
			this.log(
				`moves   [group.${move.group}] ${move.loads} expert loads, ${megabytes} MB from the weight store`,
			)
		}
		if (diff.changes.length === 0) this.log('no difference')
	}

	private read(path: string): Config {
		const result = readConfig(readFileSync(path, 'utf8'))
		if (result.valid) return result.config
		for (const fault of result.faults) this.log(formatFault(path, fault))
		return this.exit(1)
	}
}

function describe(change: { before?: string; after?: string }): string {
	const { before, after } = change
	if (before !== undefined && after !== undefined)
		return `: ${before} -> ${after}`
	return after === undefined ? '' : `: ${after}`
}
