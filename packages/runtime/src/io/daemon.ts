/** What entries and agents share as processes: their waits, signals and faults. */

import type { Settings } from '../types/settings.ts'
import { readSettingsFile } from '../types/settings.ts'
import { surviveFaults } from '../utils/faultGuard.ts'
import { createLog, setLogLevel } from '../utils/log.ts'
import type { HealthEvent } from '../utils/processHealth.ts'
import { watchHealth } from '../utils/processHealth.ts'
import type { BindOptions } from './bind.ts'
import type { Need, Waits } from './waits.ts'
import { awaitValidFile, createWaits } from './waits.ts'

const log = createLog('process:warn')

/** Starts a process from its settings file, as soon as that is there and valid. */
export async function startDaemon(
	settingsPath: string,
	start: (settings: Settings, waits: Waits) => Promise<unknown>,
): Promise<void> {
	// Until the settings are known, what the process waits for is shown.
	setLogLevel('warn')
	process.on('SIGHUP', () =>
		log({ msg: 'settings are read at the start only' }),
	)
	surviveFaults(detail => log({ msg: 'internal fault', detail }))
	watchHealth(reportHealth)
	const waits = createWaits(change => {
		switch (change.kind) {
			case 'begun':
				log({ msg: 'waiting', kind: change.need, detail: change.reason })
				break
			case 'ended':
				log({ msg: 'wait ended', kind: change.need, count: change.waitedMs })
				break
			default:
				change satisfies never
		}
	})
	const settings = await awaitValidFile(waits, () =>
		readSettingsFile(settingsPath),
	)
	setLogLevel(settings.log.level)
	await start(settings, waits)
}

function reportHealth(event: HealthEvent): void {
	switch (event.kind) {
		case 'memoryGrew': {
			const { residentMb, heapMb, heapLimitMb, buffersMb } = event
			const heap = `heap ${heapMb} of ${heapLimitMb} MB`
			const detail = `${heap}, buffers ${buffersMb} MB`
			log({ msg: 'memory grew', count: residentMb, detail })
			break
		}
		case 'loopHeld': {
			const detail = `busy for ${event.busyMs} ms`
			log({ msg: 'event loop held', count: event.forMs, detail })
			break
		}
		default:
			event satisfies never
	}
}

/** Describes how a listener of such a process is bound. */
export function describeBind(
	need: Need,
	waits: Waits,
	isStopping: () => boolean,
): BindOptions {
	const onError = (err: Error) =>
		log({ msg: 'connection not accepted', kind: need, detail: err.message })
	return { need, waits, isStopping, onError }
}
