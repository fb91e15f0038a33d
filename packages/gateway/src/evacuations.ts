/** Applies evacuations of data centres from the source and from other entries. */

import type { Evacuation, UpdateOf } from '@juniperhook/core'
import {
	applyFullRead,
	applyReadChanges,
	confirmEvacuations,
	countEvacuated,
	formatRevision,
	isEvacuated,
	mergeServerUpdates,
} from '@juniperhook/core'
import { readElapsed } from '@juniperhook/runtime'
import type { GatewayContext } from './context.ts'
import { enqueueUpdates } from './outbox.ts'
import type { CatalogSnapshot } from './ports.ts'
import { refreshFleet } from './serverRecords.ts'

/** Applies the evacuations of a snapshot that this entry has read from the source. */
export function applyPublishedEvacuations(
	ctx: GatewayContext,
	{ evacuations: changes, revision }: CatalogSnapshot,
	isFullRead: boolean,
): void {
	const { evacuations } = ctx.sharedState
	const now = readElapsed()
	const applied = isFullRead
		? applyFullRead(evacuations, changes, revision, now)
		: applyReadChanges(evacuations, changes, revision)
	recordApplied(ctx, applied, 'source')
}

/** Merges evacuations that another entry knows. */
export function receiveEvacuations(
	ctx: GatewayContext,
	updates: readonly UpdateOf<'evacuation'>[],
	from: string,
): void {
	const merged = mergeServerUpdates(ctx.sharedState, updates, readElapsed())
	recordApplied(ctx, merged, from)
}

/** Applies the statements of a restored source that are due. */
export function confirmRestoredEvacuations(ctx: GatewayContext): void {
	const { evacuations } = ctx.sharedState
	if (evacuations.pending.size === 0) return
	const applied = confirmEvacuations(evacuations, readElapsed())
	recordApplied(ctx, applied, 'still published')
}

/** Logs and forwards what was applied, and closes or opens the servers concerned. */
function recordApplied(
	ctx: GatewayContext,
	applied: readonly Evacuation[],
	from: string,
): void {
	if (applied.length === 0) return
	const { evacuations } = ctx.sharedState
	const updates = applied.map(one => ({ ...one, kind: 'evacuation' as const }))
	enqueueUpdates(ctx.outbox, updates)
	ctx.metrics.evacuatedDataCentres.set(countEvacuated(evacuations))
	for (const { dataCentre, revision } of applied)
		ctx.log.write('evacuation', {
			dataCentre,
			evacuated: isEvacuated(evacuations, dataCentre),
			revision: formatRevision(revision),
			from,
			// 0 for a data centre that is not known here.
			servers: ctx.fleet.servers.filter(one => one.dataCentre === dataCentre)
				.length,
		})
	refreshFleet(ctx)
}
