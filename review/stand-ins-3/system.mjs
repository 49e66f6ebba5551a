/** Small deployment for the scripts of the third review: router processes with the commands of the deploy file, a server list and an operator's client. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, statSync, writeFileSync, writeSync,
} from 'node:fs';
import http from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const repository = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');
/** Lag of the server list, in milliseconds; `cloud.lagMs` of the settings page. */
const listLagMs = 800;

/** Whether the script runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Addresses of this run: one network for each process id, so that runs beside each other do not meet. */
const network = `127.${1 + (Math.floor(process.pid / 250) % 250)}.${1 + (process.pid % 250)}`;
const basePort = 20_000 + ((process.pid % 2000) * 10);
const ports = {
	front: basePort, ready: basePort + 1, control: basePort + 2, directory: basePort + 3, peers: basePort + 4, cloud: basePort + 5, server: basePort + 6,
};

/** Writes what is sent, answered and run to `record.txt` in the folder of a case. */
export class Record {
	constructor(folder) {
		this._file = openSync(path.join(folder, 'record.txt'), 'w');
		this._startMs = performance.now();
	}

	get nowMs() {
		return performance.now() - this._startMs;
	}

	write(text) {
		writeSync(this._file, `${(this.nowMs / 1000).toFixed(3).padStart(8)} ${text}\n`);
	}

	close() {
		closeSync(this._file);
	}
}

/** The platform's list of servers. It shows each change after the lag. */
export class ServerList {
	constructor() {
		this._versions = [{atMs: -Infinity, entries: []}];
		this._server = http.createServer((req, res) => {
			const shownMs = performance.now() - listLagMs;
			const {entries} = this._versions.findLast(({atMs}) => atMs <= shownMs);
			res.writeHead(200, {'content-type': 'application/json'});
			res.end(JSON.stringify({instances: entries, next: null}));
		});
	}

	get address() {
		return `${network}.200:${ports.cloud}`;
	}

	async start() {
		await new Promise(resolve => {
			this._server.listen(ports.cloud, `${network}.200`, resolve);
		});
	}

	/** Replaces the entries. `isOld` if the list has shown them for long. */
	set(entries, isOld = false) {
		this._versions.push({atMs: isOld ? -Infinity : performance.now(), entries});
	}

	stop() {
		this._server.closeAllConnections();
		this._server.close();
	}
}

/** Returns a loopback address for a server. */
export function serverAddress(number) {
	return {host: `${network}.${100 + number}`, port: ports.server};
}

/** Processes of the system: all of them have a disk. */
export class Routers {
	constructor(record, {count = 3, cloudAddress, memoryMb = 200}) {
		this._record = record;
		this._folder = mkdtempSync(path.join(tmpdir(), 'review-3-'));
		this._cloudAddress = cloudAddress;
		this._memoryMb = memoryMb;
		this.hosts = Array.from({length: count}, (_, i) => `${network}.${i + 1}`);
		this._processes = new Map();
		this._ended = new Set();
		const [, run] = /^run = "(.*)"$/m.exec(readFileSync(path.join(repository, 'deploy/system.toml'), 'utf8'));
		this._command = run.split(' ');
	}

	get folder() {
		return this._folder;
	}

	get ports() {
		return ports;
	}

	pidOf(host) {
		return this._processes.get(host)?.pid;
	}

	startAll() {
		for (const host of this.hosts) {
			this.start(host, true);
		}
	}

	start(host, isFirst = false) {
		const file = path.join(this._folder, `${host}.conf`);
		writeFileSync(file, this._settings(host, isFirst));
		const [command, ...args] = this._command;
		const log = openSync(path.join(this._folder, `${host}.log`), 'a');
		const child = spawn(command, args, {
			cwd: repository, env: {PATH: process.env.PATH, JASMINEHEAD_SETTINGS: file}, stdio: ['ignore', log, log],
		});
		closeSync(log);
		this._processes.set(host, child);
		this._record.write(`router ${host} started`);
		child.once('exit', (code, signal) => {
			this._record.write(`router ${host} ended: code ${code}, signal ${signal}`);
			if (this._processes.get(host) === child) {
				this._processes.delete(host);
			}
		});
		return child;
	}

	/** Sends a signal to the process of a host. */
	signal(host, name) {
		this._record.write(`router ${host} gets ${name}`);
		this._processes.get(host)?.kill(name);
	}

	async waitForEnd(host) {
		const child = this._processes.get(host);
		if (child) {
			await new Promise(resolve => {
				child.once('exit', resolve);
			});
		}
	}

	async waitUntilReady(timeoutMs = 20_000) {
		const endMs = performance.now() + timeoutMs;
		for (const host of this.hosts) {
			let status = 0;
			while (status !== 200) {
				if (performance.now() > endMs) {
					throw new Error(`router ${host} is not ready`);
				}

				({status} = await call({host, port: ports.ready, path: '/v1/ready'}));
				await sleep(50);
			}
		}
	}

	/** Sends a configuration until it is acknowledged or refused, to one node after the other, as an operator does. */
	async publish(configuration, timeoutMs = 15_000) {
		const body = JSON.stringify(configuration);
		// A second, and more for large bodies.
		const patienceMs = 1000 + (body.length / 500);
		const endMs = performance.now() + timeoutMs;
		for (let i = 0; performance.now() < endMs; i++) {
			const host = this.hosts[i % this.hosts.length];
			const {status} = await call({
				host, port: ports.control, path: '/v1/config', method: 'PUT', headers: {'content-type': 'application/json'}, body, timeoutMs: patienceMs,
			});
			if (status === 200 || (status >= 400 && status < 500)) {
				this._record.write(`configuration ${configuration.version}: ${status} from ${host}`);
				return status;
			}

			await sleep(100);
		}

		this._record.write(`configuration ${configuration.version}: no clear answer`);
		return 0;
	}

	/** Returns the host and the resident memory, in MB, of each running process. */
	memoryMb() {
		return [...this._processes].flatMap(([host, {pid}]) => {
			try {
				return [[host, Math.round(Number(/VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))[1]) * 1024 / 1e6)]];
			} catch {
				// The process has just ended.
				return [];
			}
		});
	}

	/** Returns the size of each data folder, in MB. */
	diskMb() {
		return this.hosts.map(host => {
			const files = readdirSync(path.join(this._folder, host), {recursive: true, withFileTypes: true}).filter(file => file.isFile());
			return Math.round(files.reduce((sum, file) => sum + statSync(path.join(file.parentPath, file.name)).size, 0) / 1e6);
		});
	}

	/** Returns the largest resident memory of each process so far, in MB. */
	peakMemoryMb() {
		return this.hosts.map(host => Math.round(Number(/VmHWM:\s+(\d+)/.exec(readFileSync(`/proc/${this.pidOf(host)}/status`, 'utf8'))[1]) * 1024 / 1e6));
	}

	/** Ends all processes and removes their folder. */
	async stop() {
		this.killAll();

		for (const host of this.hosts) {
			await this.waitForEnd(host);
		}

		if (process.env.KEEP_LOGS) {
			process.stderr.write(`logs in ${this._folder}\n`);
		} else {
			rmSync(this._folder, {recursive: true, force: true});
		}
	}

	killAll() {
		for (const child of this._processes.values()) {
			child.kill('SIGKILL');
		}
	}

	_settings(host, isFirst) {
		const zones = ['zone-a', 'zone-b', 'zone-c'];
		const number = this.hosts.indexOf(host);
		const zone = zones[number % zones.length];
		const seeds = this.hosts.slice(0, 3).map(seed => `${seed}:${ports.control}`).join(',');
		return [
			`node=front-${zone}-${number + 1}`,
			'role=router',
			'machineClass=front',
			'serves=front,control,directory',
			`ip=${host}`,
			`zone=${zone}`,
			'region=region-1',
			...zones.map(name => `zones.${name}=region-1`),
			`listen.front=${host}:${ports.front}`,
			`listen.ready=${host}:${ports.ready}`,
			`listen.control=${host}:${ports.control}`,
			`listen.directory=${host}:${ports.directory}`,
			`internalPorts=${ports.peers},${ports.peers}`,
			`seeds=${seeds}`,
			`bootstrap=${isFirst}`,
			'inFaultBudget=true',
			'limits.cpuShare=0.608',
			'limits.cores=2',
			`limits.memoryMb=${this._memoryMb}`,
			'limits.maxFds=4100',
			'limits.linkMbps=1000.0',
			'limits.diskMb=64',
			`dataDir=${path.join(this._folder, host)}`,
			'discovery=cloud',
			'entry=directory',
			'heartbeatMs=1200',
			'contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota',
			'faultTolerance.machines=1',
			'faultTolerance.zones=0',
			'faultTolerance.regions=0',
			'bounds.seedLagS=3',
			'bounds.reuseAfterS=2',
			'bounds.contactMs=3000',
			'bounds.ackMs=4000',
			'bounds.catchUpS=4',
			'bounds.drainMs=3000',
			'bounds.graceS=8',
			'bounds.lossSlackMs=200',
			'bounds.configApplyMs=2000',
			'bounds.rollbackSlackMs=250',
			'bounds.maxSkewMs=5000',
			'bounds.strictRevoke=false',
			'bounds.revokeMs=5000',
			'bounds.retryBudgetRatio=0.2',
			'bounds.budgetWindowS=10',
			'bounds.budgetSlack=62',
			'bounds.quotaWindowS=8',
			'bounds.quotaOvershoot=0.1',
			'bounds.quotaSlack=190000',
			'bounds.recoveryS=12',
			'bounds.transitMs=120',
			'bounds.reuseWindowS=7.2',
			'bounds.requireFencing=true',
			'bounds.leaseMs=3000',
			'bounds.thawMs=300',
			'bounds.ttl_max_s=5',
			'configMode=highest',
			`cloud.address=${this._cloudAddress}`,
			'cloud.ratePerS=44.0',
			'cloud.duties=',
			`cloud.lagMs=${listLagMs}`,
			'',
		].join('\n');
	}
}

/** Makes one HTTP call on a new connection. Resolves with status 0 if there is no complete answer. */
export async function call({host, port, path: target, method = 'GET', headers = {}, body, timeoutMs = 5000}) {
	return new Promise(resolve => {
		let status = 0;
		let answerHeaders = {};
		const chunks = [];
		const finish = isWhole => {
			clearTimeout(timer);
			resolve({
				status: isWhole ? status : 0, headStatus: status, headers: answerHeaders, body: Buffer.concat(chunks).toString(), isWhole,
			});
		};

		const req = http.request({
			host, port, path: target, method, agent: false, headers: {...headers, ...(body !== undefined && {'content-length': Buffer.byteLength(body)})},
		}, res => {
			status = res.statusCode;
			answerHeaders = res.headers;
			res.on('data', chunk => {
				chunks.push(chunk);
			});
			res.once('end', () => {
				finish(res.complete);
			});
			res.once('error', () => {
				finish(false);
			});
		});
		const timer = setTimeout(() => {
			req.destroy();
			finish(false);
		}, timeoutMs);
		req.once('error', () => {
			finish(false);
		});
		req.end(body);
	});
}

/**
Starts the stand-ins and the routers, runs a case and ends everything. Exits with 1 if the case returns true, which means that the rule was
broken, with 0 if it returns false, and with 2 if it throws.
*/
export async function runCase({
	record, routers, servers, list,
}, check) {
	let exitCode = 2;
	process.once('SIGTERM', () => {
		routers.killAll();
		rmSync(routers.folder, {recursive: true, force: true});
		process.exit(2);
	});
	try {
		await list.start();
		await Promise.all(servers.map(async server => server.start()));
		list.set(servers.map(({entry}) => entry), true);
		routers.startAll();
		exitCode = await check() ? 1 : 0;
	} catch (err) {
		record.write(`the case could not run: ${err.stack}`);
		process.stderr.write(`${err.stack}\n`);
	}

	await routers.stop();
	for (const server of servers) {
		server.stop();
	}

	list.stop();
	record.close();
	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- timers of a case must not keep the script alive
}
