/** `npm run demo`: a complete deployment on one machine, with load and a report. */

import { parseArgs } from 'node:util'
import type { Fleet } from '@juniperhook/fakes'
import {
	entryIp,
	PORTS,
	rankIp,
	serviceIp,
	startFleet,
	stopFleet,
	TEAM_KEY,
} from '@juniperhook/fakes'
import { request } from 'undici'
import { runLoad } from './load.ts'
import { formatReport } from './report.ts'

const { values } = parseArgs({
	options: {
		keep: { type: 'boolean', default: false },
		seconds: { type: 'string', default: '24' },
		seed: { type: 'string', default: '1' },
	},
})
const seconds = Number(values.seconds)
const ENTRIES = 3
const SERVICES = 3
const RANKS = 4
/**
 * An agent does not run keys created before its start, or within the maximum clock
 * skew after it, as they may have run before; the demo waits for that time.
 */
const CLOCK_SKEW_WAIT_MS = 5_500

function print(text: string): void {
	process.stdout.write(`${text}\n`)
}

/** Returns a command line that sends a request to the demo. */
function curlLine(fleet: Fleet): string {
	const url = `http://${entryIp(fleet, 0)}:${PORTS.data}/v1/chat/completions`
	const body = JSON.stringify({
		model: 'writer',
		stream: true,
		max_tokens: 8,
		messages: [{ role: 'user', content: 'Which hut has a bunk?' }],
	})
	return `curl -N ${url} -H 'authorization: Bearer ${TEAM_KEY}' -H 'content-type: application/json' -d '${body}'`
}

async function readGroup(fleet: Fleet): Promise<Record<string, number>> {
	const url = `http://${rankIp(fleet, 0)}:${PORTS.backend}/load`
	const res = await request(url)
	return (await res.body.json()) as Record<string, number>
}

print('starting 1 platform, 1 group of 4 ranks, 3 plain backends,')
print('3 entries and 7 agents, each a process on its own loopback IP …')
const fleet = await startFleet({
	entries: ENTRIES,
	services: SERVICES,
	serviceDelayMs: 5,
	serviceSlots: 16,
	ranks: RANKS,
	group: {
		stormAfterSeconds: (CLOCK_SKEW_WAIT_MS + 3_000) / 1_000 + seconds / 3,
		driftPerSecond: 1,
	},
	groupConfig: 'planSeconds = 2\nspareSlots = 2',
})
print('ready; waiting for the maximum clock skew, after which bookings run …')
await new Promise(resolve => setTimeout(resolve, CLOCK_SKEW_WAIT_MS))
print(
	`load for ${seconds} s, a demand shift after ${Math.round(seconds / 3)} s`,
)
const report = await runLoad({
	entries: Array.from({ length: ENTRIES }, (_, n) => entryIp(fleet, n)),
	directService: serviceIp(fleet, 0),
	seconds,
	seed: Number(values.seed),
	chatPerSecond: 20,
	rostersPerSecond: 60,
	bookingsPerSecond: 20,
	onProgress: print,
	readGroup: () => readGroup(fleet),
})
print(formatReport(report))
print('')
print(curlLine(fleet))
if (values.keep) {
	print('still running; Ctrl-C stops it')
	process.once('SIGINT', () => {
		stopFleet(fleet)
		process.exit(0)
	})
	process.once('SIGTERM', () => {
		stopFleet(fleet)
		process.exit(0)
	})
} else {
	stopFleet(fleet)
	process.exit(report.unaccounted === 0 ? 0 : 1)
}
