/** A request on its way to a server. */

import type { ListedServer } from '@juniperhook/core'
import type { Job } from './job.ts'
import type { SentRequest } from './sentRequests.ts'

/** One sending of a request to a server. */
export interface Send {
	readonly job: Job
	readonly server: ListedServer
	readonly run: SentRequest
	/** When it was sent, ms; on the steady clock, and by elapsed time. */
	readonly sentAt: number
	readonly sentAtElapsed: number
	/** Whether a server may have run it before. */
	readonly mayHaveRunBefore: boolean
	/** Gives the place at the server back. */
	releaseSlot(): void
}
