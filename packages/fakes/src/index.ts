/** Fakes of the systems around juniperhook: the platform, engines and services. */

export * from './daemons.ts'
export * from './expertGroup.ts'
export * from './fleet.ts'
export * from './group.ts'
export * from './groupModel.ts'
export * from './orders.ts'
export * from './platform.ts'
export * from './popularity.ts'
export * from './rawCaller.ts'
export * from './relay.ts'
export * from './service.ts'
export * from './throttledLink.ts'
