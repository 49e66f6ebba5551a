import {execFile} from 'node:child_process';
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {promisify} from 'node:util';
import {request} from 'undici';
import type {Disposable} from '../common/core/disposable.js';
import {Cluster, createSettingsBuilder, operatorToken} from './cluster.js';

const execFileAsync = promisify(execFile);
const pollIntervalMs = 50;
/** Timeout of a direct request to an operator listener, in milliseconds. It is short, so that a benchmark soon tries another VM. */
const operatorTimeoutMs = 1000;

export type SystemOptions = {
	readonly name: string;
	readonly controls: number;
	readonly entries: number;
	readonly zones: readonly string[];
	/** Text of the shared configuration; upstream addresses are replaced by those of the test doubles. */
	readonly configuration: string;
	/** Additional arguments for the test double of an upstream; they override the arguments derived from the configuration. */
	readonly doubleArguments?: (upstream: string) => readonly string[];
};

/** Response of an operator listener. */
export type OperatorResponse = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

/** Request to the caller listener of an entry VM. */
export type CallerRequest = {
	readonly vm: string;
	readonly key?: string;
	readonly method?: 'GET' | 'POST';
	readonly path: string;
	readonly headers?: Record<string, string>;
	readonly body?: string;
};

/** A running deployment with test doubles as upstreams, controlled through operator commands and requests. */
export class System implements Disposable {
	/** Starts all processes, applies the configuration and waits until every VM is ready. */
	static async start(options: SystemOptions): Promise<System> {
		const cluster = new Cluster({
			controls: options.controls, entries: options.entries, zones: options.zones, buildSettings: createSettingsBuilder(options.name, 'region-1'),
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

	private _fileCount = 0;

	private constructor(readonly cluster: Cluster, private readonly _name: string, readonly configuration: string) {}

	/** Runs an operator command against the given VM, by default the first control VM that answers; resolves with its parsed JSON output. */
	async operate(args: readonly string[], vm?: string): Promise<unknown> {
		const addresses = vm === undefined ? this.cluster.addresses('control', 'operators') : [this.cluster.plan(vm).listen.operators];
		let failure: unknown;
		for (const operators of addresses) {
			try {
				const {stdout} = await execFileAsync('dist/jasminehead', [...args, '--operators', operators, '--token', operatorToken(this._name), '--json']);
				return JSON.parse(stdout);
			} catch (err) {
				failure = err;
			}
		}

		throw failure;
	}

	/** Sends one request directly to a VM's operator listener, which avoids the start-up time of the command-line program. Rejects if the connection breaks. */
	async callOperatorApi(vm: string, method: 'GET' | 'POST' | 'PUT' | 'DELETE', target: string, requestBody?: unknown): Promise<OperatorResponse> {
		const {statusCode, body} = await request(`http://${this.cluster.plan(vm).listen.operators}${target}`, {
			method,
			headers: {authorization: `Bearer ${operatorToken(this._name)}`, ...(requestBody !== undefined && {'content-type': 'application/json'})},
			...(requestBody !== undefined && {body: JSON.stringify(requestBody)}),
			headersTimeout: operatorTimeoutMs,
		});
		return {status: statusCode, body: await body.json() as Record<string, unknown>};
	}

	async applyConfiguration(text: string, expectedVersion: number, {changeId, vm}: {changeId?: string; vm?: string} = {}): Promise<{version: number}> {
		const file = path.join(this.cluster.folder, `configuration-${this._fileCount++}.yaml`);
		writeFileSync(file, text);
		const extra = changeId === undefined ? [] : ['--change-id', changeId];
		return await this.operate(['config', 'apply', '--expected-version', String(expectedVersion), ...extra, file], vm) as {version: number};
	}

	/** Issues a key and waits until every running entry process accepts it. */
	async issueKey(customer: string): Promise<{keyId: string; key: string}> {
		const issued = await this.operate(['keys', 'issue', '--tenant', customer]) as {keyId: string; key: string};
		for (const {vm, role} of this.cluster.plans) {
			if (role === 'entry' && this.cluster.isRunning(vm)) {
				await this.until(async () => await this.probe(vm, issued.key) === 404);
			}
		}

		return issued;
	}

	/** Requests a service that does not exist to test a key. Resolves with 404 if the key is accepted, 401 or 503 if not, and 0 if the connection breaks. */
	async probe(vm: string, key: string): Promise<number> {
		try {
			const {status} = await this.call({vm, key, path: '/s/no-such-service/'});
			return status;
		} catch {
			return 0;
		}
	}

	/** Sends one request to the caller listener of an entry VM. Rejects if the connection breaks. */
	async call({vm, key, method = 'GET', path: target, headers, body: requestBody}: CallerRequest): Promise<{status: number; text: string}> {
		const authorization = key === undefined ? {} : {authorization: `Bearer ${key}`};
		const {statusCode, body} = await request(`http://${this.cluster.plan(vm).listen.callers}${target}`, {
			method, headers: {...authorization, ...headers}, body: requestBody,
		});
		return {status: statusCode, text: await body.text()};
	}

	/** Fetches the state dump of a VM's process. */
	async state(vm: string): Promise<Record<string, unknown>> {
		const {body} = await request(`http://${this.cluster.plan(vm).listen.operators}/state`, {headers: {authorization: `Bearer ${operatorToken(this._name)}`}});
		return await body.json() as Record<string, unknown>;
	}

	/** Fetches the metrics of a VM's process as text. */
	async readMetrics(vm: string): Promise<string> {
		const {body} = await request(`http://${this.cluster.plan(vm).listen.operators}/metrics`, {headers: {authorization: `Bearer ${operatorToken(this._name)}`}});
		return body.text();
	}

	/** Fetches the record of what a test double did. */
	async record(double: string): Promise<Record<string, unknown>> {
		const {body} = await request(`http://${this.cluster.doubles.get(double)!.control}/control/record`);
		return await body.json() as Record<string, unknown>;
	}

	async fault(double: string, fault: Readonly<Record<string, unknown>>): Promise<void> {
		const {body} = await request(`http://${this.cluster.doubles.get(double)!.control}/control`, {method: 'POST', body: JSON.stringify(fault)});
		await body.dump();
	}

	/** Waits until a running control VM reports that it is the leader; resolves with its name. */
	async leader(): Promise<string> {
		let leader: string | undefined;
		await this.until(async () => {
			for (const {vm, role} of this.cluster.plans) {
				if (role === 'control' && this.cluster.isRunning(vm)) {
					const {replica} = await this._readStateOrEmpty(vm) as {replica?: {role: string}};
					leader = replica?.role === 'leader' ? vm : leader;
				}
			}

			return leader !== undefined && this.cluster.isRunning(leader);
		});
		return leader!;
	}

	/** Polls until the condition holds. Has no timeout of its own; the test runner's timeout applies. */
	async until(condition: () => Promise<boolean> | boolean): Promise<void> {
		while (!(await condition())) {
			await sleep(pollIntervalMs);
		}
	}

	async dispose(): Promise<void> {
		await this.cluster.dispose();
	}

	private async _readStateOrEmpty(vm: string): Promise<Record<string, unknown>> {
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
