/** Keeps the expert map of a lock-step group, beside its engines. */

export * from './agent.ts'
export * from './choices.ts'
export * from './coordinator.ts'
export * from './coordinatorState.ts'
export * from './demand.ts'
export * from './mapChanges.ts'
export * from './orderMessage.ts'
export * from './orderRelay.ts'
export * from './orderTree.ts'
export * from './paceTeller.ts'
export * from './ports.ts'
export * from './rankService.ts'
