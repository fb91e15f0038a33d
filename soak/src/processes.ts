/**
 * The product's processes. As on the platform, each gets a settings file, is signalled
 * when that changes, and is restarted when it exits.
 */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { mkdirSync, openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { readPeakMb } from '@juniperhook/fakes'
import {
	agentIp,
	agentStoreIp,
	entryIp,
	entryStoreIp,
	PORTS,
	relayIp,
} from './addresses.ts'
import { COLD, RETRIES } from './config.ts'
import type { SoakOptions, SoakRecord } from './types.ts'
import { count, recordViolation } from './types.ts'

const BUNDLE = fileURLToPath(
	new URL('../../platform/dist/main.js', import.meta.url),
)
/** Time from the exit of a process to its restart, ms. */
const RESTART_MS = 150
/** Ample time for Node to start and run main.js, also on a busy machine, ms. */
const NODE_START_MS = 1_000
/** Time from SIGTERM to SIGKILL, ms. */
export const GRACE_MS = 5_000
const SEED_NODES = 2
/** Memory of a machine and heap of its process, as in the deploy file, MB. */
const LIMITS_MB = {
	entry: { memory: 350, heap: 160 },
	agent: { memory: 218, heap: 64 },
} as const
/** Interval between readings of the memory of a process, ms. */
const MEMORY_INTERVAL_MS = 500

/** One process of the product over all its incarnations. */
export interface ManagedProcess {
	readonly name: string
	readonly role: 'entry' | 'agent'
	/** Number of the entry, or rank of the agent. */
	readonly index: number
	readonly settingsPath: string
	readonly logPath: string
	child: ChildProcess | undefined
	/** Number of the present incarnation: starts so far. */
	incarnation: number
	/** When the present incarnation was started, ms. */
	startedAt: number
	/** Whether the soak has stopped or killed the present incarnation. */
	endRequested: boolean
	/** When the present incarnation was sent SIGTERM, ms. */
	stopRequestedAt: number | undefined
	/** When an incarnation was last sent SIGKILL, ms. */
	killedAt: number
	/** Whether it is restarted when it exits. */
	keepRunning: boolean
	/** Incarnations that stop while a successor runs. */
	readonly predecessors: Set<ChildProcess>
}

/** Creates a process's folder and settings file without starting it. */
export function prepareProcess(
	options: SoakOptions,
	role: ManagedProcess['role'],
	index: number,
): ManagedProcess {
	const name = `${role}-${index}`
	mkdirSync(options.folder, { recursive: true })
	const settingsPath = join(options.folder, `${name}.conf`)
	const managed: ManagedProcess = {
		name,
		role,
		index,
		settingsPath,
		logPath: join(options.folder, `${name}.log`),
		child: undefined,
		incarnation: 0,
		startedAt: 0,
		endRequested: false,
		stopRequestedAt: undefined,
		killedAt: 0,
		keepRunning: true,
		predecessors: new Set(),
	}
	writeSettings(options, managed, 0)
	return managed
}

/** Writes a settings file; `edition` makes it differ from the previous one. */
export function writeSettings(
	options: SoakOptions,
	{ role, index, name, settingsPath }: ManagedProcess,
	edition: number,
): void {
	const { net } = options
	const ip = role === 'entry' ? entryIp(net, index) : agentIp(net, index)
	const storeIp =
		role === 'entry' ? entryStoreIp(net, index) : agentStoreIp(net, index)
	const seeds = Array.from({ length: SEED_NODES }, (_, at) => entryIp(net, at))
	const lines = [
		`node_name=${name}`,
		`machine_class=${role}`,
		`ip=${ip}`,
		`zone=zone-${index % 2}`,
		`internal_port_range=${PORTS.agents},${PORTS.agents + 9}`,
		`seed_nodes=${seeds.map(seed => `${seed}:${PORTS.control}`).join(',')}`,
		`platform.address=${storeIp}:${PORTS.store}`,
		`limits.memory_mb=${LIMITS_MB[role].memory}`,
		`bounds.cold_overage=${COLD.factor}`,
		`bounds.cold_slack=${COLD.extra}`,
		`bounds.grace_s=${GRACE_MS / 1_000}`,
		`bounds.retry_budget_ratio=${RETRIES.ratio}`,
		`bounds.budget_slack=${RETRIES.slack}`,
		`bounds.budget_window_s=${RETRIES.windowMs / 1_000}`,
		`soak.edition=${edition}`,
	]
	if (role === 'entry')
		lines.push(
			`listen.front=${ip}:${PORTS.callers}`,
			`listen.ready=${ip}:${PORTS.readiness}`,
			`listen.control=${ip}:${PORTS.control}`,
		)
	else
		lines.push(
			`app=${relayIp(net, index)}:${PORTS.engine}`,
			'service=model-service',
		)
	writeFileSync(settingsPath, `${lines.join('\n')}\n`)
}

/** Starts a process; it is restarted on each exit while `keepRunning` is set. */
export function startProcess(
	record: SoakRecord,
	managed: ManagedProcess,
	bundle = BUNDLE,
): void {
	const log = openSync(managed.logPath, 'a')
	const heap = `--max-old-space-size=${LIMITS_MB[managed.role].heap}`
	const child = spawn(process.execPath, [heap, bundle, managed.role], {
		env: { JUNIPERHOOK_NODE_FILE: managed.settingsPath },
		stdio: ['ignore', log, log],
	})
	watchMemory(record, managed, child)
	managed.child = child
	managed.incarnation++
	managed.startedAt = performance.now()
	managed.endRequested = false
	managed.stopRequestedAt = undefined
	child.on('exit', (code, signal) => {
		if (managed.predecessors.delete(child)) {
			// Until a process handles SIGTERM, the signal itself ends it.
			const isRequested = signal === 'SIGKILL' || signal === 'SIGTERM'
			if (code !== 0 && !isRequested) recordEnd(record, managed, code, signal)
			return
		}
		managed.child = undefined
		if (!managed.endRequested) recordEnd(record, managed, code, signal)
		if (managed.keepRunning)
			setTimeout(() => {
				if (managed.keepRunning) startProcess(record, managed, bundle)
			}, RESTART_MS)
	})
}

/** Reads a process's memory until it exits; one that takes too much breaks a promise. */
function watchMemory(
	record: SoakRecord,
	{ name, role }: ManagedProcess,
	child: ChildProcess,
): void {
	const timer = setInterval(() => {
		// A process that has exited has no entry in /proc, or one without figures.
		if (child.exitCode !== null || child.signalCode !== null) return
		checkMemory(record, name, role, readPeakMb({ child }))
	}, MEMORY_INTERVAL_MS)
	child.once('exit', () => clearInterval(timer))
}

/** Checks the most memory that a process has taken, MB. */
export function checkMemory(
	record: SoakRecord,
	name: string,
	role: ManagedProcess['role'],
	peakMb: number,
): void {
	const label = `peak memory of ${role}, MB`
	const before = record.counts.get(label) ?? 0
	record.counts.set(label, Math.max(before, Math.round(peakMb)))
	const { memory } = LIMITS_MB[role]
	const isKnown = record.violations.some(one =>
		one.startsWith(`MEMORY: ${name} `),
	)
	if (peakMb <= memory || isKnown) return
	recordViolation(
		record,
		'MEMORY',
		`${name} took ${Math.round(peakMb)} of ${memory} MB`,
	)
}

function recordEnd(
	record: SoakRecord,
	{ name }: ManagedProcess,
	code: number | null,
	signal: NodeJS.Signals | null,
): void {
	recordViolation(
		record,
		'ENDED',
		`${name} exited by itself: ${code ?? signal}`,
	)
}

/** Starts a successor beside a process, which is sent SIGTERM first. */
export function replaceProcess(
	record: SoakRecord,
	managed: ManagedProcess,
): void {
	const { child } = managed
	if (!child || managed.stopRequestedAt !== undefined) return
	count(record, `successors of ${managed.role}`)
	managed.predecessors.add(child)
	child.kill('SIGTERM')
	setTimeout(() => {
		if (managed.predecessors.has(child)) child.kill('SIGKILL')
	}, GRACE_MS)
	startProcess(record, managed)
}

/**
 * Signals a process that its settings have changed. SIGHUP would end a process that has
 * not installed its handler yet, so one that has just been started is not signalled.
 */
export function signalSettingsChange({
	child,
	startedAt,
}: ManagedProcess): void {
	if (performance.now() - startedAt > NODE_START_MS) child?.kill('SIGHUP')
}

/** Kills a process with SIGKILL. */
export function killProcess(record: SoakRecord, managed: ManagedProcess): void {
	if (!managed.child) return
	count(record, `kills of ${managed.role}`)
	managed.endRequested = true
	managed.killedAt = performance.now()
	managed.child.kill('SIGKILL')
}

/** Stops a process with SIGTERM; kills it after {@link GRACE_MS}. */
export function stopProcess(record: SoakRecord, managed: ManagedProcess): void {
	const { child } = managed
	if (!child || managed.stopRequestedAt !== undefined) return
	count(record, `stops of ${managed.role}`)
	managed.endRequested = true
	managed.stopRequestedAt = performance.now()
	child.kill('SIGTERM')
	setTimeout(() => {
		if (managed.child !== child) return
		managed.killedAt = performance.now()
		child.kill('SIGKILL')
	}, GRACE_MS)
}

/**
 * Kills a process for good; resolves when it has exited. On a busy machine the next
 * soak would otherwise bind its addresses before this process has released them.
 */
export function terminateProcess(managed: ManagedProcess): Promise<void> {
	managed.keepRunning = false
	managed.endRequested = true
	const { child, predecessors } = managed
	const running = [...predecessors, ...(child ? [child] : [])]
	const ends = running.map(one => {
		one.kill('SIGKILL')
		return new Promise<void>(resolve => one.once('exit', () => resolve()))
	})
	return Promise.all(ends).then(() => {})
}
