/** Stand-ins for what juniperhook meets: the platform, engines, services. */

export * from './expertGroup.ts'
export * from './fleet.ts'
export * from './group.ts'
export * from './groupModel.ts'
export * from './throttledLink.ts'
export * from './orders.ts'
export * from './platform.ts'
export * from './popularity.ts'
export * from './relay.ts'
export * from './service.ts'
