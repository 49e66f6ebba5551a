import {execFile} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {promisify} from 'node:util';
import {request} from 'undici';
import type {Disposable} from '../common/core/disposable.js';
import {Cluster, defaultSettings, operatorToken} from './cluster.js';

const run = promisify(execFile);
const pollMs = 50;
/** How long a direct operator request may take until it is tried elsewhere, in milliseconds. */
const operatorTimeoutMs = 1000;

export type SystemOptions = {
	readonly name: string;
	readonly controls: number;
	readonly entries: number;
	readonly zones: readonly string[];
	/** Shared configuration; the addresses of its upstreams are replaced by those of test doubles. */
	readonly configuration: string;
	/** Further arguments of the test double of an upstream; they override those from the configuration. */
	readonly doubleArguments?: (upstream: string) => readonly string[];
};

/** Answer of the operator listener. */
export type OperatorAnswer = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

export type Call = {
	readonly vm: string;
	readonly key?: string;
	readonly method?: 'GET' | 'POST';
	readonly path: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

/** A running system with test doubles behind it, driven through its operator commands. */
export class System implements Disposable {
	/** Starts every process, applies the configuration and waits until all are ready. */
	static async start(options: SystemOptions): Promise<System> {
		const cluster = new Cluster({
			controls: options.controls, entries: options.entries, zones: options.zones, buildSettings: defaultSettings(options.name, 'region-1'),
		});
		try {
			await cluster.start();
			const text = await cluster.startDoubles(options.configuration, options.doubleArguments);
			await cluster.waitReady(cluster.plans.filter(({role}) => role === 'control').map(({vm}) => vm));
			const system = new System(cluster, options.name, text);
			await system.applyConfiguration(text, 0);
			await cluster.waitReady();
			return system;
		} catch (err) {
			await cluster.dispose();
			throw err;
		}
	}

	private _files = 0;

	private constructor(readonly cluster: Cluster, private readonly _name: string, readonly configuration: string) {}

	/** Runs an operator command against the named VM, by default the first control VM that answers; returns its JSON. */
	async operate(args: readonly string[], vm?: string): Promise<unknown> {
		const addresses = vm === undefined ? this.cluster.addresses('control', 'operators') : [this.cluster.plan(vm).listen.operators];
		let failure: unknown;
		for (const operators of addresses) {
			try {
				const {stdout} = await run('dist/jasminehead', [...args, '--operators', operators, '--token', operatorToken(this._name), '--json']);
				return JSON.parse(stdout);
			} catch (err) {
				failure = err;
			}
		}

		throw failure;
	}

	/** Sends one request to a VM's operator listener, without the time that a start of the command-line program takes; rejects if the connection breaks. */
	async callOperatorApi(vm: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', target: string, sent?: unknown): Promise<OperatorAnswer> {
		const {statusCode, body} = await request(`http://${this.cluster.plan(vm).listen.operators}${target}`, {
			method,
			headers: {authorization: `Bearer ${operatorToken(this._name)}`, ...(sent !== undefined && {'content-type': 'application/json'})},
			...(sent !== undefined && {body: JSON.stringify(sent)}),
			headersTimeout: operatorTimeoutMs,
		});
		return {status: statusCode, body: await body.json() as Record<string, unknown>};
	}

	async applyConfiguration(text: string, expectedVersion: number, {changeId, vm}: {changeId?: string; vm?: string} = {}): Promise<{version: number}> {
		const file = path.join(this.cluster.folder, `configuration-${this._files++}.yaml`);
		writeFileSync(file, text);
		const extra = changeId === undefined ? [] : ['--change-id', changeId];
		return await this.operate(['config', 'apply', '--expected-version', String(expectedVersion), ...extra, file], vm) as {version: number};
	}

	/** Issues a key and waits until every running entry process accepts it. */
	async issueKey(tenant: string): Promise<{keyId: string; key: string}> {
		const issued = await this.operate(['keys', 'issue', '--tenant', tenant]) as {keyId: string; key: string};
		for (const {vm, role} of this.cluster.plans) {
			if (role === 'entry' && this.cluster.isRunning(vm)) {
				await this.until(async () => await this.probe(vm, issued.key) === 404);
			}
		}

		return issued;
	}

	/** Status of a request for a service that does not exist: 404 once the key is accepted, 401 or 503 otherwise. */
	async probe(vm: string, key: string): Promise<number> {
		try {
			const {status} = await this.call({vm, key, path: '/s/no-such-service/'});
			return status;
		} catch {
			return 0;
		}
	}

	/** Sends one request to an entry VM; rejects if the connection breaks. */
	async call({vm, key, method = 'GET', path: target, headers, body: sent}: Call): Promise<{status: number; text: string}> {
		const authorization = key === undefined ? {} : {authorization: `Bearer ${key}`};
		const {statusCode, body} = await request(`http://${this.cluster.plan(vm).listen.callers}${target}`, {
			method, headers: {...authorization, ...headers}, body: sent,
		});
		return {status: statusCode, text: await body.text()};
	}

	/** State dump of a process. */
	async state(vm: string): Promise<Record<string, unknown>> {
		const {body} = await request(`http://${this.cluster.plan(vm).listen.operators}/state`, {headers: {authorization: `Bearer ${operatorToken(this._name)}`}});
		return await body.json() as Record<string, unknown>;
	}

	/** Metrics of a process as text. */
	async metrics(vm: string): Promise<string> {
		const {body} = await request(`http://${this.cluster.plan(vm).listen.operators}/metrics`, {headers: {authorization: `Bearer ${operatorToken(this._name)}`}});
		return body.text();
	}

	/** What a test double recorded. */
	async record(double: string): Promise<Record<string, unknown>> {
		const {body} = await request(`http://${this.cluster.doubles.get(double)!.control}/control/record`);
		return await body.json() as Record<string, unknown>;
	}

	async fault(double: string, fault: Readonly<Record<string, unknown>>): Promise<void> {
		const {body} = await request(`http://${this.cluster.doubles.get(double)!.control}/control`, {method: 'POST', body: JSON.stringify(fault)});
		await body.dump();
	}

	/** Name of the control VM that leads, as the running ones see it. */
	async leader(): Promise<string> {
		let leader: string | undefined;
		await this.until(async () => {
			for (const {vm, role} of this.cluster.plans) {
				if (role === 'control' && this.cluster.isRunning(vm)) {
					const {replica} = await this._tryState(vm) as {replica?: {role: string}};
					leader = replica?.role === 'leader' ? vm : leader;
				}
			}

			return leader !== undefined && this.cluster.isRunning(leader);
		});
		return leader!;
	}

	/** Waits for a condition; the test runner's limit ends a wait that never does. */
	async until(condition: () => Promise<boolean> | boolean): Promise<void> {
		while (!(await condition())) {
			await sleep(pollMs);
		}
	}

	async dispose(): Promise<void> {
		await this.cluster.dispose();
	}

	private async _tryState(vm: string): Promise<Record<string, unknown>> {
		try {
			const {body} = await request(`http://${this.cluster.plan(vm).listen.operators}/state`, {
				headers: {authorization: `Bearer ${operatorToken(this._name)}`}, headersTimeout: 1000,
			});
			return await body.json() as Record<string, unknown>;
		} catch {
			return {};
		}
	}
}
