/**
 * The decision logic of juniperhook: pure functions over plain state, without sockets,
 * clocks, timers or random sources of their own.
 */

export * from './internal.ts'
