/** Tests how often an entry calls a source whose watches end at once without a change. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { CatalogSource } from '../src/index.ts'
import { CONFIG, createCatalog } from './fakeBackends.ts'
import { openGatewayAt, until } from './openGateway.ts'

const FIRST_PORT = 28_300
const OBSERVED_MS = 1_000
/** One watch in 50 ms, the shortest pause between two. */
const MAX_WATCHES = 20

/** Returns a source whose watches are cut, with a count of them. */
function cutWatches(): { source: CatalogSource; watches: number } {
	const catalog = createCatalog(CONFIG, [])
	const cut = {
		watches: 0,
		source: {
			...catalog,
			async watch() {
				cut.watches++
				await new Promise(resolve => setImmediate(resolve))
				return { ok: true, value: catalog.snapshot, bytes: 0 } as const
			},
		},
	}
	return cut
}

// Guards against an entry that spends its processor on calls to the source.
test('a source that cuts its watches is called at a bounded rate', async () => {
	const cut = cutWatches()
	const { ctx } = await openGatewayAt(FIRST_PORT, cut.source, [])
	await until(() => ctx.routes !== undefined)
	const before = cut.watches
	await new Promise(resolve => setTimeout(resolve, OBSERVED_MS))
	assert.ok(
		cut.watches - before <= MAX_WATCHES,
		`${cut.watches - before} watches`,
	)
})

test.after(() => {
	setImmediate(() => process.exit())
})

test.run()
