/** Serves callers straight from backend servers, by published routes. */

export type { GatewayContext, GatewaySettings } from './context.ts'
export * from './eventSplitter.ts'
export { endOpenRequests, startGateway } from './gateway.ts'
export * from './peerMesh.ts'
export type {
	CallerPatience,
	CatalogSnapshot,
	CatalogSource,
	PublishedConfig,
	SourceResult,
	WireNames,
} from './ports.ts'
