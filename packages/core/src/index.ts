/**
 * juniperhook's decisions as a library: pure functions over plain state. No
 * socket, clock, timer or random source of its own.
 */

export * from './internal.ts'
