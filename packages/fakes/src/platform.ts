/** Fake of the platform: configuration service, VM list and weight store. */

import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { Topic } from '@juniperhook/core'
import type { Vm } from '@juniperhook/runtime'
import { readBody } from './readBody.ts'

const MAX_BYTES = 1_048_576
const MS = 1_000

/** Behaviour of the fake platform. */
export interface PlatformOptions {
	/** Delay of changes to the VM list, ms. */
	readonly listLagMs: number
	/** Bandwidth of the weight store, shared by all callers. */
	readonly storeBytesPerSecond: number
}

/** State of the fake platform. */
export interface Platform {
	readonly options: PlatformOptions
	readonly topics: Record<Topic, PublishedTopic>
	/** Whether the configuration service and the weight store answer. */
	up: boolean
	calls: number
	/** When the weight store will have served all requests so far, Unix ms. */
	storeFreeAt: number
	storeBytes: number
}

/** A published value and the callers that wait for the next one. */
export interface PublishedTopic {
	revision: number
	document: string
	readonly waiting: Set<() => void>
}

/** Creates a platform that has published nothing yet. */
export function createPlatform(options: PlatformOptions): Platform {
	return {
		options,
		topics: { config: createTopic(), vms: createTopic() },
		up: true,
		calls: 0,
		storeFreeAt: 0,
		storeBytes: 0,
	}
}

function createTopic(): PublishedTopic {
	return { revision: 0, document: '', waiting: new Set() }
}

/** Publishes a value under `revision`, by default the next one. */
export function publish(
	platform: Platform,
	topic: Topic,
	document: string,
	revision?: number,
): void {
	const published = platform.topics[topic]
	published.revision = revision ?? published.revision + 1
	published.document = document
	wakeAll(published)
}

/** Sets the VM list; except for the first one, it is published after the lag. */
export function setVms(platform: Platform, vms: readonly Vm[]): void {
	const first = platform.topics.vms.revision === 0
	const lag = first ? 0 : platform.options.listLagMs
	const document = JSON.stringify({ vms })
	setTimeout(() => publish(platform, 'vms', document), lag).unref()
}

function wakeAll(published: PublishedTopic): void {
	for (const wake of published.waiting) wake()
	published.waiting.clear()
}

/** Serves the platform over HTTP; `/admin/…` is used by tests and the demo. */
export function servePlatform(
	platform: Platform,
	ip: string,
	port: number,
): Promise<Server> {
	const server = createServer(async (req, res) => {
		const url = new URL(req.url ?? '/', 'http://platform')
		if (url.pathname.startsWith('/admin/')) {
			const body = await readBody(req, MAX_BYTES)
			res.end(JSON.stringify(handleAdmin(platform, url, String(body))))
			return
		}
		platform.calls++
		if (!platform.up) {
			res.writeHead(503).end()
			return
		}
		const topic = topicOf(platform, url)
		if (topic) await waitForRevision(topic, url, req)
		if (!platform.up) {
			res.writeHead(503).end()
			return
		}
		const answer = read(platform, url)
		if (url.pathname === '/weights') await serveWeights(platform, url)
		res.writeHead(answer === undefined ? 204 : 200)
		res.end(answer === undefined ? undefined : JSON.stringify(answer))
	})
	server.keepAliveTimeout = 60_000
	return new Promise(resolve => {
		server.listen(port, ip, () => resolve(server))
	})
}

function topicOf(platform: Platform, url: URL): PublishedTopic | undefined {
	if (url.pathname === '/config') return platform.topics.config
	return url.pathname === '/vms' ? platform.topics.vms : undefined
}

function read(platform: Platform, url: URL): object | undefined {
	const topic = topicOf(platform, url)
	if (!topic) return { bytes: Number(url.searchParams.get('bytes')) }
	const { revision, document } = topic
	const after = Number(url.searchParams.get('after') ?? -1)
	return revision === 0 || revision === after
		? undefined
		: { revision, document }
}

function waitForRevision(
	topic: PublishedTopic,
	url: URL,
	req: IncomingMessage,
): Promise<void> {
	const after = Number(url.searchParams.get('after') ?? -1)
	const wait = Number(url.searchParams.get('wait') ?? 0)
	if (topic.revision !== after || wait === 0) return Promise.resolve()
	return new Promise(resolve => {
		const timer = setTimeout(resolve, wait)
		const wake = () => {
			clearTimeout(timer)
			resolve()
		}
		topic.waiting.add(wake)
		req.socket.once('close', wake)
	})
}

function serveWeights(platform: Platform, url: URL): Promise<void> {
	const bytes = Number(url.searchParams.get('bytes') ?? 0)
	const now = Date.now()
	const transferMs = (bytes / platform.options.storeBytesPerSecond) * MS
	platform.storeFreeAt = Math.max(now, platform.storeFreeAt) + transferMs
	platform.storeBytes += bytes
	return new Promise(resolve => {
		setTimeout(resolve, platform.storeFreeAt - now)
	})
}

function handleAdmin(platform: Platform, url: URL, body: string): object {
	switch (url.pathname) {
		case '/admin/publish': {
			const revision = url.searchParams.get('revision')
			publish(platform, 'config', body, revision ? Number(revision) : undefined)
			break
		}
		case '/admin/vms':
			setVms(platform, JSON.parse(body))
			break
		case '/admin/up':
			platform.up = body === 'yes'
			for (const topic of Object.values(platform.topics)) wakeAll(topic)
			break
	}
	const { calls, up, storeBytes, topics } = platform
	return { revision: topics.config.revision, calls, up, storeBytes }
}
