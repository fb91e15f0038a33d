/** HTTP endpoints of an agent's data port: offers of requests, resumption of answers. */

import type { IncomingMessage, ServerResponse } from 'node:http'
import {
	awaitBody,
	createLog,
	endAfterRequest,
	fail,
	handleNode,
	kindOf,
	messageOf,
	OFFER_HEADER,
	OfferSchema,
	RESUME_HEADER,
	ResumeSchema,
} from '@juniperhook/runtime'
import { H3 } from 'h3'
import * as v from 'valibot'
import { refuseOffer, resumeAnswer, submitOffer } from './requests.ts'
import type { RequestTable } from './requestTable.ts'

/** Time for the body of an offer, which the entry holds whole, ms. */
const BODY_TIMEOUT_MS = 30_000
const log = createLog('agent')

/** Serves offers and resumptions; `findTable` returns undefined without configuration. */
export function createOfferApp(findTable: () => RequestTable | undefined): H3 {
	const app = new H3()
	const guarded = (
		handle: (
			table: RequestTable,
			req: IncomingMessage,
			res: ServerResponse,
		) => Promise<void>,
	) =>
		handleNode(async (req, res) => {
			try {
				await handle(findTable() ?? fail('noConfig', 'agent'), req, res)
			} catch (err) {
				refuseCall(res, err)
			}
		})
	app.post('/offer', guarded(handleOffer))
	app.post('/resume', guarded(handleResume))
	return app
}

async function handleOffer(
	table: RequestTable,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const meta = parseHeader(req, OFFER_HEADER, OfferSchema)
	let body: Buffer
	try {
		body = await awaitBody(req, BODY_TIMEOUT_MS)
	} catch (err) {
		if (kindOf(err) === 'internal') throw err
		refuseOffer(table, res, kindOf(err))
		return
	}
	submitOffer(table, meta, body, res)
}

async function handleResume(
	table: RequestTable,
	req: IncomingMessage,
	res: ServerResponse,
): Promise<void> {
	const ref = parseHeader(req, RESUME_HEADER, ResumeSchema)
	req.resume()
	resumeAnswer(table, ref, ref.from, res)
}

function parseHeader<T extends v.GenericSchema>(
	req: IncomingMessage,
	name: string,
	schema: T,
): v.InferOutput<T> {
	const text = String(req.headers[name] ?? '')
	try {
		const json = Buffer.from(text, 'base64url').toString('utf8')
		return v.parse(schema, JSON.parse(json))
	} catch (err) {
		return fail('badRequest', `header ${name}: ${messageOf(err)}`)
	}
}

function refuseCall(res: ServerResponse, err: unknown): void {
	log({ msg: 'call refused', kind: kindOf(err), detail: messageOf(err) })
	if (res.headersSent) {
		res.destroy()
		return
	}
	if (!res.req.complete) res.setHeader('connection', 'close')
	res.writeHead(kindOf(err) === 'internal' ? 500 : 400)
	const refusal = { kind: kindOf(err), detail: messageOf(err) }
	endAfterRequest(res, JSON.stringify(refusal))
}
