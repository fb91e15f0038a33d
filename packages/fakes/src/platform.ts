/** Stand-in for the platform: configuration service, VM list, weight store. */

import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { Vm } from '@juniperhook/runtime'
import { readBody } from '@juniperhook/runtime'

const MAX_BYTES = 1_048_576
const MS = 1_000

/** How the stand-in is to behave. */
export interface PlatformOptions {
	/** How late the VM list is, ms. */
	readonly listLagMs: number
	/** Weight store: bytes a second over all callers. */
	readonly storeBytesPerSecond: number
}

/** The state of the stand-in. */
export interface Platform {
	readonly options: PlatformOptions
	revision: number
	document: string
	vms: Vm[]
	/** The list as callers see it. */
	shownVms: Vm[]
	/** Whether the service answers. */
	up: boolean
	calls: number
	/** When the weight store has served all that was asked, Unix ms. */
	storeFreeAt: number
	storeBytes: number
	readonly waiting: Set<() => void>
}

/** Makes a platform that has published nothing yet. */
export function createPlatform(options: PlatformOptions): Platform {
	return {
		options,
		revision: 0,
		document: '',
		vms: [],
		shownVms: [],
		up: true,
		calls: 0,
		storeFreeAt: 0,
		storeBytes: 0,
		waiting: new Set(),
	}
}

/** Publishes a document under `revision`, by default the next one. */
export function publish(
	platform: Platform,
	document: string,
	revision = platform.revision + 1,
): void {
	platform.revision = revision
	platform.document = document
	for (const wake of platform.waiting) wake()
	platform.waiting.clear()
}

/** Sets the VM list; callers see it after the lag. */
export function setVms(platform: Platform, vms: Vm[]): void {
	platform.vms = vms
	const lag = platform.shownVms.length === 0 ? 0 : platform.options.listLagMs
	setTimeout(() => {
		platform.shownVms = vms
	}, lag).unref()
}

/** Serves the platform over HTTP; `/admin/…` is for tests and the demo. */
export function servePlatform(
	platform: Platform,
	ip: string,
	port: number,
): Promise<Server> {
	const server = createServer(async (req, res) => {
		const url = new URL(req.url ?? '/', 'http://platform')
		if (url.pathname.startsWith('/admin/')) {
			const body = await readBody(req, MAX_BYTES)
			res.end(JSON.stringify(administer(platform, url, String(body))))
			return
		}
		platform.calls++
		if (!platform.up) {
			res.writeHead(503).end()
			return
		}
		if (url.pathname === '/config') await waitForNews(platform, url, req)
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

function read(platform: Platform, url: URL): object | undefined {
	switch (url.pathname) {
		case '/config': {
			const after = Number(url.searchParams.get('after') ?? -1)
			if (platform.revision === 0 || platform.revision === after)
				return undefined
			return { revision: platform.revision, document: platform.document }
		}
		case '/vms':
			return { vms: platform.shownVms }
		case '/weights':
			return { bytes: Number(url.searchParams.get('bytes')) }
		default:
			return undefined
	}
}

function waitForNews(
	platform: Platform,
	url: URL,
	req: IncomingMessage,
): Promise<void> {
	const after = Number(url.searchParams.get('after') ?? -1)
	const wait = Number(url.searchParams.get('wait') ?? 0)
	if (platform.revision !== after || wait === 0) return Promise.resolve()
	return new Promise(resolve => {
		const timer = setTimeout(resolve, wait)
		const wake = () => {
			clearTimeout(timer)
			resolve()
		}
		platform.waiting.add(wake)
		req.socket.once('close', wake)
	})
}

function serveWeights(platform: Platform, url: URL): Promise<void> {
	const bytes = Number(url.searchParams.get('bytes') ?? 0)
	const now = Date.now()
	const took = (bytes / platform.options.storeBytesPerSecond) * MS
	platform.storeFreeAt = Math.max(now, platform.storeFreeAt) + took
	platform.storeBytes += bytes
	return new Promise(resolve => {
		setTimeout(resolve, platform.storeFreeAt - now)
	})
}

function administer(platform: Platform, url: URL, body: string): object {
	switch (url.pathname) {
		case '/admin/publish': {
			const revision = url.searchParams.get('revision')
			publish(platform, body, revision ? Number(revision) : undefined)
			break
		}
		case '/admin/vms':
			setVms(platform, JSON.parse(body))
			break
		case '/admin/up':
			platform.up = body === 'yes'
			for (const wake of platform.waiting) wake()
			platform.waiting.clear()
			break
	}
	const { revision, calls, up, storeBytes } = platform
	return { revision, calls, up, storeBytes }
}
