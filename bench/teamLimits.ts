/**
 * A team's limits, enforced by all entries together: overshoot and waste at two numbers
 * of entries, with even and uneven demand, with and without a network partition. Calls
 * between entries take no time here.
 */

import type { TeamConfig } from '@juniperhook/core'
import {
	admitAtTeamHome,
	admitWithinShare,
	createLimits,
	createRandom,
	isEnforcedAtTeamHome,
	readConfig,
	releaseTeam,
} from '@juniperhook/core'
import { print, printTable } from './output.ts'

/** Measures by how much a team exceeds its limit, and how much of it stays unused. */
export function measureTeamLimits(): void {
	const rate = 330
	const config = readConfig(
		`[dataCentre.a]\nregion = r\n[team.t]\nkeyDigests = ${'0'.repeat(64)}\nratePerSecond = ${rate}\nconcurrency = 100000\n`,
	)
	if (!config.valid) return
	const limit = config.config.team.t!
	const rows: string[][] = []
	for (const entries of [3, 330])
		for (const [demand, uneven] of [
			['even', false],
			['one entry gets half', true],
		] as const)
			for (const reachable of [entries, Math.ceil(entries / 2)]) {
				const admitted = runLimit(limit, entries, reachable, uneven)
				const share = admitted / rate
				rows.push([
					`${entries} entries, ${demand}, ${reachable === entries ? 'no partition' : 'split in halves'}`,
					`${(100 * Math.max(0, share - 1)).toFixed(1)}%`,
					`${(100 * Math.max(0, 1 - share)).toFixed(1)}%`,
				])
			}
	print('\ndemand of 1.5 times a team limit of 330 requests/s for 60 s')
	printTable(['entries, demand, network', 'overshoot', 'waste'], rows)
}

/** Returns the requests per second that all entries admit after the first burst. */
function runLimit(
	limit: TeamConfig,
	entries: number,
	reachable: number,
	uneven: boolean,
): number {
	const random = createRandom(5)
	const tables = Array.from({ length: entries }, createLimits)
	const isAtTeamHome = isEnforcedAtTeamHome(limit, reachable)
	const demand = limit.ratePerSecond * 1.5
	const seconds = 60
	const burst = 5
	let admitted = 0
	for (let n = 0; n < demand * (seconds + burst); n++) {
		const now = (n / demand) * 1_000
		const first = uneven && random() < 0.5
		const at = first ? 0 : Math.floor(random() * entries)
		// The first entry of each side of the partition is the team home there.
		const limits = isAtTeamHome ? tables[at - (at % reachable)]! : tables[at]!
		const shareIndex = at % reachable
		const refused = isAtTeamHome
			? admitAtTeamHome(limits, 't', limit, 0, now)
			: admitWithinShare(
					limits,
					't',
					limit,
					0,
					{ count: reachable, index: shareIndex },
					now,
				)
		if (refused) continue
		releaseTeam(limits, 't')
		if (now >= burst * 1_000) admitted++
	}
	return admitted / seconds
}
