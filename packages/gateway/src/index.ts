/** Serves callers straight from backend servers, by published routes. */

export type { GatewayContext, GatewaySettings } from './context.ts'
export * from './eventSplitter.ts'
export type { FingerprintInput as SameRequest } from './fingerprint.ts'
export { bodyLengthOf, computeFingerprint } from './fingerprint.ts'
export { endOpenRequests, startGateway } from './gateway.ts'
export * from './peerMesh.ts'
export type {
	CatalogSnapshot,
	CatalogSource,
	EventTimeoutPolicy as CallerPatience,
	PublishedConfig,
	ServerLoad,
	ServerStatement,
	ServerWire,
	Signal,
	SignalValues,
	SourceResult,
	WireNames,
} from './ports.ts'
export { HANDLED_SIGNALS as READ_SIGNALS } from './serverStatement.ts'
