/** Stand-ins of a small deployment: router processes, the platform's list, the operator, servers of an application service and engines. */
import {Buffer} from 'node:buffer';
import {spawn} from 'node:child_process';
import {
	appendFileSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

export {setTimeout as sleep} from 'node:timers/promises';

const root = path.resolve(import.meta.dirname, '../..');
const startedMs = performance.now();

/** Writes lines to the record of a case. */
export class Record {
	constructor(file) {
		this._file = file;
		writeFileSync(file, '');
	}

	line(text) {
		appendFileSync(this._file, `${((performance.now() - startedMs) / 1000).toFixed(3)} ${text}\n`);
	}
}

/** Offsets of the ports of a router process from the first one; the same on all machines. The internal ports follow. */
const portOffsets = {
	front: 1, ready: 4, control: 9, directory: 0, internal: 20,
};
/** Port of the metrics, which the deploy file names. */
const metricsPort = 7610;

/** One router process on a loopback address of its own, as the platform starts it. */
export class Router {
	constructor(fleet, index) {
		this.fleet = fleet;
		this.index = index;
		this.folder = path.join(fleet.folder, `machine-${index + 1}`);
		this.settingsFile = path.join(fleet.folder, `machine-${index + 1}.conf`);
		this.starts = 0;
		this.exits = [];
		mkdirSync(this.folder, {recursive: true});
	}

	get ip() {
		return `${this.fleet.network}.${this.index + 1}`;
	}

	start({isFirst = false} = {}) {
		const {fleet} = this;
		writeFileSync(this.settingsFile, settingsText(this, isFirst));
		this.starts++;
		const log = openSync(path.join(fleet.folder, `machine-${this.index + 1}.log`), 'a');
		const [command, ...args] = fleet.run;
		const child = spawn(command, args, {
			cwd: root,
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, LANG: process.env.LANG ?? 'C', JASMINEHEAD_SETTINGS: this.settingsFile,
			},
			stdio: ['ignore', log, log],
		});
		this.child = child;
		this.isRunning = true;
		child.once('exit', (code, signal) => {
			if (this.child === child) {
				this.isRunning = false;
			}

			this.exits.push({code, signal});
			fleet.record.line(`router ${this.index + 1} exits, code ${code}, signal ${signal}`);
		});
		fleet.record.line(`router ${this.index + 1} starts at ${this.ip}`);
	}

	async kill(signal = 'SIGKILL') {
		const {child} = this;
		if (child.exitCode !== null || child.signalCode !== null) {
			return;
		}

		this.fleet.record.line(`router ${this.index + 1} gets ${signal}`);
		const ended = new Promise(resolve => {
			child.once('exit', resolve);
		});
		child.kill(signal);
		await ended;
	}

	/** Why Node.js ended the process, as its output says it. */
	lastWords() {
		const log = readFileSync(path.join(this.fleet.folder, `machine-${this.index + 1}.log`), 'utf8');
		return /FATAL ERROR.*/.exec(log.slice(-20_000))?.[0] ?? 'no message';
	}

	/** Resident memory in megabytes; 0 if the process does not run. */
	memoryMb() {
		try {
			return Number(/VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))[1]) * 1024 / 1e6;
		} catch {
			return 0;
		}
	}

	address(port) {
		return {host: this.ip, port: this.fleet.firstPort + portOffsets[port]};
	}
}

function settingsText(router, isFirst) {
	const {fleet} = router;
	const {ip} = router;
	const zone = fleet.zones[router.index % fleet.zones.length];
	const seeds = fleet.routers.slice(0, 3).map(seed => `${seed.ip}:${fleet.firstPort + portOffsets.control}`).join(',');
	const hasDisk = router.index < fleet.disks;
	const ports = Object.fromEntries(Object.entries(portOffsets).map(([name, offset]) => [name, fleet.firstPort + offset]));
	const fields = {
		node: `front-${zone}-${router.index + 1}`,
		role: 'router',
		machineClass: 'front',
		serves: 'front,control,directory',
		ip,
		zone,
		region: 'et-central',
		...Object.fromEntries(fleet.zones.map(name => [`zones.${name}`, 'et-central'])),
		'listen.front': `${ip}:${ports.front}`,
		'listen.ready': `${ip}:${ports.ready}`,
		'listen.control': `${ip}:${ports.control}`,
		'listen.directory': `${ip}:${ports.directory}`,
		internalPorts: `${ports.internal},${ports.internal + 15}`,
		seeds,
		bootstrap: String(isFirst),
		inFaultBudget: String(hasDisk),
		'limits.cpuShare': '0.608',
		'limits.cores': '2',
		'limits.memoryMb': '200',
		'limits.maxFds': '4100',
		'limits.linkMbps': '1000.0',
		...(hasDisk && {'limits.diskMb': '64', dataDir: router.folder}),
		discovery: 'cloud',
		entry: 'directory',
		heartbeatMs: '1200',
		contracts: 'base,drain,config,cost,retry,recover,split,stream,engine,tenants,quota',
		'faultTolerance.machines': '1',
		'faultTolerance.zones': '0',
		'faultTolerance.regions': '0',
		'bounds.seedLagS': '3',
		'bounds.reuseAfterS': '2',
		'bounds.contactMs': '3000',
		'bounds.ackMs': '4000',
		'bounds.catchUpS': '4',
		'bounds.drainMs': '3000',
		'bounds.graceS': '8',
		'bounds.lossSlackMs': '200',
		'bounds.configApplyMs': '2000',
		'bounds.rollbackSlackMs': '250',
		'bounds.maxSkewMs': '5000',
		'bounds.strictRevoke': 'false',
		'bounds.revokeMs': '5000',
		'bounds.retryBudgetRatio': '0.2',
		'bounds.budgetWindowS': '10',
		'bounds.budgetSlack': '62',
		'bounds.quotaWindowS': '8',
		'bounds.quotaOvershoot': '0.1',
		'bounds.quotaSlack': '190000',
		'bounds.recoveryS': '12',
		'bounds.transitMs': '120',
		'bounds.reuseWindowS': '7.2',
		'bounds.requireFencing': 'true',
		'bounds.leaseMs': '3000',
		'bounds.thawMs': '300',
		'bounds.ttl_max_s': '5',
		configMode: 'highest',
		'cloud.address': fleet.list.address,
		'cloud.ratePerS': '44.0',
		'cloud.duties': '',
		'cloud.lagMs': '800',
	};
	return Object.entries(fields).map(([name, value]) => `${name}=${value}\n`).join('');
}

/** The platform's list of servers. */
class ServerList {
	constructor() {
		this.entries = [];
		this._server = http.createServer((req, res) => {
			const body = JSON.stringify({instances: this.entries, next: null});
			res.writeHead(200, {'content-type': 'application/json', 'content-length': Buffer.byteLength(body)});
			res.end(body);
		});
	}

	async start(host) {
		await new Promise(resolve => {
			this._server.listen(0, host, resolve);
		});
		this.address = `${host}:${this._server.address().port}`;
	}

	stop() {
		this._server.close();
		this._server.closeAllConnections();
	}
}

/** The router processes of a case, with the platform and the operator. */
export class Fleet {
	constructor({record, size = 3, disks = 3}) {
		this.record = record;
		this.zones = ['et-central-a', 'et-central-b', 'et-central-c'];
		this.disks = disks;
		this.folder = mkdtempSync(path.join(tmpdir(), 'case-'));
		this.list = new ServerList();
		this.routers = [];
		this.run = readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').match(/^run = "(.*)"$/m)[1].split(' ');
		for (let i = 0; i < size; i++) {
			this.routers.push(new Router(this, i));
		}
	}

	async start() {
		await this._findFreeNetwork();
		await this.list.start(`${this.network}.200`);
		for (const router of this.routers) {
			router.start({isFirst: true});
		}
	}

	/** Chooses loopback addresses and ports that no other process uses. */
	async _findFreeNetwork() {
		for (let i = 0; i < 50; i++) {
			this.network = `127.${60 + ((process.pid + (7 * i)) % 60)}.${1 + ((Math.floor(process.pid / 60) + i) % 250)}`;
			this.firstPort = 18_000 + (40 * i);
			const candidates = this.routers.flatMap(({ip}) => [...Object.values(portOffsets).map(offset => [ip, this.firstPort + offset]), [ip, metricsPort]]);
			const areFree = await Promise.all(candidates.map(async ([host, port]) => isFree(host, port)));
			if (areFree.every(Boolean)) {
				return;
			}
		}

		throw new Error('no free loopback addresses');
	}

	/** Sends a configuration as the operator does, until one machine acknowledges it. Returns whether one did within the time. */
	async publish(config, {withinMs = 20_000, first = 0} = {}) {
		const body = JSON.stringify(config);
		const endMs = performance.now() + withinMs;
		for (let i = first; performance.now() < endMs; i++) {
			const router = this.routers[i % this.routers.length];
			const answer = await call(router.address('control'), {
				method: 'PUT', path: '/v1/config', body, headers: {'content-type': 'application/json'},
			}, 1500);
			this.record.line(`operator sends version ${config.version} to router ${router.index + 1}: ${answer.status ?? answer.error}`);
			if (answer.status === 200) {
				return true;
			}

			await sleep(200);
		}

		return false;
	}

	/** Waits until all running machines say that they are ready. */
	async waitUntilReady(withinMs = 20_000) {
		const endMs = performance.now() + withinMs;
		while (performance.now() < endMs) {
			const answers = await Promise.all(this.routers.filter(({isRunning}) => isRunning).map(async router => call(router.address('ready'), {path: '/v1/ready'}, 1000)));
			if (answers.length > 0 && answers.every(({status}) => status === 200)) {
				return true;
			}

			await sleep(100);
		}

		return false;
	}

	async stop() {
		await Promise.all(this.routers.map(async router => {
			if (router.child) {
				router.child.kill('SIGCONT');
				await router.kill();
			}
		}));
		this.list.stop();
		rmSync(this.folder, {recursive: true, force: true});
	}
}

async function isFree(host, port) {
	const server = net.createServer();
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Exit codes of a case. */
const held = 0;
const broken = 1;
const couldNotRun = 2;
/** Longest time that a case may run, in milliseconds. */
const longestRunMs = 115_000;

/**
Runs a case and ends the process: with 1 if `check` returns true (the rule was broken), 0 if it returns false, and 2 if it throws. Ends all
processes that it started.
*/
export async function runCase(folder, options, check) {
	const record = new Record(path.join(folder, 'record.txt'));
	const fleet = new Fleet({record, ...options});
	const hasTrouble = process.env.TROUBLE !== '0';
	let code = couldNotRun;
	const finish = async () => {
		await fleet.stop();
		record.line(`exit code ${code}`);
		console.log(`exit code ${code}`);
		process.exit(code); // eslint-disable-line unicorn/no-process-exit -- the stand-ins' connections would keep the process alive
	};

	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, finish);
	}

	setTimeout(() => {
		record.line('the case took too long');
		finish();
	}, longestRunMs);
	try {
		record.line(hasTrouble ? 'with the disruption' : 'without the disruption');
		await fleet.start();
		code = await check(fleet, hasTrouble) ? broken : held;
	} catch (err) {
		record.line(`could not run: ${err instanceof Error ? err.stack : err}`);
		code = couldNotRun;
	}

	await finish();
}

/** Publishes the first configuration and waits until all machines are ready and know the servers. Throws if that fails. */
export async function prepare(fleet, config = configuration(1)) {
	if (!await fleet.publish(config) || !await fleet.waitUntilReady()) {
		throw new Error('the system did not become ready');
	}

	await sleep(2500);
}

/** Makes one HTTP call on a connection of its own. Resolves with the status, headers and body, or with an error. */
export async function call({host, port}, {method = 'GET', path: target, headers = {}, body}, timeoutMs) {
	return new Promise(resolve => {
		const chunks = [];
		const req = http.request({
			host, port, method, path: target, headers: body === undefined ? headers : {...headers, 'content-length': Buffer.byteLength(body)}, agent: false,
		}, res => {
			res.on('data', chunk => {
				chunks.push(chunk);
			});
			res.on('end', () => {
				finish({status: res.statusCode, headers: res.headers, body: Buffer.concat(chunks).toString()});
			});
			res.on('error', err => {
				finish({
					error: `cut in the answer: ${err.code}`, status: undefined, headStatus: res.statusCode, body: Buffer.concat(chunks).toString(),
				});
			});
		});
		const timer = setTimeout(() => {
			req.destroy();
			finish({error: 'no answer in time'});
		}, timeoutMs);
		const finish = answer => {
			clearTimeout(timer);
			resolve(answer);
		};

		req.on('error', err => {
			finish({error: err.code ?? err.message});
		});
		req.end(body);
	});
}

let nextNumber = 1;

export function newId(prefix = 'r') {
	return `${prefix}${process.pid.toString(16)}${(nextNumber++).toString(16).padStart(6, '0')}`;
}

/** A server of the platform. `handle` gets each request and answers it. */
export class Server {
	constructor({fleet, service, stage, handle, slots = 6, zone = 'et-central-a', host}) {
		Object.assign(this, {
			fleet, service, stage, handle, slots, zone, host: host ?? `${fleet.network}.${100 + (nextNumber++ % 90)}`, id: `i-${newId('')}`,
		});
		this.server = http.createServer({keepAliveTimeout: 60_000}, (req, res) => {
			const chunks = [];
			req.on('data', chunk => {
				chunks.push(chunk);
			});
			req.on('end', () => {
				this._answer(req, res, Buffer.concat(chunks));
			});
		});
		this.holds = 1;
	}

	async start(port = 0) {
		await new Promise(resolve => {
			this.server.listen(port, this.host, resolve);
		});
		this.address = `${this.host}:${this.server.address().port}`;
		this.born = Date.now();
		this.entry = {
			id: this.id, service: this.service, address: this.address, zone: this.zone, version: 'v1', slots: this.slots, state: 'ready', coldLeftMs: 0, born: this.born,
			...(this.stage && {stage: this.stage, models: [{name: 'm', version: 1, adapters: []}]}),
		};
		this.fleet.list.entries.push(this.entry);
	}

	stop() {
		this.server.close();
		this.server.closeAllConnections();
	}

	_answer(req, res, body) {
		const send = (status, value, headers = {}) => {
			const text = JSON.stringify(value);
			res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
			res.end(text);
		};

		const expected = req.headers['expect-instance'];
		if (req.url === '/healthz') {
			send(200, {}, {'instance-id': this.id});
		} else if (expected !== undefined && expected !== this.id) {
			send(421, {}, {'not-run': '1', 'request-id': req.headers['request-id'] ?? ''});
		} else if (req.url === '/v1/hold-take') {
			send(200, {hold: `h${this.id}-${this.holds++}`});
		} else if (req.method === 'DELETE') {
			send(200, {});
		} else if (req.url === '/v1/report') {
			send(200, {
				stage: this.stage, models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 0, waiting: 0, running: 0, kvUsed: 0, kvTotal: 65_205, kvHandles: 0, born: this.born,
			});
		} else if (req.url === '/v1/order') {
			send(202, {});
		} else if (req.headers.stage === 'prefill') {
			const tokens = Number((req.headers['token-count'] ?? '0').split(',')[0]);
			setTimeout(() => {
				send(200, {kvHandle: newId('k'), tokens, version: 1}, {'request-id': req.headers['request-id'], 'weight-versions': '1'});
			}, 20);
		} else {
			this.handle(req, res, body, this);
		}
	}
}

export function proof(server, req) {
	return {'request-id': req.headers['request-id'], 'server-stamp': `${server.id}.${req.headers['request-id']}`};
}

/** Answers a plain request after `ms`. */
export function plainAnswer(ms = 10, body = 'x'.repeat(800)) {
	return (req, res, _body, server) => {
		setTimeout(() => {
			res.writeHead(200, {...proof(server, req), 'content-type': 'text/plain', 'content-length': Buffer.byteLength(body)});
			res.end(body);
		}, ms);
	};
}

/** One event of a stream. */
export function framedPiece(id) {
	return `id: ${id}\ndata: ${'x'.repeat(50)}\n\n`;
}

/** Answers with a stream of `pieces` events, one each `gapMs`. */
export function streamAnswer({pieces = 20, gapMs = 20} = {}) {
	return (req, res, _body, server) => {
		res.writeHead(200, {...proof(server, req), 'content-type': 'text/event-stream', 'weight-versions': '1'});
		let id = Number(req.headers['last-event-id'] ?? 0);
		const timer = setInterval(() => {
			id++;
			if (id > pieces) {
				clearInterval(timer);
				res.end();
			} else {
				res.write(framedPiece(id));
			}
		}, gapMs);
		res.on('close', () => {
			clearInterval(timer);
		});
	};
}

/** The configuration of the small deployment. */
export function configuration(version, extra = {}) {
	const engine = {
		slots: 64, kvCapacity: 65_205, kvTokenBytes: 18_432, linkMbps: 200_000, moves: true, backups: true, stride: 7, most: 12, handleTtlS: 0.5, switchS: 6, pinMs: 4000, holdMs: 2000, models: [{name: 'm'}],
	};
	const stream = (name, prefix, isResumable) => ({
		name, host: 'ficu95.example', pathPrefix: prefix, kind: 'stream', timeoutMs: 14_000, targetLatencyMs: 900, priority: 1, service: 'dossier', maxAttempts: isResumable ? 2 : 1, public: false, sticky: true, resumable: isResumable, targetGapMs: 300,
	});
	const plain = (name, prefix, kind) => ({
		name, host: 'ficu95.example', pathPrefix: prefix, kind, timeoutMs: 800, targetLatencyMs: 100, priority: 2, service: 'desk', maxAttempts: kind === 'safe' ? 2 : 1, public: false, sticky: false, resumable: false, targetGapMs: 0,
	});
	return {
		version,
		routes: [stream('sum', '/sum/', true), stream('note', '/note/', false), plain('post', '/post/', 'unsafe'), plain('read', '/read/', 'safe')],
		services: [
			{
				name: 'dossier', healthPath: '/healthz', maxConns: 390, protocol: 'h1', tls: false, engine,
			},
			{
				name: 'desk', healthPath: '/healthz', maxConns: 130, protocol: 'h1', tls: false,
			},
		],
		limits: {
			maxHeaderBytes: 16_384, maxBodyBytes: 4_194_304, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		tenants: [{
			name: 'hule930', apiKeys: ['i9n73hh2b9wu3fexd9dn'], priority: 1, unit: 'tokens', plainTokens: 200, ratePerS: 4_700_000, burst: 4_700_000,
		}],
		...extra,
	};
}

/** Headers of a client's request. */
export function clientHeaders(id, more = {}) {
	return {
		host: 'ficu95.example', 'request-id': id, 'deadline-ms': '1500', key: 'i9n73hh2b9wu3fexd9dn', ...more,
	};
}

export function modelHeaders(id, {prompt = 5000, output = 72, more = {}} = {}) {
	return clientHeaders(id, {
		'deadline-ms': '14000', model: 'm', 'token-count': `${prompt},${output}`, 'prompt-prefix': `5c1e07a2:200,${newId('e')}:${prompt - 200}`, ...more,
	});
}

/** Opens a raw connection. */
export async function connect({host, port}) {
	return new Promise((resolve, reject) => {
		const socket = net.connect({host, port}, () => {
			socket.off('error', reject);
			socket.on('error', () => undefined);
			resolve(socket);
		});
		socket.once('error', reject);
	});
}
