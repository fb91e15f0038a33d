/** Serves callers directly from backend servers, by published routes. */

export type { GatewayContext, GatewaySettings } from './context.ts'
export * from './eventSplitter.ts'
export { applySettings } from './features.ts'
export type { FingerprintInput } from './fingerprint.ts'
export { bodyLengthOf, computeFingerprint } from './fingerprint.ts'
export { startGateway } from './gateway.ts'
export * from './peerMesh.ts'
export type {
	CatalogSnapshot,
	CatalogSource,
	EventTimeoutPolicy,
	PublishedConfig,
	ServerLoad,
	ServerStatement,
	ServerWire,
	Signal,
	SignalValues,
	SourceResult,
	WireNames,
} from './ports.ts'
export { HANDLED_SIGNALS } from './serverStatement.ts'
export { endOpenRequests } from './shutdown.ts'
