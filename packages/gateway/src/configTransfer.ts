/**
 * Transfers the published configuration between entries: compressed, in pieces of
 * bounded size, one piece at a time. Whatever the size of the text, each call fits its
 * timeout, and other messages on the same link are delayed by one piece at most.
 */

import { promisify } from 'node:util'
import { gunzip, gzip } from 'node:zlib'
import { addPart, createPartCollector, joinParts } from '@juniperhook/core'
import type { RpcLink } from '@juniperhook/runtime'
import { call, readNow } from '@juniperhook/runtime'
import * as v from 'valibot'
import type { Piece, PieceRequest } from './peerMessages.ts'
import { PieceSchema } from './peerMessages.ts'
import type { PublishedConfig } from './ports.ts'

/**
 * Compressed bytes per piece; base64 adds a third. One piece takes 13 ms on a link of
 * 28 Mbit/s, the slowest of an entry.
 */
const PIECE_BYTES = 32_768
/** Timeout for one piece, ms; a link that exceeds it carries less than 30 KB/s. */
const PIECE_TIMEOUT_MS = 1_500
/**
 * Concurrent transfers. A text of 4,250 routes, 0.94 MB, compresses to 0.06 MB, which 4
 * entries receive in 0.1 s over a shared link of 28 Mbit/s. Each receiver serves the
 * text in turn, so all entries have it sooner than if they shared one link.
 */
const MAX_TRANSFERS = 4
/** A transfer without a request for this long counts as abandoned, ms. */
const TRANSFER_IDLE_MS = 1_500
/** Maximum size of a decompressed text, bytes; a published one has up to 1 MB. */
const MAX_TEXT_BYTES = 16_777_216

const compress = promisify(gzip)
const decompress = promisify(gunzip)

/** Serves the published configuration to other entries. */
export interface ConfigServer {
	compressed: CompressedConfig | undefined
	/** Transfers in progress, with the time of the last piece sent, ms. */
	readonly transfers: Map<RpcLink, number>
}

interface CompressedConfig {
	readonly published: PublishedConfig
	readonly data: Promise<Buffer>
}

/** The text fetched from a peer, or the reason why there is none. */
export type FetchResult =
	| { readonly ok: true; readonly text: string; readonly bytes: number }
	| { readonly ok: false; readonly reason: 'busy' | 'changed' }

/** Creates a server without transfers. */
export function createConfigServer(): ConfigServer {
	return { compressed: undefined, transfers: new Map() }
}

/** Answers a peer's request for a piece of the published configuration. */
export async function answerPiece(
	server: ConfigServer,
	published: PublishedConfig | undefined,
	request: PieceRequest,
	link: RpcLink,
): Promise<Piece> {
	if (published?.config.version !== request.version) return { type: 'changed' }
	if (!admitTransfer(server, link, readNow())) return { type: 'busy' }
	const data = await compressOnce(server, published)
	const piece = data.subarray(request.from, request.from + PIECE_BYTES)
	const end = request.from + piece.length
	if (end >= data.length) server.transfers.delete(link)
	return { type: 'piece', data: piece.toString('base64'), size: data.length }
}

/** Starts or continues a link's transfer; false when too many are in progress. */
function admitTransfer(
	server: ConfigServer,
	link: RpcLink,
	now: number,
): boolean {
	const { transfers } = server
	for (const [other, at] of transfers)
		if (now - at > TRANSFER_IDLE_MS) transfers.delete(other)
	if (!transfers.has(link) && transfers.size >= MAX_TRANSFERS) return false
	transfers.set(link, now)
	return true
}

function compressOnce(
	server: ConfigServer,
	published: PublishedConfig,
): Promise<Buffer> {
	if (server.compressed?.published !== published)
		server.compressed = { published, data: compress(published.text) }
	return server.compressed.data
}

/** Fetches a version's text from a peer; rejects when the peer does not answer in time. */
export async function fetchConfig(
	link: RpcLink,
	version: number,
): Promise<FetchResult> {
	const collector = createPartCollector()
	for (;;) {
		const request: PieceRequest = { version, from: collector.bytes }
		const reply = await call(link, 'configPiece', request, PIECE_TIMEOUT_MS)
		const piece = v.parse(PieceSchema, reply)
		if (piece.type !== 'piece') return { ok: false, reason: piece.type }
		const data = Buffer.from(piece.data, 'base64')
		addPart(collector, data)
		const { bytes } = collector
		if (bytes > MAX_TEXT_BYTES) throw new Error('configuration too large')
		if (data.length === 0 || bytes >= piece.size) break
	}
	const compressed = joinParts(collector)
	const text = await decompress(compressed, { maxOutputLength: MAX_TEXT_BYTES })
	return { ok: true, text: text.toString('utf8'), bytes: collector.bytes }
}
