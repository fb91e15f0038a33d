/**
 * A process whose callbacks throw; it logs its faults and, at last, that it goes on. With
 * the argument `unlogged`, its log of faults throws too.
 */

import { createEventLog, faults, surviveFaults } from '../src/index.ts'

const log = createEventLog('faulty')
const isUnlogged = process.argv.includes('unlogged')
surviveFaults(detail => {
	if (isUnlogged) throw new Error('thrown by the log')
	log.write('internal fault', { detail })
})
setTimeout(() => {
	throw new Error('thrown in a timer')
})
setTimeout(() => void Promise.reject(new Error('rejected')))
setTimeout(() => {
	throw 'no error'
})
// No text can be made of these.
setTimeout(() => {
	throw Object.create(null)
})
setTimeout(() => {
	throw Object.defineProperty(new Error(), 'stack', {
		get: () => {
			throw new Error('no stack')
		},
	})
})
setTimeout(async () => {
	log.write('goes on', { faults: String(faults.count) })
	await log.flush()
	process.exit(0)
}, 200)
