/** Read-only client of the platform's configuration service and VM list. */

import type { Topic } from '@juniperhook/core'
import { MAX_DOCUMENT_BYTES } from '@juniperhook/core'
import { request } from 'undici'
import * as v from 'valibot'
import { messageOf } from '../utils/fail.ts'
import { readLimitedJson } from './limitedBody.ts'

/** How long a watch may wait for a change, ms. */
const WATCH_WAIT_MS = 30_000
const READ_TIMEOUT_MS = 3_000
/** Maximum size of an answer, bytes; JSON escapes may double the document's size. */
const MAX_BODY_BYTES = 4 * MAX_DOCUMENT_BYTES

/** A published value: the configuration's text or the VM list as JSON. */
export const PublishedSchema = v.object({
	revision: v.pipe(v.number(), v.integer(), v.minValue(1)),
	document: v.string(),
})

/** See {@link PublishedSchema}. */
export type Published = v.InferOutput<typeof PublishedSchema>

/** A VM in the VM list. */
export const VmSchema = v.object({
	name: v.string(),
	ip: v.string(),
	kind: v.picklist(['entry', 'server']),
	dataCentre: v.string(),
	state: v.picklist(['live', 'leaving']),
})

/** See {@link VmSchema}. */
export type Vm = v.InferOutput<typeof VmSchema>

/** The published VM list. */
export const VmListSchema = v.object({ vms: v.array(VmSchema) })

/**
 * Reads the latest value of a topic. With `after`, waits until its revision differs from
 * that one; undefined if the wait ends first.
 */
export async function readPublished(
	service: string,
	topic: Topic,
	after?: number,
): Promise<Published | undefined> {
	const query =
		after === undefined ? '' : `?after=${after}&wait=${WATCH_WAIT_MS}`
	const timeoutMs =
		after === undefined ? READ_TIMEOUT_MS : WATCH_WAIT_MS + READ_TIMEOUT_MS
	const body = await readJson(`http://${service}/${topic}${query}`, timeoutMs)
	return body === undefined ? undefined : v.parse(PublishedSchema, body)
}

async function readJson(url: string, timeoutMs: number): Promise<unknown> {
	const res = await request(url, {
		headersTimeout: timeoutMs,
		bodyTimeout: timeoutMs,
	})
	if (res.statusCode === 204) {
		await res.body.dump()
		return undefined
	}
	if (res.statusCode !== 200) {
		await res.body.dump()
		throw new Error(`${url} returned status ${res.statusCode}`)
	}
	try {
		return await readLimitedJson(res.body, MAX_BODY_BYTES)
	} catch (err) {
		throw new Error(`${url} returned invalid JSON: ${messageOf(err)}`)
	}
}
