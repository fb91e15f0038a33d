/** Keeps the configuration in force by watching the platform's service. */

import type { HeldConfig, RevisionState } from '@juniperhook/core'
import {
	createRevisionState,
	highestSeen,
	offerRevision,
} from '@juniperhook/core'
import { sleep } from '../utils/clock.ts'
import { messageOf } from '../utils/fail.ts'
import { createLog } from '../utils/log.ts'
import type { Metrics } from './metrics.ts'
import { readPublished } from './platform.ts'

const RETRY_MS = 1_000
const log = createLog('config:warn')

/** The configuration of a process and how it is kept. */
export interface ConfigKeeper {
	readonly state: RevisionState
	readonly metrics: Metrics
	/** Called after each adoption. */
	readonly onAdopt: (held: HeldConfig) => void
	stopped: boolean
}

/** Makes a keeper that knows nothing yet. */
export function createConfigKeeper(
	metrics: Metrics,
	onAdopt: (held: HeldConfig) => void,
): ConfigKeeper {
	const state = createRevisionState()
	return { state, metrics, onAdopt, stopped: false }
}

/** Offers a document, whoever it came from. */
export function takeDocument(
	keeper: ConfigKeeper,
	revision: number,
	document: string,
): void {
	const verdict = offerRevision(keeper.state, revision, document)
	switch (verdict) {
		case 'adopted':
			keeper.metrics.revision.set(revision)
			if (keeper.state.held) keeper.onAdopt(keeper.state.held)
			break
		case 'invalid':
			keeper.metrics.invalidConfigs.inc()
			log({ msg: 'document refused', revision })
			break
		case 'stale':
			keeper.metrics.staleConfigs.inc()
			log({ msg: 'older document ignored', revision })
			break
		case 'known':
			break
		default:
			verdict satisfies never
	}
}

/** Watches the service until the keeper is stopped. */
export async function watchConfig(
	keeper: ConfigKeeper,
	service: string,
): Promise<void> {
	let first = true
	while (!keeper.stopped) {
		try {
			keeper.metrics.platformCalls.inc()
			const after = first ? undefined : highestSeen(keeper.state)
			const found = await readPublished(service, after)
			first = false
			if (found) takeDocument(keeper, found.revision, found.document)
		} catch (err) {
			log({ msg: 'configuration service failed', detail: messageOf(err) })
			await sleep(RETRY_MS)
		}
	}
}
