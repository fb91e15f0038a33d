/**
 * Starts a small fleet as separate processes, each on its own loopback IP: the fakes,
 * entries, and an agent beside each backend server. Used by the demo, benchmarks and
 * process tests.
 */

import { type ChildProcess, spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { Vm } from '@juniperhook/runtime'
import { request } from 'undici'
import type { GroupProcessOptions } from './groupModel.ts'

/** Ports, the same on every IP. */
export const PORTS = {
	data: 7400,
	control: 7401,
	operators: 7402,
	platform: 7500,
	backend: 7600,
} as const

/** File in the fleet's folder with one line per run of a booking. */
export const RUNS_FILE = 'runs'
const ROOT = fileURLToPath(new URL('../../..', import.meta.url))
const READY_TIMEOUT_MS = 20_000
const POLL_INTERVAL_MS = 50
const MIN_SECOND_OCTET = 10
const PREFIX_COUNT = 200
/** Key of the team that sends most requests. */
export const TEAM_KEY = 'demo-key'
/** Key of a small team. */
export const SMALL_TEAM_KEY = 'small-key'

/** Which processes to start, and their configuration. */
export interface FleetOptions {
	readonly entries: number
	readonly services: number
	readonly serviceDelayMs: number
	readonly serviceSlots: number
	/** Number of ranks of the group; 0 for no group. */
	readonly ranks: number
	readonly group?: Partial<GroupProcessOptions>
	/** Lines added to the configuration document. */
	readonly extraConfig?: string
	/** Lines added to the group's section. */
	readonly groupConfig?: string
	/** Lines added to the section of the team of {@link TEAM_KEY}. */
	readonly teamConfig?: string
	/** Lines added to the service's section. */
	readonly serviceConfig?: string
	readonly logLevel?: string
	/** Whether entries reach the agents of plain services through {@link relayIp}. */
	readonly relayed?: boolean
	/** Node's arguments for entries and agents. */
	readonly nodeFlags?: readonly string[]
	/** Lines added to the settings of entries and agents. */
	readonly extraSettings?: string
}

/** A started process. */
export interface FleetProcess {
	readonly name: string
	readonly ip: string
	readonly child: ChildProcess
	readonly args: readonly string[]
}

/** A running fleet. */
export interface Fleet {
	readonly options: FleetOptions
	readonly folder: string
	readonly prefix: string
	readonly processes: Map<string, FleetProcess>
	document: string
	readonly vms: Vm[]
}

const DEFAULT_GROUP: Omit<GroupProcessOptions, 'ips' | 'store'> = {
	layers: 4,
	experts: 32,
	baseMs: 6,
	tokenMs: 0.02,
	expertMs: 0.4,
	topK: 2,
	bytesPerExpert: 4_000_000,
	checksFences: true,
	slots: 32,
	exponent: 0.8,
	seed: 1,
	pace: 1,
	driftPerSecond: 0,
	stormAfterSeconds: 0,
}

/** Starts a fleet and resolves when all entries and agents are ready. */
export async function startFleet(
	options: FleetOptions,
	beforeDaemons: (fleet: Fleet) => Promise<void> = async () => {},
): Promise<Fleet> {
	const prefix = await findPrefix()
	const folder = mkdtempSync(join(tmpdir(), 'juniperhook-'))
	const processes = new Map<string, FleetProcess>()
	const vms: Vm[] = []
	const fleet = { options, folder, prefix, processes, document: '', vms }
	process.once('exit', () => stopFleet(fleet))
	startFakes(fleet)
	fleet.document = writeConfig(fleet)
	vms.push(...listVms(fleet))
	await waitUntil(async () => {
		await callPlatform(fleet, 'vms', JSON.stringify(vms))
		return true
	}, 'the platform')
	await callPlatform(fleet, 'publish', fleet.document)
	await beforeDaemons(fleet)
	for (const vm of vms) startDaemon(fleet, vm)
	for (const vm of vms) await waitReady(fleet, vm)
	return fleet
}

/** Kills all processes of the fleet and removes its folder. */
export function stopFleet(fleet: Fleet): void {
	for (const { child } of fleet.processes.values()) child.kill('SIGKILL')
	fleet.processes.clear()
	rmSync(fleet.folder, { recursive: true, force: true })
}

/** Sends a signal to the process `name`. */
export function signalProcess(
	fleet: Fleet,
	name: string,
	sig: NodeJS.Signals,
): void {
	fleet.processes.get(name)?.child.kill(sig)
}

/**
 * Restarts a process once it has exited, because it occupies its ports until then.
 * Resolves when the new process has been started; it may not be listening yet.
 */
export async function restartProcess(
	fleet: Fleet,
	name: string,
): Promise<void> {
	const old = fleet.processes.get(name)
	if (!old) return
	const { child, ip, args } = old
	const hasEnded = child.exitCode !== null || child.signalCode !== null
	if (!hasEnded) await new Promise(resolve => child.once('exit', resolve))
	// If the fleet was stopped meanwhile, the process is no longer listed.
	if (fleet.processes.get(name) === old) start(fleet, name, ip, args)
}

/** Returns the IP of entry `n`, counted from 0. */
export function entryIp(fleet: Fleet, n: number): string {
	return `${fleet.prefix}.${10 + n}`
}

/** Returns the IP of the VM of plain service `n`, counted from 0. */
export function serviceIp(fleet: Fleet, n: number): string {
	return `${fleet.prefix}.${30 + n}`
}

/** Returns the IP of the VM of rank `n`, counted from 0. */
export function rankIp(fleet: Fleet, n: number): string {
	return `${fleet.prefix}.${100 + n}`
}

/** Returns the IP of the relay in front of plain service `n`, counted from 0. */
export function relayIp(fleet: Fleet, n: number): string {
	return `${fleet.prefix}.${60 + n}`
}

/** Calls an `/admin/…` endpoint of the fake platform. */
export async function callPlatform(
	fleet: Fleet,
	endpoint: string,
	body = '',
): Promise<Record<string, number>> {
	const url = `http://${fleet.prefix}.1:${PORTS.platform}/admin/${endpoint}`
	const res = await request(url, { method: 'POST', body })
	return (await res.body.json()) as Record<string, number>
}

/** Fetches the status of a process. */
export async function readStatus<T = Record<string, unknown>>(
	ip: string,
): Promise<T> {
	const res = await request(`http://${ip}:${PORTS.operators}/status`)
	return (await res.body.json()) as T
}

/** Waits until `check` returns true; an error counts as false. */
export async function waitUntil(
	check: () => Promise<boolean> | boolean,
	what: string,
	timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
	const end = Date.now() + timeoutMs
	while (Date.now() < end) {
		const done = await Promise.resolve(check()).catch(() => false)
		if (done) return
		await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS))
	}
	throw new Error(`timed out after ${timeoutMs} ms waiting for ${what}`)
}

/** Returns the SHA-256 digest of a team's key for the configuration. */
export function digestKey(key: string): string {
	return createHash('sha256').update(key).digest('hex')
}

async function findPrefix(): Promise<string> {
	for (let n = 0; n < PREFIX_COUNT; n++) {
		const third = (process.pid + n) % 250
		const second = MIN_SECOND_OCTET + ((process.pid >> 8) % PREFIX_COUNT)
		const prefix = `127.${second}.${third}`
		if (await isFree(`${prefix}.1`)) return prefix
	}
	throw new Error('no free loopback prefix')
}

function isFree(ip: string): Promise<boolean> {
	return new Promise(resolve => {
		const probe = createServer()
		probe.once('error', () => resolve(false))
		probe.listen(PORTS.platform, ip, () => probe.close(() => resolve(true)))
	})
}

function startFakes(fleet: Fleet): void {
	const { options, prefix } = fleet
	const main = join(ROOT, 'packages/fakes/dist/main.js')
	const platformIp = `${prefix}.1`
	start(fleet, 'platform', platformIp, [
		main,
		'platform',
		platformIp,
		String(PORTS.platform),
	])
	for (let n = 0; n < options.services; n++) {
		const ip = serviceIp(fleet, n)
		const delay = String(options.serviceDelayMs)
		const runs = join(fleet.folder, RUNS_FILE)
		const args = [main, 'service', ip, String(PORTS.backend), delay, runs]
		start(fleet, `backend-${n}`, ip, args)
	}
	if (options.ranks === 0) return
	const group: GroupProcessOptions = {
		...DEFAULT_GROUP,
		...options.group,
		ips: rankNumbers(fleet).map(n => rankIp(fleet, n)),
		store: `${platformIp}:${PORTS.platform}`,
	}
	const args = [main, 'group', String(PORTS.backend), JSON.stringify(group)]
	start(fleet, 'group', rankIp(fleet, 0), args)
}

function startDaemon(fleet: Fleet, vm: Vm): void {
	const path = join(fleet.folder, `${vm.name}.ini`)
	writeFileSync(path, writeSettings(fleet, vm))
	const entry = join(ROOT, 'packages/entry/bin/juniperhook.js')
	const agent = join(ROOT, 'packages/agent/bin/juniperhook-agent.js')
	const program = vm.kind === 'entry' ? [entry, 'entry'] : [agent]
	const { nodeFlags = [] } = fleet.options
	start(fleet, vm.name, vm.ip, [...nodeFlags, ...program, path])
}

function start(
	fleet: Fleet,
	name: string,
	ip: string,
	args: readonly string[],
): void {
	const child = spawn(process.execPath, args, {
		stdio: ['ignore', 'ignore', 'inherit'],
	})
	fleet.processes.set(name, { name, ip, child, args })
}

async function waitReady(fleet: Fleet, vm: Vm): Promise<void> {
	const url = `http://${vm.ip}:${PORTS.operators}/readyz`
	await waitUntil(async () => {
		const res = await request(url)
		await res.body.dump()
		if (res.statusCode !== 200) return false
		if (vm.kind !== 'entry') return true
		const status = await readStatus<{ servers: { open: boolean }[] }>(vm.ip)
		return status.servers.every(server => server.open)
	}, `${vm.name} of ${fleet.prefix}`)
}

function listVms(fleet: Fleet): Vm[] {
	const { options } = fleet
	const createVm = (name: string, ip: string, kind: Vm['kind']): Vm => ({
		name,
		ip,
		kind,
		dataCentre: 'dc-a',
		state: 'live',
	})
	const entries = Array.from({ length: options.entries }, (_, n) =>
		createVm(`entry-${n}`, entryIp(fleet, n), 'entry'),
	)
	const services = Array.from({ length: options.services }, (_, n) =>
		createVm(`service-${n}`, serviceIp(fleet, n), 'server'),
	)
	const ranks = rankNumbers(fleet).map(n =>
		createVm(`rank-${n}`, rankIp(fleet, n), 'server'),
	)
	return [...ranks, ...services, ...entries]
}

function rankNumbers(fleet: Fleet): number[] {
	return Array.from({ length: fleet.options.ranks }, (_, n) => n)
}

function writeSettings(fleet: Fleet, vm: Vm): string {
	const platform = `${fleet.prefix}.1:${PORTS.platform}`
	return `[process]
name = ${vm.name}
dataCentre = ${vm.dataCentre}

[listen]
data = ${vm.ip}:${PORTS.data}
control = ${vm.ip}:${PORTS.control}
operators = ${vm.ip}:${PORTS.operators}

[platform]
service = ${platform}
weights = ${platform}

[log]
level = ${fleet.options.logLevel ?? process.env.JHLOG ?? 'quiet'}

${fleet.options.extraSettings ?? ''}
`
}

function writeConfig(fleet: Fleet): string {
	const { options } = fleet
	const group = { ...DEFAULT_GROUP, ...options.group }
	const ranks = rankNumbers(fleet)
	const parts = [
		'[dataCentre.dc-a]\nregion = local\n',
		`[team.large]
keyDigests = ${digestKey(TEAM_KEY)}
ratePerSecond = 100000
concurrency = 100000
tokensPerSecond = 100000000
${options.teamConfig ?? ''}
`,
		`[team.small]
keyDigests = ${digestKey(SMALL_TEAM_KEY)}
`,
	]
	if (options.services > 0)
		parts.push(`[service.huts]
repeat = safe
priority = 1
deadlineSeconds = 10
${options.serviceConfig ?? ''}
`)
	for (let n = 0; n < options.services; n++)
		parts.push(`[server.service-${n}]
kind = service
dataCentre = dc-a
service = huts
agent = ${(options.relayed ? relayIp : serviceIp)(fleet, n)}:${PORTS.data}
backend = ${serviceIp(fleet, n)}:${PORTS.backend}
slots = ${options.serviceSlots}
`)
	if (ranks.length > 0)
		parts.push(`[model.writer]
version = 1

[group.writer]
model = writer
ranks = ${ranks.map(n => `rank-${n}`).join(' ')}
layers = ${group.layers}
experts = ${group.experts}
bytesPerExpert = ${group.bytesPerExpert}
checksFences = ${group.checksFences ? 'yes' : 'no'}
${options.groupConfig ?? ''}
`)
	for (const n of ranks)
		parts.push(`[server.rank-${n}]
kind = engine
dataCentre = dc-a
agent = ${rankIp(fleet, n)}:${PORTS.data}
backend = ${rankIp(fleet, n)}:${PORTS.backend}
slots = ${group.slots}
`)
	parts.push(options.extraConfig ?? '')
	return parts.join('\n')
}
