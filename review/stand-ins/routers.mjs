import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	createWriteStream, mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
/** Words of `run` in the deploy file. */
const command = ['node', '--max-old-space-size=64', '--max-semi-space-size=2', 'target/jasminehead.cjs'];
/** Port of the metrics listener, as the deploy file names it. */
const metricsPort = 7610;

async function isFree(host, port) {
	const server = net.createServer();
	server.listen(port, host);
	try {
		await once(server, 'listening');
	} catch {
		return false;
	}

	server.close();
	await once(server, 'close');
	return true;
}

/** Finds loopback addresses and ports on which nothing listens. */
async function findAddresses(count) {
	for (let attempt = 0; attempt < 50; attempt++) {
		const network = `127.${10 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
		const base = 20_000 + (Math.floor(Math.random() * 1000) * 10);
		const hosts = Array.from({length: count}, (_, i) => `${network}.${i + 1}`);
		const checks = hosts.flatMap(host => [metricsPort, base, base + 1, base + 2, base + 3, base + 4].map(async port => isFree(host, port)));
		const results = await Promise.all(checks);
		if (results.every(Boolean)) {
			return {
				hosts, ports: {
					front: base, ready: base + 1, control: base + 2, directory: base + 3, peers: base + 4,
				},
			};
		}
	}

	throw new Error('no free addresses found');
}

/** Sends one HTTP request on a new connection; resolves with status, headers and body, or with status 0 if the connection fails. */
export async function call({host, port, method = 'GET', path: target, headers = {}, body, timeoutMs = 5000}) {
	return new Promise(resolve => {
		const req = http.request({
			host, port, method, path: target, headers, agent: false, timeout: timeoutMs,
		}, res => {
			const chunks = [];
			res.on('data', chunk => chunks.push(chunk));
			const finish = () => resolve({
				status: res.statusCode, headers: res.headers, text: Buffer.concat(chunks).toString('utf8'), isComplete: res.complete,
			});
			res.on('end', finish).on('error', finish);
		});
		req.on('timeout', () => req.destroy(new Error('timeout')));
		req.on('error', err => resolve({
			status: 0, headers: {}, text: err.message, isComplete: false,
		}));
		req.end(body);
	});
}

/** Router processes as the deploy file starts them, each on a loopback address of its own; the first `disks` of them have a disk. */
export class Routers {
	static async create(count, {disks = Math.min(3, count), listAddress, bounds = {}}) {
		const {hosts, ports} = await findAddresses(count);
		return new Routers(hosts, ports, {disks, listAddress, bounds});
	}

	constructor(hosts, ports, options) {
		this.hosts = hosts;
		this.ports = ports;
		this._options = options;
		this._folder = mkdtempSync(path.join(os.tmpdir(), 'review-'));
		this._processes = new Map();
		this._isFirstStart = true;
		// Also if the script fails or is ended, no process that it started stays.
		process.once('exit', () => {
			for (const child of this._processes.values()) {
				child.kill('SIGKILL');
			}
		});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => process.exit(2));
		}

		/** Hosts whose control addresses the settings name. */
		this.seeds = hosts.slice(0, 3);
	}

	/** Starts the processes for the first time and waits until they listen. */
	async start(hosts = this.hosts) {
		for (const host of hosts) {
			this.startProcess(host);
		}

		await Promise.all(hosts.map(async host => this._waitUntilListening(host)));
		this._isFirstStart = false;
	}

	/** Adds a process with an empty disk and waits until it listens. */
	async addProcess(host) {
		this.startProcess(host);
		await this._waitUntilListening(host);
	}

	/** Stops a process for good: SIGTERM, and SIGKILL after `graceMs`. */
	async removeProcess(host, graceMs) {
		const child = this._processes.get(host);
		const exited = once(child, 'exit');
		child.kill('SIGTERM');
		const timer = setTimeout(() => child.kill('SIGKILL'), graceMs);
		await exited;
		clearTimeout(timer);
		this._processes.delete(host);
	}

	/** Starts the process of a host without waiting for it. */
	startProcess(host) {
		const file = path.join(this._folder, `${host}.conf`);
		const dataFolder = path.join(this._folder, host);
		mkdirSync(dataFolder, {recursive: true});
		writeFileSync(file, this._settings(host, dataFolder));
		const child = spawn(command[0], command.slice(1), {
			cwd: repository, env: {PATH: process.env.PATH, HOME: process.env.HOME, JASMINEHEAD_SETTINGS: file}, stdio: ['ignore', 'pipe', 'pipe'],
		});
		const log = createWriteStream(path.join(this._folder, `${host}.log`), {flags: 'a'});
		child.stdout.pipe(log, {end: false});
		child.stderr.pipe(log, {end: false});
		this._processes.set(host, child);
		return child;
	}

	signal(host, name) {
		this._processes.get(host)?.kill(name);
	}

	async publish(configuration) {
		for (let attempt = 0; attempt < 100; attempt++) {
			const host = this.hosts[attempt % this._options.disks];
			const {status} = await call({
				host, port: this.ports.control, method: 'PUT', path: '/v1/config', headers: {'content-type': 'application/json'}, body: JSON.stringify(configuration),
			});
			if (status === 200) {
				return;
			}

			await sleep(100);
		}

		throw new Error('the configuration was not acknowledged');
	}

	/** Waits until every process reports that it is ready. */
	async waitUntilReady(hosts = this.hosts) {
		for (const host of hosts) {
			for (let attempt = 0; ; attempt++) {
				const {status} = await call({host, port: this.ports.ready, path: '/v1/ready'});
				if (status === 200) {
					break;
				}

				if (attempt > 200) {
					throw new Error(`${host} is not ready`);
				}

				await sleep(100);
			}
		}
	}

	/** Ends all processes and removes their files. */
	async stop() {
		await Promise.all([...this._processes.values()].map(async child => {
			if (child.exitCode === null && child.signalCode === null) {
				const exited = once(child, 'exit');
				child.kill('SIGKILL');
				await exited;
			}
		}));
		if (process.env.KEEP) {
			console.log(this._folder);
		} else {
			rmSync(this._folder, {recursive: true, force: true});
		}
	}

	async _waitUntilListening(host) {
		for (let attempt = 0; attempt < 200; attempt++) {
			const {status} = await call({host, port: this.ports.ready, path: '/v1/ready'});
			if (status !== 0) {
				return;
			}

			await sleep(50);
		}

		throw new Error(`${host} does not listen`);
	}

	_settings(host, dataFolder) {
		const {ports, hosts} = this;
		const {disks, listAddress, bounds} = this._options;
		const index = hosts.indexOf(host);
		const zones = ['et-central-a', 'et-central-b', 'et-central-c'];
		const values = {
			graceS: 8, catchUpS: 4, contactMs: 3000, ackMs: 4000, drainMs: 3000, configApplyMs: 2000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 62, leaseMs: 3000, ttl_max_s: 5, ...bounds, // eslint-disable-line camelcase -- field of the settings
		};
		return [
			`node=front-${index + 1}`,
			'role=router',
			'machineClass=front',
			'serves=front,control,directory',
			`ip=${host}`,
			`zone=${zones[index % zones.length]}`,
			'region=et-central',
			`listen.front=${host}:${ports.front}`,
			`listen.ready=${host}:${ports.ready}`,
			`listen.control=${host}:${ports.control}`,
			`listen.directory=${host}:${ports.directory}`,
			`internalPorts=${ports.peers},${ports.peers}`,
			`seeds=${this.seeds.map(seed => `${seed}:${ports.control}`).join(',')}`,
			`bootstrap=${this._isFirstStart}`,
			...(index < disks ? [`dataDir=${dataFolder}`] : []),
			'discovery=cloud',
			'entry=directory',
			`cloud.address=${listAddress}`,
			'cloud.ratePerS=44.0',
			'cloud.lagMs=800',
			...Object.entries(values).map(([name, value]) => `bounds.${name}=${value}`),
			'',
		].join('\n');
	}
}
