/** State for refused callers who come back: forecasts and bookings, by service. */

import type {
	ExpectedReturns,
	ReturnBookings,
	RoomObservations,
} from '@juniperhook/core'
import {
	createExpectedReturns,
	createReturnBookings,
	createRoomObservations,
} from '@juniperhook/core'

/** Forecast and bookings of one service. */
export interface ServiceReturns {
	readonly observations: RoomObservations
	readonly bookings: ReturnBookings
	/** Callers due back at all entries, a second, smoothed as arrivals are. */
	duePerSecond: number
}

/** Refused callers of this entry, and those expected back from all entries. */
export interface ReturnState {
	readonly services: Map<string, ServiceReturns>
	readonly expected: ExpectedReturns
}

/** Creates a state without bookings. */
export function createReturnState(): ReturnState {
	return { services: new Map(), expected: createExpectedReturns() }
}

/** Returns the state of a service, creating it on first use. */
export function returnsOf(
	{ services }: ReturnState,
	service: string,
): ServiceReturns {
	const known = services.get(service)
	if (known) return known
	const created = {
		observations: createRoomObservations(),
		bookings: createReturnBookings(),
		duePerSecond: 0,
	}
	services.set(service, created)
	return created
}
