import { readFileSync } from 'node:fs'
import { messageOf, readSettings } from '@juniperhook/runtime'
import { Args, Command, Flags } from '@oclif/core'
import { request } from 'undici'

const CALL_MS = 2_000

interface LayerWish {
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
		readonly wish?: { readonly layers: readonly LayerWish[] }
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

/** `juniperhook status ADDRESS…`: what each process holds. */
export class Status extends Command {
	static override summary = 'Show what entries and agents hold.'
	static override description = `Asks the operators' listener of each process
for its revision, members, map fence, load and requests in flight; below the
table, which experts the rebalancer last wanted to move, and at what gain and cost. Exit code 0:
all answered; 1: one did not; 2: wrong arguments.`
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
			description: 'ask the process of this settings file',
			exists: true,
		}),
	}

	/** Asks all processes at once. */
	async run(): Promise<void> {
		const { argv, flags } = await this.parse(Status)
		const addresses = argv.map(String)
		if (flags.settings) addresses.push(this.readAddress(flags.settings))
		if (addresses.length === 0)
			this.error('name at least one address IP:port', { exit: 2 })
		const found = await Promise.all(addresses.map(ask))
		if (flags.json) this.log(JSON.stringify(found, null, 2))
		else
			for (const line of [...formatTable(found), ...formatWishes(found)])
				this.log(line)
		if (found.some(status => status.error)) this.exit(1)
	}

	private readAddress(path: string): string {
		const verdict = readSettings(readFileSync(path, 'utf8'))
		if (verdict.valid) return verdict.config.listen.operators
		return this.error(`${path} is not valid; see check --settings`, { exit: 1 })
	}
}

async function ask(address: string): Promise<ProcessStatus> {
	try {
		const res = await request(`http://${address}/status`, {
			headersTimeout: CALL_MS,
			bodyTimeout: CALL_MS,
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

/** What the rebalancer of each group wanted at its last plan, and why. */
function formatWishes(rows: readonly ProcessStatus[]): string[] {
	return rows.flatMap(row =>
		(row.map?.wish?.layers ?? []).map(wish => {
			const skew = `${wish.skewBefore.toFixed(2)} to ${wish.skewAfter.toFixed(2)}`
			const worth = `gain ${wish.benefitMs.toFixed(0)} ms, cost ${wish.costMs.toFixed(0)} ms`
			const loads = wish.loads.join(' ')
			return `${row.name}: layer ${wish.layer}: ${loads} (expert>rank), skew ${skew}, ${worth}`
		}),
	)
}
