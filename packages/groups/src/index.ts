/**
 * Agents beside the engines of a lock-step group. One of them coordinates the group and
 * adapts its expert map to demand.
 */

export * from './agent.ts'
export * from './armingTime.ts'
export * from './candidateLiveness.ts'
export * from './coordinator.ts'
export * from './coordinatorState.ts'
export * from './demand.ts'
export * from './groupReporter.ts'
export * from './mapDelta.ts'
export * from './orderMessage.ts'
export * from './orderRelay.ts'
export * from './orderTree.ts'
export * from './ports.ts'
export * from './rankMessages.ts'
export * from './rankSample.ts'
export * from './rankService.ts'
export * from './roundRunner.ts'
