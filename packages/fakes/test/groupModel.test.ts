/** Fake engines of a group promise only maps whose weights they hold. */

import { createRandom } from '@juniperhook/core'
import type { RankEngineOrder } from '@juniperhook/runtime'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import type { GroupOptions } from '../src/index.ts'
import {
	advanceModel,
	createBlocks,
	createGroupModel,
	createPopularity,
	executeOrder,
} from '../src/index.ts'

const OPTIONS: GroupOptions = {
	layers: 1,
	experts: 4,
	baseMs: 1,
	tokenMs: 0,
	expertMs: 0,
	topK: 1,
	bytesPerExpert: 1,
	store: '',
	checksFences: true,
}

function changeTo(mapId: string, fence: number, step: number) {
	return { fence, generation: 1, step, mapId }
}

test('a map is refused if its weights were dropped by a switch to another map', async () => {
	const blocks = createBlocks(1, 1, 4)
	const popularity = createPopularity(1, 4, 1, createRandom(7))
	const model = createGroupModel(OPTIONS, popularity, blocks)
	const send = (order: RankEngineOrder) => executeOrder(model, 0, order)
	const prepare = (mapId: string, fence: number, step: number) => {
		const change = changeTo(mapId, fence, step)
		return send({ order: 'rank', req: { type: 'prepare', fence, change } })
	}
	await send({ order: 'stage', mapId: 'b', slots: [[0, 1]] })
	await send({ order: 'stage', mapId: 'c', slots: [[2, 3]] })
	await send({ order: 'rank', req: { type: 'learn', fence: 1 } })
	assert.ok((await prepare('b', 1, 1)).accepted)
	const change = changeTo('b', 1, 1)
	await send({ order: 'rank', req: { type: 'commit', fence: 1, change } })
	assert.ok(advanceModel(model, [1]))
	assert.is(model.violations, 0)
	await send({ order: 'rank', req: { type: 'learn', fence: 2 } })
	assert.not((await prepare('c', 2, 2)).accepted)
	await send({ order: 'stage', mapId: 'c', slots: [[2, 3]] })
	assert.ok((await prepare('c', 2, 2)).accepted)
})

test.run()
