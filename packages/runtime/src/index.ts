/** What juniperhook's two daemons share to meet the outside. */

export * from './io/follower.ts'
export * from './io/frames.ts'
export * from './io/listener.ts'
export * from './io/messages.ts'
export * from './io/metrics.ts'
export * from './io/platform.ts'
export * from './io/rpc.ts'
export * from './types/settings.ts'
export * from './utils/clock.ts'
export * from './utils/fail.ts'
export * from './utils/headers.ts'
export * from './utils/log.ts'
