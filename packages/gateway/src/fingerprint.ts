/** Tells a request that comes again, by whatever entry, from all others. */

import { createHash } from 'node:crypto'
import type { CallerRequest } from './job.ts'

/** Of the digest; two of 2^40 requests share one by chance. */
const DIGEST_BYTES = 12
const LENGTH_BASE = 36

/**
 * Method, path, team and body, in a short text: the body's length, so that requests
 * of other lengths need no digest to be told apart, and a digest of all. Where a
 * stream is to go on and how the body was framed make no other request of it.
 */
export function fingerprintOf(request: CallerRequest): string {
	request.fingerprint ??= computeFingerprint(request)
	return request.fingerprint
}

/** What makes a request the same when it comes again. */
export interface FingerprintInput {
	readonly method: string
	readonly path: string
	readonly team: { readonly name: string } | undefined
	readonly body: Buffer
}

/** The fingerprint of a request, computed anew. */
export function computeFingerprint(request: FingerprintInput): string {
	const { method, path, team, body } = request
	const hash = createHash('sha256')
	hash.update(`${method} ${path}\n${team?.name ?? ''}\n`)
	hash.update(body)
	const digest = hash.digest().subarray(0, DIGEST_BYTES).toString('base64url')
	return `${body.length.toString(LENGTH_BASE)}.${digest}`
}

/** Length of the body that a fingerprint was made of. */
export function bodyLengthOf(fingerprint: string): number {
	return Number.parseInt(fingerprint, LENGTH_BASE)
}
