/** A process whose callbacks throw; it logs its faults and, at last, that it goes on. */

import { createEventLog, faults, surviveFaults } from '../src/index.ts'

const log = createEventLog('faulty')
surviveFaults(detail => log.write('internal fault', { detail }))
setTimeout(() => {
	throw new Error('thrown in a timer')
})
setTimeout(() => void Promise.reject(new Error('rejected')))
setTimeout(() => {
	throw 'no error'
})
setTimeout(async () => {
	log.write('goes on', { faults: String(faults.count) })
	await log.flush()
	process.exit(0)
}, 200)
