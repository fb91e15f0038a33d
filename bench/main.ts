/** `npm run bench -- NAME [--quick]`: runs one benchmark. */

const BENCHES: Record<string, () => Promise<{ run(): Promise<void> }>> = {
	path: () => import('./path.ts'),
	capacity: () => import('./capacity.ts'),
	config: () => import('./config.ts'),
	fate: () => import('./lifecycle.ts'),
	gateway: () => import('./gateway.ts'),
	map: () => import('./map.ts'),
	model: () => import('./model.ts'),
	quarantine: () => import('./quarantine.ts'),
	overload: () => import('./overload.ts'),
	rebalance: () => import('./rebalance.ts'),
	rewind: () => import('./rollback.ts'),
	schedule: () => import('./schedule.ts'),
}

const name = process.argv[2] ?? ''
const load = BENCHES[name]
if (!load) {
	const names = Object.keys(BENCHES).join(', ')
	process.stderr.write(
		`usage: npm run bench -- NAME [--quick]; NAME is one of: ${names}\n`,
	)
	process.exit(2)
}
const bench = await load()
await bench.run()
process.exit(process.exitCode ?? 0)

export {}
