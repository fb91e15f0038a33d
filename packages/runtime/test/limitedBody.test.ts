/** Guards against JSON texts that take all of a process's heap once they are parsed. */

import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { BodyTooLargeError, parseLimitedJson } from '../src/index.ts'

const COUNT = 20_000
const MAX_BYTES = 1_000_000
const list = (item: string) => `[${Array(COUNT).fill(item).join()}]`
const CASES: { name: string; json: string; allowed: boolean }[] = [
	{ name: 'a long text', json: `"${'x'.repeat(900_000)}"`, allowed: true },
	{ name: 'numbers', json: list('1'), allowed: true },
	{ name: 'empty texts', json: list('""'), allowed: false },
	{ name: 'empty objects', json: list('{}'), allowed: false },
	{ name: 'a few empty objects', json: '[{},{}]', allowed: true },
]

for (const { name, json, allowed } of CASES)
	for (const text of [json, Buffer.from(json)])
		test(`limited JSON: ${name} as ${typeof text} ${allowed ? 'is parsed' : 'is refused'}`, () => {
			const parse = () => parseLimitedJson(text, MAX_BYTES)
			if (allowed) assert.equal(parse(), JSON.parse(json))
			else
				assert.throws(parse, (err: Error) => err instanceof BodyTooLargeError)
		})

test('limited JSON: an invalid text is refused as invalid', () => {
	assert.throws(
		() => parseLimitedJson('{'),
		(err: Error) => err instanceof SyntaxError,
	)
})

test.run()
