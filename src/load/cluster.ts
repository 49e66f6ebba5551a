import {
	mkdirSync, mkdtempSync, rmSync, writeFileSync,
} from 'node:fs';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {parseDocument, stringify} from 'yaml';
import {parseDocumentOrThrow} from '../common/configuration/document.js';
import {sharedConfigurationSchema} from '../common/configuration/shared.js';
import type {PeerAddress, Settings, Upstream} from '../common/configuration/types.js';
import type {Disposable} from '../common/core/disposable.js';
import {errorContext, TimeoutError, UpstreamError} from '../common/core/errors.js';
import {ManagedProcess} from './child-process.js';
import type {ProcessSignal} from './child-process.js';
import {freePort} from './ports.js';

/** One process of the system before its settings are built. */
export type VmPlan = {
	readonly vm: string;
	readonly role: 'control' | 'entry';
	/** Position among the VMs of its role, from 0. */
	readonly index: number;
	readonly zone: string;
	/** Folder of this VM alone. */
	readonly folder: string;
	/** Listeners on the loopback address. */
	readonly listen: {readonly callers: string; readonly peers: string; readonly operators: string};
};

/** Builds the text of a settings file, given the control VMs of the cluster. */
export type BuildSettings = (plan: VmPlan, control: readonly PeerAddress[]) => string;

export type ClusterOptions = {
	readonly controls: number;
	readonly entries: number;
	/** VMs are spread over these zones in turn. */
	readonly zones: readonly string[];
	readonly buildSettings: BuildSettings;
	/** Program and arguments before `serve --settings <file>`. */
	readonly command?: readonly string[];
	/** Whether the folder with settings, data and logs stays after the end. */
	readonly keepFolder?: boolean;
};

/** A running test double with its addresses. */
export type Double = {
	readonly name: string;
	readonly address: string;
	readonly control: string;
	readonly process: ManagedProcess;
};

/** How long a process may take until it is ready, in milliseconds. */
const readyTimeoutMs = 20_000;
const pollIntervalMs = 50;

/** Runs a TypeScript file of this project as its own process. */
export function scriptCommand(file: string): string[] {
	// The single executable has no module loader for TypeScript, so it needs the plain interpreter.
	const interpreter = path.basename(process.execPath).startsWith('node') ? process.execPath : 'node';
	return [interpreter, '--import', 'tsx', file];
}

function engineArguments(upstream: Upstream, model: string): string[] {
	return [
		'--role',
		upstream.role,
		'--models',
		model,
		'--slots',
		String(upstream.slots),
		'--cache-blocks',
		String(upstream.cacheBlocks),
		'--link-rate',
		String(upstream.linkRate),
		...(upstream.checksFencing ? [] : ['--ignore-fencing']),
	];
}

/** Settings with the values that all processes of one test cluster share. */
export function defaultSettings(cluster: string, region: string): BuildSettings {
	return (plan, control) => {
		const settings: Settings = {
			cluster,
			clusterKey: `key-of-cluster-${cluster}`,
			vm: plan.vm,
			zone: plan.zone,
			region,
			roles: [plan.role],
			listen: plan.role === 'entry' ? plan.listen : {peers: plan.listen.peers, operators: plan.listen.operators},
			...(plan.role === 'control' && {dataFolder: path.join(plan.folder, 'data')}),
			operatorToken: operatorToken(cluster),
			control: [...control],
		};
		return stringify(settings);
	};
}

/** Operator token in the settings of `defaultSettings`. */
export function operatorToken(cluster: string): string {
	return `operators-of-${cluster}`;
}

/** Processes on the loopback address: control and entry VMs and test doubles. Disposing ends all of them. */
export class Cluster implements Disposable {
	readonly folder = mkdtempSync(path.join(tmpdir(), 'jasminehead-'));
	readonly plans: VmPlan[] = [];
	readonly doubles = new Map<string, Double>();
	private readonly _vms = new Map<string, ManagedProcess>();
	private readonly _processes: ManagedProcess[] = [];

	constructor(private readonly _options: ClusterOptions) {}

	/** Chooses addresses and folders, without starting anything. */
	async prepare(): Promise<void> {
		if (this.plans.length === 0) {
			await this._plan();
		}
	}

	/** Starts the control and entry VMs; `waitReady` waits for them. */
	async start(): Promise<void> {
		try {
			await this.prepare();
			for (const plan of this.plans) {
				this._writeSettings(plan);
				this.startVm(plan.vm);
			}
		} catch (err) {
			await this.dispose();
			throw err;
		}
	}

	/** Waits until every VM, or the named ones, are ready; on failure ends the cluster. */
	async waitReady(vms: readonly string[] = this.plans.map(({vm}) => vm)): Promise<void> {
		try {
			await Promise.all(vms.map(async vm => this._waitReady(vm)));
		} catch (err) {
			await this.dispose();
			throw err;
		}
	}

	/** Starts a VM's process, also again after it ended. */
	startVm(vm: string): void {
		const command = this._options.command ?? ['dist/jasminehead'];
		this._vms.set(vm, this._run(vm, [...command, 'serve', '--settings', this._settingsFile(vm)]));
	}

	signal(vm: string, signal: ProcessSignal): void {
		this._process(vm).signal(signal);
	}

	/** Resolves with the exit status or signal once the VM's process has ended. */
	async exited(vm: string): Promise<number | string> {
		return this._process(vm).exited;
	}

	isRunning(vm: string): boolean {
		return this._process(vm).isRunning;
	}

	logTail(vm: string, lines?: number): string {
		return this._process(vm).logTail(lines);
	}

	/** Ids of all processes started so far. */
	get pids(): number[] {
		return this._processes.flatMap(({pid}) => pid === undefined ? [] : [pid]);
	}

	/** Id of a VM's process. */
	pid(vm: string): number {
		const {pid} = this._process(vm);
		if (pid === undefined) {
			throw new Error(`VM "${vm}" has no process`);
		}

		return pid;
	}

	plan(vm: string): VmPlan {
		const plan = this.plans.find(other => other.vm === vm);
		if (!plan) {
			throw new Error(`no VM "${vm}" in the cluster`);
		}

		return plan;
	}

	/** Addresses of a listener on all VMs of a role. */
	addresses(role: VmPlan['role'], listener: keyof VmPlan['listen']): string[] {
		return this.plans.filter(plan => plan.role === role).map(({listen}) => listen[listener]);
	}

	/** Starts a test double of `fakes/main.ts`, such as `startDouble('engine-1', 'engine', ['--role', 'prefill'])`. */
	async startDouble(name: string, kind: string, args: readonly string[] = []): Promise<Double> {
		return this.startScript(name, [...scriptCommand('fakes/main.ts'), kind, '--name', name, ...args]);
	}

	/** Starts a process that prints its `address` and `control` address as its first line. */
	async startScript(name: string, argv: readonly string[]): Promise<Double> {
		const child = this._run(name, argv);
		const {address, control} = JSON.parse(await child.firstLine(readyTimeoutMs)) as {address: string; control: string};
		const double: Double = {
			name, address, control, process: child,
		};
		this.doubles.set(name, double);
		return double;
	}

	/** Starts a double for each upstream, the platform list and the weight store; returns the configuration's text with their addresses. */
	async startDoubles(text: string, extraArguments: (upstream: string) => readonly string[] = () => []): Promise<string> {
		try {
			return await this._startDoubles(text, extraArguments);
		} catch (err) {
			await this.dispose();
			throw err;
		}
	}

	/** Ends every process, also after a failure, and removes the folder. */
	async dispose(): Promise<void> {
		await Promise.all(this._processes.map(async child => child.dispose()));
		if (!this._options.keepFolder) {
			rmSync(this.folder, {recursive: true, force: true});
		}
	}

	private async _startDoubles(text: string, extraArguments: (upstream: string) => readonly string[]): Promise<string> {
		const cfg = parseDocumentOrThrow(text, sharedConfigurationSchema, 'configuration');
		const document = parseDocument(text);
		const starts = Object.entries(cfg.upstreams).map(async ([name, upstream]) => {
			const service = cfg.services[upstream.service]!;
			const args = service.kind === 'model' ? engineArguments(upstream, service.model) : [];
			const double = await this.startDouble(name, service.kind === 'model' ? 'engine' : 'plain', [...args, ...extraArguments(name)]);
			document.setIn(['upstreams', name, 'address'], double.address);
		});
		await Promise.all(starts);
		if (cfg.platform) {
			const platform = await this.startDouble('platform', 'platform', ['--vms', this.plans.map(({vm}) => vm).join(',')]);
			document.setIn(['platform', 'address'], platform.address);
		}

		if (cfg.weightStore) {
			const weights = await this.startDouble('weights', 'weights', ['--rate', String(cfg.weightStore.rate)]);
			document.setIn(['weightStore', 'address'], weights.address);
		}

		return String(document);
	}

	private async _plan(): Promise<void> {
		const {controls, entries, zones} = this._options;
		for (const [role, count] of [['control', controls], ['entry', entries]] as const) {
			for (let index = 0; index < count; index++) {
				const vm = `${role}-${index + 1}`;
				const folder = path.join(this.folder, vm);
				mkdirSync(folder);
				const listen = {callers: await this._freeAddress(), peers: await this._freeAddress(), operators: await this._freeAddress()};
				this.plans.push({
					vm, role, index, zone: zones[index % zones.length]!, folder, listen,
				});
			}
		}
	}

	private async _freeAddress(): Promise<string> {
		return `127.0.0.1:${await freePort()}`;
	}

	private _settingsFile(vm: string): string {
		return path.join(this.plan(vm).folder, 'settings.yaml');
	}

	private _writeSettings(plan: VmPlan): void {
		const control = this.plans.filter(({role}) => role === 'control').map(({vm, listen}) => ({vm, address: listen.peers}));
		writeFileSync(this._settingsFile(plan.vm), this._options.buildSettings(plan, control));
	}

	private _run(name: string, argv: readonly string[]): ManagedProcess {
		const child = new ManagedProcess(name, argv, this.folder);
		this._processes.push(child);
		return child;
	}

	private _process(vm: string): ManagedProcess {
		const child = this._vms.get(vm);
		if (!child) {
			throw new Error(`VM "${vm}" has not been started`);
		}

		return child;
	}

	private async _waitReady(vm: string): Promise<void> {
		const deadlineMs = performance.now() + readyTimeoutMs;
		while (performance.now() < deadlineMs) {
			if (!this.isRunning(vm)) {
				throw new UpstreamError(`${vm} ended before it was ready:\n${this.logTail(vm)}`, errorContext({step: 'cluster.start', peer: vm}));
			}

			if (await this._isReady(vm)) {
				return;
			}

			await sleep(pollIntervalMs);
		}

		throw new TimeoutError(`${vm} is not ready after ${readyTimeoutMs} ms:\n${this.logTail(vm)}`, errorContext({step: 'cluster.start', peer: vm}));
	}

	private async _isReady(vm: string): Promise<boolean> {
		try {
			const {statusCode, body} = await request(`http://${this.plan(vm).listen.operators}/readyz`, {headersTimeout: 1000});
			await body.dump();
			return statusCode === 200;
		} catch {
			return false;
		}
	}
}
