import { readFileSync } from 'node:fs'
import { messageOf, readSettings } from '@juniperhook/runtime'
import { Args, Command, Flags } from '@oclif/core'
import { request } from 'undici'

const CALL_TIMEOUT_MS = 2_000

interface LayerSummary {
	readonly layer: number
	readonly loads: readonly string[]
	readonly skewBefore: number
	readonly skewAfter: number
	readonly benefitMs: number
	readonly costMs: number
}

interface ProcessStatus {
	readonly address: string
	readonly kind?: string
	readonly name?: string
	readonly revision?: number
	readonly refusedRevision?: number
	readonly state?: string
	readonly running?: number
	readonly waiting?: number
	readonly map?: {
		readonly fence: number
		readonly skew: number
		readonly wish?: { readonly layers: readonly LayerSummary[] }
	}
	readonly error?: string
}

const COLUMNS = [
	'address',
	'kind',
	'name',
	'state',
	'revision',
	'refused',
	'running',
	'waiting',
	'map fence',
	'skew',
] as const

/** `juniperhook status ADDRESS…`: shows the state of each process. */
export class Status extends Command {
	static override summary = 'Show the state of entries and agents.'
	static override description = `Reads revision, members, map fence, load and
requests in flight from the operators' listener of each process. Below the table:
the expert moves that the rebalancer last planned, with their gain and cost.
Exit code 0: all answered; 1: one did not; 2: wrong arguments.`
	static override examples = [
		'<%= config.bin %> status 10.0.0.5:7402 10.0.0.6:7402',
		'<%= config.bin %> status --json --settings /etc/juniperhook.ini',
	]
	static override strict = false
	static override args = {
		address: Args.string({ description: "operators' listeners, IP:port" }),
	}
	static override flags = {
		json: Flags.boolean({ description: 'print all details as JSON' }),
		settings: Flags.file({
			description: 'query the process of this settings file',
			exists: true,
		}),
	}

	/** Queries all processes concurrently. */
	async run(): Promise<void> {
		const { argv, flags } = await this.parse(Status)
		const addresses = argv.map(String)
		if (flags.settings) addresses.push(this.readAddress(flags.settings))
		if (addresses.length === 0)
			this.error('at least one address IP:port is required', { exit: 2 })
		const statuses = await Promise.all(addresses.map(readProcessStatus))
		if (flags.json) this.log(JSON.stringify(statuses, null, 2))
		else
			for (const line of [
				...formatTable(statuses),
				...formatPlannedLoads(statuses),
			])
				this.log(line)
		if (statuses.some(status => status.error)) this.exit(1)
	}

	private readAddress(path: string): string {
		const result = readSettings(readFileSync(path, 'utf8'))
		if (result.valid) return result.config.listen.operators
		return this.error(`${path} is not valid; see check --settings`, { exit: 1 })
	}
}

async function readProcessStatus(address: string): Promise<ProcessStatus> {
	try {
		const res = await request(`http://${address}/status`, {
			headersTimeout: CALL_TIMEOUT_MS,
			bodyTimeout: CALL_TIMEOUT_MS,
		})
		const body = await res.body.json()
		return { ...(body as object), address }
	} catch (err) {
		return { address, error: messageOf(err) }
	}
}

function formatTable(rows: readonly ProcessStatus[]): string[] {
	const cells = rows.map(row => [
		row.address,
		row.kind ?? '-',
		row.name ?? '-',
		row.error ?? row.state ?? '-',
		String(row.revision ?? '-'),
		String(row.refusedRevision || '-'),
		String(row.running ?? '-'),
		String(row.waiting ?? '-'),
		String(row.map?.fence ?? '-'),
		row.map?.skew?.toFixed(2) ?? '-',
	])
	const table = [[...COLUMNS], ...cells]
	const widths = COLUMNS.map((_, at) =>
		Math.max(...table.map(row => row[at]?.length ?? 0)),
	)
	return table.map(row =>
		row
			.map((cell, at) => cell.padEnd(widths[at] ?? 0))
			.join('  ')
			.trimEnd(),
	)
}

/** Formats the moves in the last plan of each group's rebalancer, with gain and cost. */
function formatPlannedLoads(rows: readonly ProcessStatus[]): string[] {
	return rows.flatMap(row =>
		(row.map?.wish?.layers ?? []).map(summary => {
			const skew = `${summary.skewBefore.toFixed(2)} to ${summary.skewAfter.toFixed(2)}`
			const benefit = `gain ${summary.benefitMs.toFixed(0)} ms, cost ${summary.costMs.toFixed(0)} ms`
			const loads = summary.loads.join(' ')
			return `${row.name}: layer ${summary.layer}: ${loads} (expert>rank), skew ${skew}, ${benefit}`
		}),
	)
}
