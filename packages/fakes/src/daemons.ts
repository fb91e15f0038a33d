/** Starts programs as real processes for tests, and looks at them from outside. */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request } from 'node:http'
import type { Server } from 'node:net'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { waitUntil } from './fleet.ts'

/** Ample time for anything that a test waits for, ms. */
const TIMEOUT_MS = 20_000
const POLL_MS = 10
const KB_PER_MB = 1_024
/** Number of SIGHUP, counted from 0, in a set of signals. */
const SIGHUP_BIT = 1n

/** A started process. */
export interface Daemon {
	readonly child: ChildProcess
	/** What it has written so far. */
	output(): string
	/** Resolves once its output contains a text; rejects if it exits before. */
	wrote(text: string): Promise<void>
	/** How it exited; undefined while it runs. */
	exited(): string | undefined
}

/** A folder for settings files, and the processes started by a test. */
export interface DaemonWorld {
	readonly folder: string
	readonly daemons: Daemon[]
}

/** Creates an empty world. */
export function createDaemonWorld(): DaemonWorld {
	const folder = mkdtempSync(join(tmpdir(), 'juniperhook-daemon-'))
	return { folder, daemons: [] }
}

/** Ends all processes and removes their files. */
export async function closeDaemonWorld(world: DaemonWorld): Promise<void> {
	for (const { child, exited } of world.daemons) {
		if (exited() !== undefined) continue
		child.kill('SIGKILL')
		await once(child, 'exit')
	}
	rmSync(world.folder, { recursive: true, force: true })
}

/** Returns the path of the settings file `name`. */
export function settingsPath({ folder }: DaemonWorld, name: string): string {
	return join(folder, `${name}.conf`)
}

/** Writes the settings file `name` and returns its path. */
export function writeSettings(
	world: DaemonWorld,
	name: string,
	text: string,
): string {
	const path = settingsPath(world, name)
	writeFileSync(path, text)
	return path
}

/** Starts a process from a program and its arguments. */
export function spawnDaemon(
	world: DaemonWorld,
	[program, ...args]: readonly string[],
	env: Record<string, string> = {},
): Daemon {
	const child = spawn(program!, args, {
		env,
		stdio: ['ignore', 'pipe', 'pipe'],
	})
	let text = ''
	const add = (data: Buffer) => {
		text += data.toString()
	}
	child.stdout.on('data', add)
	child.stderr.on('data', add)
	const exited = () => {
		if (child.exitCode !== null) return `code ${child.exitCode}`
		return child.signalCode ?? undefined
	}
	const wrote = async (wanted: string) => {
		const end = performance.now() + TIMEOUT_MS
		while (!text.includes(wanted)) {
			const how =
				exited() ?? (performance.now() > end ? 'a timeout' : undefined)
			if (how) throw new Error(`${how} before "${wanted}": ${text}`)
			await pause(POLL_MS)
		}
	}
	const daemon: Daemon = { child, output: () => text, wrote, exited }
	world.daemons.push(daemon)
	return daemon
}

/** Waits until a process has exited, and returns how. */
export async function awaitExit({ exited }: Daemon): Promise<string> {
	await waitUntil(() => exited() !== undefined, 'the end of a process')
	return exited()!
}

/** Waits a time, ms. */
export function pause(ms: number): Promise<void> {
	return new Promise(resolve => setTimeout(resolve, ms))
}

/** Occupies an address; resolves with the server that holds it. */
export async function occupyAddress(ip: string, port: number): Promise<Server> {
	const server = createServer(socket => socket.destroy())
	server.listen(port, ip)
	await once(server, 'listening')
	return server
}

/** Frees an occupied address. */
export async function freeAddress(server: Server): Promise<void> {
	server.close()
	await once(server, 'close')
}

/** A response, or status 0 if none arrives. */
export interface SimpleResponse {
	readonly status: number
	readonly body: string
}

/** A request of a test; without a method, it is a GET. */
export interface SimpleRequest {
	readonly method?: string
	readonly path: string
	readonly headers?: Record<string, string>
	readonly body?: string
}

/** Sends a GET request. */
export function sendGet(
	address: string,
	path: string,
	headers: Record<string, string> = {},
): Promise<SimpleResponse> {
	return sendSimple(address, { path, headers })
}

/** Sends a request on a connection of its own. */
export function sendSimple(
	address: string,
	{ method, path, headers, body }: SimpleRequest,
): Promise<SimpleResponse> {
	const [host, port] = address.split(':')
	return new Promise(resolve => {
		const req = request({ host, port, method, path, headers, agent: false })
		const fail = () => resolve({ status: 0, body: '' })
		req.setTimeout(TIMEOUT_MS, () => req.destroy())
		req.on('error', fail)
		req.on('response', res => {
			let text = ''
			res.on('data', data => {
				text += data
			})
			res.on('error', fail)
			res.on('end', () => resolve({ status: res.statusCode ?? 0, body: text }))
		})
		req.end(body)
	})
}

/** Returns the most memory that a process has taken so far, MB. Linux only. */
export function readPeakMb({ child }: Pick<Daemon, 'child'>): number {
	return Number(readStatus(child.pid!, /^VmHWM:\s*(\d+) kB$/m)) / KB_PER_MB
}

/** Whether a process handles SIGHUP itself. Linux only. */
export function handlesSighup(pid: number): boolean {
	const mask = readStatus(pid, /^SigCgt:\s*([0-9a-f]+)$/m)
	return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n
}

function readStatus(pid: number, field: RegExp): string {
	return field.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0'
}
