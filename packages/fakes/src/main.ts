/**
 * Runs one fake as a process: `platform IP PORT`, `service IP PORT DELAY RUNS-FILE` or
 * `group PORT OPTIONS-JSON`. Exits on SIGTERM.
 */

import { createRandom } from '@juniperhook/core'
import { createFakeGroup, runGroup, serveRank } from './group.ts'
import type { GroupProcessOptions } from './groupModel.ts'
import { createBlocks, createGroupModel } from './groupModel.ts'
import { createPlatform, servePlatform } from './platform.ts'
import { createPopularity, drift, shiftDemand } from './popularity.ts'
import { createFakeService, serveService } from './service.ts'

const SHIFTED_EXPERTS = 4
const MS = 1_000

async function runGroupProcess(
	port: number,
	options: GroupProcessOptions,
): Promise<void> {
	const random = createRandom(options.seed)
	const { layers, experts, exponent, ips } = options
	const popularity = createPopularity(layers, experts, exponent, random)
	const slots = createBlocks(ips.length, layers, experts)
	const model = createGroupModel(options, popularity, slots)
	const group = createFakeGroup(model, options.slots, options.pace)
	for (const [rank, ip] of ips.entries()) await serveRank(group, rank, ip, port)
	setInterval(() => drift(popularity, options.driftPerSecond, random), MS)
	if (options.stormAfterSeconds > 0)
		setTimeout(
			() => shiftDemand(popularity, SHIFTED_EXPERTS),
			options.stormAfterSeconds * MS,
		)
	await runGroup(group)
}

async function main(args: readonly string[]): Promise<void> {
	const [kind, first = '', second = '', third = '', fourth = ''] = args
	switch (kind) {
		case 'platform': {
			const options = { listLagMs: 1_000, storeBytesPerSecond: 400_000_000 }
			await servePlatform(createPlatform(options), first, Number(second))
			return
		}
		case 'service': {
			const fake = createFakeService({
				delayMs: Number(third),
				runsPath: fourth,
			})
			await serveService(fake, first, Number(second))
			return
		}
		case 'group':
			await runGroupProcess(Number(first), JSON.parse(second))
			return
		default:
			process.stderr.write('usage: platform | service | group …\n')
			process.exit(2)
	}
}

await main(process.argv.slice(2))
