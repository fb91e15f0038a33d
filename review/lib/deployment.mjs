/**
 * A small deployment on loopback addresses: the store, engines in one group with an agent
 * beside each, and entries. Entries and agents are the project's own programs, started
 * with the commands of deploy/system.toml and settings like those of `cradle-huts`.
 */

import { spawn } from 'node:child_process'
import {
	mkdtempSync,
	openSync,
	readFileSync,
	rmSync,
	writeFileSync,
} from 'node:fs'
import { createServer, get } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { startEngine } from './engine.mjs'
import { sleep } from './record.mjs'
import { startStore } from './store.mjs'

const ROOT = fileURLToPath(new URL('../..', import.meta.url))
/** The bounds of `cradle-huts` that a process reads. */
const BOUNDS = {
	contact_ms: 3000,
	drain_ms: 2000,
	grace_s: 8,
	loss_slack_ms: 200,
	config_apply_ms: 2000,
	retry_budget_ratio: 0.2,
	budget_window_s: 10,
	budget_slack: 90,
	recovery_s: 12,
	pass_ms: 120,
	stall_ms: 1500,
	require_fencing: true,
}
export const GRACE_MS = BOUNDS.grace_s * 1_000
export const HOST = 'ficu95.example'
export const STREAM_PATH = '/lohu930/2f'
export const KEY = 'n2ctnfzs989anu6wsjnb'
const METRICS_PORT = 9_464

/** Starts a deployment and waits until all of its entries are ready. */
export async function startDeployment(
	record,
	{ fronts, ranks, places = 20, behaviour, startRank = startEngine },
) {
	const folder = mkdtempSync(join(tmpdir(), 'review-'))
	const children = new Set()
	const servers = []
	// However the script ends, nothing of what it has started outlives it.
	process.on('exit', () => {
		for (const child of children) child.kill('SIGKILL')
		rmSync(folder, { recursive: true, force: true })
	})
	// An error of the script itself says nothing of the rule.
	process.on('uncaughtException', err => {
		record.note(`the case could not run: ${err.stack}`)
		record.save()
		process.exit(2)
	})
	process.on('SIGTERM', () => process.exit(2))
	process.on('SIGINT', () => process.exit(2))
	const stop = async () => {
		for (const child of children) child.kill('SIGKILL')
		for (let n = 0; children.size > 0 && n < 40; n++) await sleep(50)
		for (const server of servers) {
			server.closeAllConnections()
			server.close()
		}
		rmSync(folder, { recursive: true, force: true })
	}
	try {
		const net = await chooseNet(fronts + ranks)
		const storeIp = `${net.prefix}.1`
		const store = await startStore(storeIp, net.store)
		servers.push(store.server)
		const engines = []
		for (let rank = 0; rank < ranks; rank++) {
			const place = {
				id: `i-7f3a91c${rank}`,
				ip: `${net.prefix}.${100 + rank}`,
				port: net.app,
				rank,
				size: ranks,
			}
			const engine = await startRank(place, behaviour)
			servers.push(engine.server)
			engines.push(engine)
			store.put(`servers/${engine.id}`, recordOf(engine))
		}
		store.put('op/config', configuration(7, places))
		const seeds = Array.from(
			{ length: Math.min(3, fronts) },
			(_, at) => `${net.prefix}.${10 + at}:${net.control}`,
		).join(',')
		const shared = [
			'region=tas-north',
			'zones.launceston-a=tas-north',
			'zone=launceston-a',
			`internal_port_range=${net.agent},${net.agent + 15}`,
			`seed_nodes=${seeds}`,
			'bootstrap=true',
			'discovery=platform',
			'entry=vip',
			'heartbeat_ms=1200',
			'contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts',
			...Object.entries(BOUNDS).map(([key, value]) => `bounds.${key}=${value}`),
			`platform.address=${storeIp}:${net.store}`,
			'platform.form=read',
		]
		const start = (name, role, lines) => {
			const path = join(folder, `${name}.conf`)
			writeFileSync(path, `${[...lines, ...shared].join('\n')}\n`)
			const log = openSync(join(folder, `${name}.log`), 'a')
			const [program, ...args] = commandOf(role)
			const child = spawn(program, args, {
				cwd: ROOT,
				env: { PATH: process.env.PATH, JUNIPERHOOK_NODE_FILE: path },
				stdio: ['ignore', log, log],
			})
			children.add(child)
			child.on('exit', (code, signal) => {
				children.delete(child)
				record.note(`${name} exits: ${signal ?? code}`)
			})
			return child
		}
		for (const { ip, rank } of engines)
			start(`side-${rank}`, 'agent', [
				`node_name=side-${rank}`,
				'machine_class=side',
				'serves=side',
				`ip=${ip}`,
				'limits.memory_mb=218',
				'limits.max_fds=1494',
				'limits.link_mbps=14.0',
				`app=${ip}:${net.app}`,
				'service=huvo11a',
			])
		const entries = []
		for (let at = 0; at < fronts; at++) {
			const name = `front-${at}`
			const ip = `${net.prefix}.${10 + at}`
			const child = start(name, 'entry', [
				`node_name=${name}`,
				'machine_class=front',
				'serves=front,control',
				`ip=${ip}`,
				`listen.front=${ip}:${net.front}`,
				`listen.ready=${ip}:${net.ready}`,
				`listen.control=${ip}:${net.control}`,
				'limits.memory_mb=350',
				'limits.max_fds=4200',
				'limits.link_mbps=1000.0',
			])
			entries.push({ name, ip, port: net.front, child })
		}
		for (const { ip, name } of entries) {
			for (let n = 0; (await statusOf(ip, net.ready)) !== 200; n++) {
				if (n > 200) throw new Error(`${name} is not ready within 20 s`)
				await sleep(100)
			}
			record.note(`${name} is ready at ${ip}:${net.front}`)
		}
		return { engines, entries, stop }
	} catch (err) {
		await stop()
		throw err
	}
}

/** Returns the words of a role's command in deploy/system.toml. */
function commandOf(role) {
	const file = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8')
	const section = file.split(`[roles.${role}]`)[1]
	return /^run = "(.*)"$/m.exec(section)[1].split(' ')
}

/** Chooses loopback addresses and ports on which nothing listens. */
async function chooseNet() {
	for (;;) {
		const draw = (from, count) => from + Math.floor(Math.random() * count)
		const prefix = `127.${draw(20, 200)}.${draw(1, 250)}`
		const base = draw(20_000, 10_000)
		const net = {
			prefix,
			store: base,
			front: base + 1,
			ready: base + 2,
			control: base + 3,
			app: base + 4,
			agent: base + 5,
		}
		const ports = [METRICS_PORT, base, base + 1, base + 2, base + 3, base + 4]
		const free = await Promise.all(
			[...ports, base + 5].map(port => isFree(`${prefix}.10`, port)),
		)
		if (free.every(Boolean)) return net
	}
}

function isFree(ip, port) {
	return new Promise(resolve => {
		const server = createServer()
		server.once('error', () => resolve(false))
		server.listen(port, ip, () => server.close(() => resolve(true)))
	})
}

function statusOf(ip, port) {
	return new Promise(resolve => {
		const req = get(
			{ host: ip, port, path: '/v1/ready', agent: false },
			res => {
				res.resume()
				resolve(res.statusCode)
			},
		)
		req.setTimeout(900, () => req.destroy())
		req.on('error', () => resolve(0))
	})
}

function recordOf({ ip, port, rank }) {
	return {
		service: 'huvo11a',
		address: `${ip}:${port}`,
		zone: 'launceston-a',
		config_version: 'v1',
		slots: 8,
		phase: 'ready',
		cold_remaining_ms: 0,
		stage: 'both',
		models: [{ name: 'm', config_version: 1, adapters: [] }],
		group: { name: 'g-1', epoch: 1, rank, phase: 'open' },
		sequence: 1,
	}
}

function configuration(version, places) {
	return {
		config_version: version,
		routes: [
			{
				name: 'r-2yhvz3p',
				hostname: HOST,
				path_prefix: '/lohu930/',
				route_type: 'streaming',
				timeout_ms: 8000,
				target_latency_ms: 401,
				priority: 1,
				service: 'huvo11a',
				max_attempts: 2,
				allow_anonymous: false,
				session_affinity: true,
				stream_resume: true,
				gap_aim_ms: 120,
			},
		],
		services: [
			{
				name: 'huvo11a',
				health_path: '/health',
				max_connections: 348,
				protocol: 'h1',
				tls: false,
				engine: {
					slots: 8,
					kv_capacity_tokens: 248_000,
					kv_token_bytes: 144_384,
					link_mbps: 180_000,
					stride: 5,
					models: [{ name: 'm' }],
					step_ms: 5.85,
					per_seq_ms: 0.5325,
					context_per_k: 0.054,
					read_per_s: 61_200,
					pairs_per_m: 0.325,
					chunk: 512,
					report_lag_ms: 200,
					usual: { prompt: 835, answer: 139 },
					sets: 4,
					experts: 64,
					places,
					spare: 2,
					expert_mb: 880,
					expert_share: 0.85,
					form_ms: 600,
				},
			},
		],
		limits: {
			max_header_bytes: 16_384,
			max_body_bytes: 4_194_304,
			header_timeout_ms: 3000,
			idle_timeout_ms: 15_000,
		},
		tenants: [{ name: 'hule930', api_keys: [KEY], priority: 1 }],
	}
}

/** Returns a streaming request like those on the sheet. */
export function streamRequest(attempt) {
	const prompt = '{"prompt":"write a note on the track to the hut"}'
	return {
		method: 'POST',
		path: STREAM_PATH,
		headers: {
			Host: HOST,
			'X-Attempt-Id': attempt,
			'X-Model': 'm',
			'X-Token-Usage': '714,348',
			'X-Prompt-Prefix': `5c1e07a2:40,${attempt.slice(-8)}:674`,
			'X-Deadline-Ms': '8000',
			Authorization: `Token ${KEY}`,
		},
		body: prompt,
	}
}
