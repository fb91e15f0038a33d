/** Runs a request on the backend server and appends its answer to a log. */

import type { AttemptName, ServerConfig } from '@juniperhook/core'
import { attemptKey } from '@juniperhook/core'
import type { OfferMeta } from '@juniperhook/runtime'
import type { AnswerLog } from './answerLog.ts'
import { appendFrame, hasSlowReader, nextFrameNumber } from './answerLog.ts'
import type {
	AnswerSink,
	BackendRun,
	RunResult,
	StopSignal,
} from './backend.ts'
import { runEngine, runService } from './backend.ts'

/** The request of a run. */
export interface RunRequest {
	readonly name: AttemptName
	readonly meta: OfferMeta
	readonly body: Buffer
	readonly answer: AnswerLog
	readonly stop: StopSignal
}

/** Called with the status and headers of an answer before they are passed on. */
type OnHead = AnswerSink['head']

/** Runs a request; resolves with its result and never rejects for a failed run. */
export function runOnBackend(
	server: ServerConfig,
	{ name, meta, body, answer, stop }: RunRequest,
	onHead: OnHead,
): Promise<RunResult> {
	const run: BackendRun = {
		address: server.backend,
		reqId: attemptKey(name),
		method: meta.method,
		path: meta.path,
		headers: meta.headers,
		body,
		priority: meta.priority,
		stop,
	}
	return runByKind(server.kind, run, createSink(answer, onHead))
}

function runByKind(
	kind: ServerConfig['kind'],
	run: BackendRun,
	sink: AnswerSink,
): Promise<RunResult> {
	switch (kind) {
		case 'engine':
			return runEngine(run, sink)
		case 'service':
			return runService(run, sink)
		default:
			return kind satisfies never
	}
}

function createSink(answer: AnswerLog, onHead: OnHead): AnswerSink {
	return {
		head(status, headers) {
			onHead(status, headers)
			appendFrame(answer, { t: 'head', n: 0, status, headers })
		},
		chunk(data) {
			appendFrame(answer, { t: 'chunk', n: nextFrameNumber(answer), data })
			return hasSlowReader(answer) ? waitForReaders(answer) : undefined
		},
	}
}

function waitForReaders(answer: AnswerLog): Promise<void> {
	return new Promise(resolve => {
		answer.onReaderProgress = () => {
			if (hasSlowReader(answer)) return
			answer.onReaderProgress = undefined
			resolve()
		}
	})
}
