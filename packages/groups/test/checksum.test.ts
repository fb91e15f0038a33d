/** Tests the checksum of expert maps, which agents of different builds compare. */

import { readdirSync, readFileSync } from 'node:fs'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { checksum } from '../src/checksum.ts'

const CASES: { text: string; sum: number }[] = [
	{ text: '', sum: 0 },
	{ text: '123456789', sum: 0xcbf43926 },
	{ text: '[[[0,2],[1,0]]]', sum: 0xbce671f2 },
	{ text: 'é€𝄞', sum: 0x9b2479f6 },
]

for (const { text, sum } of CASES)
	test(`checksum: "${text}"`, () => {
		assert.is(checksum(text), sum)
	})

/** Names of Node's modules that releases before 20.15 lack. */
const LATER_NAMES = /\b(crc32|styleText|getBuiltinModule|parseEnv)\b/

// Guards against agents that do not start on an earlier release of Node 20.
for (const folder of ['core', 'gateway', 'groups', 'runtime', '../platform'])
	test(`${folder}: imports no name that the first releases of Node 20 lack`, () => {
		const src = new URL(`../../${folder}/src/`, import.meta.url)
		const files = readdirSync(src, { recursive: true, encoding: 'utf8' })
		for (const file of files.filter(name => name.endsWith('.ts'))) {
			const text = readFileSync(new URL(file, src), 'utf8')
			for (const [line] of text.matchAll(/^import [^;]*? from 'node:.*$/gm))
				assert.not.match(line, LATER_NAMES)
		}
	})

test.run()
