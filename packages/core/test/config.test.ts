import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createRevisionState, offerRevision, readConfig } from '../src/index.ts'

const VALID = `[dataCentre.a]
region = r

[service.huts]

[server.s0]
kind = service
dataCentre = a
service = huts
agent = 10.0.0.1:7400
backend = 10.0.0.1:7600
`

const CASES: {
	name: string
	text: string
	/** `line section key` of each fault. */
	faults: string[]
}[] = [
	{ name: 'a valid document', text: VALID, faults: [] },
	{
		name: 'an address with a host name',
		text: VALID.replace('10.0.0.1:7400', 'host:7400'),
		faults: ['10 server.s0 agent'],
	},
	{
		name: 'an address out of range',
		text: VALID.replace('10.0.0.1:7600', '10.0.0.256:7600'),
		faults: ['11 server.s0 backend'],
	},
	{
		name: 'two sections for one server',
		text: `${VALID}\n[server.s0]\nslots = 4\n`,
		faults: ['13 server.s0 '],
	},
	{
		name: 'a control character',
		text: VALID.replace('region = r', 'region = \u0000r'),
		faults: ['1 dataCentre.a region', '2 dataCentre.a '],
	},
	{
		name: 'a malformed line',
		text: VALID.replace('region = r', 'region = r\nnonsense'),
		faults: ['3 dataCentre.a '],
	},
	{
		name: 'an unknown key and a missing one',
		text: VALID.replace('kind = service', 'knd = service'),
		faults: ['6 server.s0 kind', '7 server.s0 knd'],
	},
	{
		name: 'references to missing sections',
		text: VALID.replace('service = huts', 'service = tiles').replace(
			'dataCentre = a',
			'dataCentre = b',
		),
		faults: ['8 server.s0 dataCentre', '9 server.s0 service'],
	},
	{
		name: 'a value out of range',
		text: `${VALID}slots = 0\n`,
		faults: ['12 server.s0 slots'],
	},
	{
		name: 'an expert without a placement',
		text: `${VALID}
[model.m]
[server.e0]
kind = engine
dataCentre = a
agent = 10.0.0.2:7400
backend = 10.0.0.2:7600
[group.g]
model = m
ranks = e0
layers = 1
experts = 4
[placement.g]
rank0 = 0-2
`,
		faults: ['24 placement.g '],
	},
]

for (const { name, text, faults } of CASES)
	test(`configuration: ${name}`, () => {
		const result = readConfig(text)
		const found = result.valid
			? []
			: result.faults.map(
					fault => `${fault.line} ${fault.section} ${fault.key}`,
				)
		assert.equal(found, faults)
	})

test('configuration: a name on the object prototype is rejected as a section', () => {
	const result = readConfig(`${VALID}\n[server.__proto__]\nkind = engine\n`)
	assert.is(result.valid, false)
})

test('configuration: a lower or reused revision does not replace the active one', () => {
	const state = createRevisionState()
	const other = `${VALID}\n# another text\n`
	assert.is(offerRevision(state, 9, VALID), 'adopted')
	assert.is(offerRevision(state, 7, other), 'stale')
	assert.is(offerRevision(state, 9, other), 'known')
	assert.is(state.active?.document, VALID)
	assert.is(offerRevision(state, 10, other), 'adopted')
})

test.run()
