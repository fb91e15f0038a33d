/** A request sent to a server. */

import type { ListedServer } from '@juniperhook/core'
import type { Job } from './job.ts'
import type { SentRequest } from './sentRequests.ts'
import type { SentWork } from './workState.ts'

/** One send of a request to a server. */
export interface Send {
	readonly job: Job
	readonly server: ListedServer
	/** The request in the record of requests sent by this entry. */
	readonly sentRequest: SentRequest
	/** When it was sent, ms of the steady clock, which stops while the VM is suspended. */
	readonly sentAt: number
	/** When it was sent, ms of elapsed time, which includes suspensions. */
	readonly sentAtElapsed: number
	/** Whether a server may have run the request before this send. */
	readonly mayHaveRunBefore: boolean
	/** Undefined if the request's work is not weighed. */
	readonly work: SentWork | undefined
	/** Frees the slot at the server. */
	releaseSlot(): void
}
