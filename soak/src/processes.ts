/**
 * The product's processes: each is started with a settings file, told by signals
 * and started again when it ends, as a platform would.
 */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { mkdirSync, openSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import {
	agentIp,
	agentStoreIp,
	entryIp,
	entryStoreIp,
	PORTS,
	relayIp,
} from './addresses.ts'
import { RETRIES } from './config.ts'
import type { SoakOptions, SoakRecord } from './types.ts'
import { count, recordViolation } from './types.ts'

const BUNDLE = fileURLToPath(
	new URL('../../platform/dist/main.js', import.meta.url),
)
const RESTART_MS = 150
/** Far beyond what Node takes to run its first line, also on a busy machine, ms. */
const NODE_START_MS = 1_000
/** From SIGTERM to SIGKILL, ms. */
export const GRACE_MS = 5_000
const SEED_NODES = 2

/** One process with all its lives. */
export interface ManagedProcess {
	readonly name: string
	readonly role: 'entry' | 'agent'
	/** Number of the entry, or rank of the agent. */
	readonly index: number
	readonly settingsPath: string
	readonly logPath: string
	child: ChildProcess | undefined
	/** Starts so far. */
	incarnation: number
	/** When the present life was started, ms. */
	startedAt: number
	/** Whether the soak has told the present life to end. */
	endRequested: boolean
	/** When the present life was told to stop by SIGTERM, ms. */
	stopRequestedAt: number | undefined
	/** When a life was last killed without warning, ms. */
	killedAt: number
	/** Whether it is to be started again when it ends. */
	keepRunning: boolean
}

/** Makes a process's folder and settings; it is not started. */
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
	}
	writeSettings(options, managed, 0)
	return managed
}

/** Writes a settings file; `edition` makes it differ from the last one. */
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

/** Starts a process; it is started again whenever it ends while it is wanted. */
export function startProcess(
	record: SoakRecord,
	managed: ManagedProcess,
	bundle = BUNDLE,
): void {
	const log = openSync(managed.logPath, 'a')
	const child = spawn(process.execPath, [bundle, managed.role], {
		env: { JUNIPERHOOK_NODE_FILE: managed.settingsPath },
		stdio: ['ignore', log, log],
	})
	managed.child = child
	managed.incarnation++
	managed.startedAt = performance.now()
	managed.endRequested = false
	managed.stopRequestedAt = undefined
	child.on('exit', (code, signal) => {
		managed.child = undefined
		if (!managed.endRequested)
			recordViolation(
				record,
				'ENDED',
				`${managed.name} ended by itself: ${code ?? signal}`,
			)
		if (managed.keepRunning)
			setTimeout(() => {
				if (managed.keepRunning) startProcess(record, managed, bundle)
			}, RESTART_MS)
	})
}

/**
 * Tells a process that its settings have changed. Until Node has started and
 * main.js runs, SIGHUP ends a process; none that young is told.
 */
export function signalSettingsChange({
	child,
	startedAt,
}: ManagedProcess): void {
	if (performance.now() - startedAt > NODE_START_MS) child?.kill('SIGHUP')
}

/** Kills a process without warning. */
export function killProcess(record: SoakRecord, managed: ManagedProcess): void {
	if (!managed.child) return
	count(record, `kills of ${managed.role}`)
	managed.endRequested = true
	managed.killedAt = performance.now()
	managed.child.kill('SIGKILL')
}

/** Asks a process to stop; it is killed when its time is over. */
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
 * Ends a process for good; resolves when it is gone. On a busy machine that takes
 * longer than until the next soak binds its addresses.
 */
export function terminateProcess(managed: ManagedProcess): Promise<void> {
	managed.keepRunning = false
	managed.endRequested = true
	const { child } = managed
	if (!child) return Promise.resolve()
	child.kill('SIGKILL')
	return new Promise(resolve => child.once('exit', () => resolve()))
}
