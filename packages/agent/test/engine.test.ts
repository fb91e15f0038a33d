/** An engine must not promise a map whose weights it does not hold; agents rely on it. */

import type { GroupModel } from '@juniperhook/fakes'
import {
	crashRank,
	createBlocks,
	createGroupModel,
	createPopularity,
	executeOrder,
} from '@juniperhook/fakes'
import { test } from 'uvu'
import * as assert from 'uvu/assert'

function createModel(): GroupModel {
	const options = {
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
	const popularity = createPopularity(1, 4, 1, () => 0)
	return createGroupModel(options, popularity, createBlocks(2, 1, 4))
}

const CHANGE = { fence: 5, generation: 2, step: 9, mapId: 'first' }
const PREPARE = { type: 'prepare', fence: 5, change: CHANGE } as const

for (const staged of [false, true])
	test(`engine: a restarted rank ${staged ? 'promises a staged' : 'refuses an unstaged'} map`, async () => {
		const model = createModel()
		crashRank(model, 1)
		const slots = [[2, 3]]
		if (staged)
			await executeOrder(model, 1, { order: 'stage', mapId: 'first', slots })
		const learn = { type: 'learn', fence: 5 } as const
		await executeOrder(model, 1, { order: 'rank', req: learn })
		const answer = await executeOrder(model, 1, { order: 'rank', req: PREPARE })
		assert.is(answer.reply?.type, staged ? 'promised' : 'refused')
		const gate = { order: 'gate', step: 20, mapId: 'first' } as const
		assert.is((await executeOrder(model, 1, gate)).accepted, staged)
	})

test.run()
