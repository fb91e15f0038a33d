/** Fingerprints that identify a repeated request at every entry. */

import { createHash } from 'node:crypto'
import type { CallerRequest } from './job.ts'

/** Length of the truncated digest; 2^40 requests collide with a probability of 2^-17. */
const DIGEST_BYTES = 12
const LENGTH_BASE = 36

/**
 * Returns the fingerprint of a request's method, path, team and body, cached in the
 * request. It starts with the body's length, so that requests with bodies of another
 * length are ruled out without a digest. The event id at which a stream resumes and
 * the framing of the body are not part of it.
 */
export function fingerprintOf(request: CallerRequest): string {
	request.fingerprint ??= computeFingerprint(request)
	return request.fingerprint
}

/** Returns the first 32 bits of the digest in a request's fingerprint. */
export function shortFingerprintOf(request: CallerRequest): number {
	const fingerprint = fingerprintOf(request)
	const digest = fingerprint.slice(fingerprint.indexOf('.') + 1)
	return Buffer.from(digest, 'base64url').readUInt32LE()
}

/** The parts of a request that its fingerprint covers. */
export interface FingerprintInput {
	readonly method: string
	readonly path: string
	readonly team: { readonly name: string } | undefined
	readonly body: Buffer
}

/** Computes the fingerprint of a request, without the cache. */
export function computeFingerprint(request: FingerprintInput): string {
	const { method, path, team, body } = request
	const hash = createHash('sha256')
	hash.update(`${method} ${path}\n${team?.name ?? ''}\n`)
	hash.update(body)
	const digest = hash.digest().subarray(0, DIGEST_BYTES).toString('base64url')
	return `${body.length.toString(LENGTH_BASE)}.${digest}`
}

/** Returns the body length that a fingerprint contains. */
export function bodyLengthOf(fingerprint: string): number {
	return Number.parseInt(fingerprint, LENGTH_BASE)
}
