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
import {allocatePort} from './ports.js';

/** Name, role, data folder and addresses allocated to one VM process of the cluster. */
export type VmPlan = {
	readonly vm: string;
	readonly role: 'control' | 'entry';
	/** Zero-based index among the VMs of the same role. */
	readonly index: number;
	readonly zone: string;
	/** Folder used only by this VM. */
	readonly folder: string;
	/** Listen addresses on the loopback interface. */
	readonly listen: {readonly callers: string; readonly peers: string; readonly operators: string};
};

/** Returns the text of a VM's settings file; `control` lists the peer addresses of the control VMs. */
export type BuildSettings = (plan: VmPlan, control: readonly PeerAddress[]) => string;

export type ClusterOptions = {
	/** Number of control VMs. */
	readonly controls: number;
	/** Number of entry VMs. */
	readonly entries: number;
	/** Zones to which the VMs of each role are assigned in round-robin order. */
	readonly zones: readonly string[];
	readonly buildSettings: BuildSettings;
	/** Program and leading arguments of the command that runs a VM; `serve --settings <file>` is appended to them. The default is `dist/jasminehead`. */
	readonly command?: readonly string[];
	/** Whether `dispose` keeps the folder with settings, data and logs. */
	readonly keepFolder?: boolean;
};

/** A running test double; `control` is the address at which faults are set and records are read. */
export type TestDouble = {
	readonly name: string;
	readonly address: string;
	readonly control: string;
	readonly process: ManagedProcess;
};

const readyTimeoutMs = 20_000;
const pollIntervalMs = 50;

/** Returns the command line that runs a TypeScript file of this project in its own process. */
export function typeScriptCommand(file: string): string[] {
	// This process may run from the project's single executable, which cannot load TypeScript modules. In this case `node` is used.
	const interpreter = path.basename(process.execPath).startsWith('node') ? process.execPath : 'node';
	return [interpreter, '--import', 'tsx', file];
}

function buildEngineArguments(upstream: Upstream, model: string): string[] {
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

/** Returns a builder of settings files in which all VMs share the cluster name, cluster key, region and operator token. */
export function createSettingsBuilder(cluster: string, region: string): BuildSettings {
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

/** Returns the operator token used by the settings of `createSettingsBuilder`. */
export function operatorToken(cluster: string): string {
	return `operators-of-${cluster}`;
}

/** Control VMs, entry VMs and test doubles, each running as a local process on loopback addresses. Disposing the cluster ends all processes. */
export class Cluster implements Disposable {
	readonly folder = mkdtempSync(path.join(tmpdir(), 'jasminehead-'));
	readonly plans: VmPlan[] = [];
	readonly doubles = new Map<string, TestDouble>();
	private readonly _vms = new Map<string, ManagedProcess>();
	private readonly _processes: ManagedProcess[] = [];

	constructor(private readonly _options: ClusterOptions) {}

	/** Allocates addresses and folders without starting a process. Does nothing if they are already allocated. */
	async prepare(): Promise<void> {
		if (this.plans.length === 0) {
			await this._allocateVms();
		}
	}

	/** Starts the control and entry VMs without waiting for them to become ready. */
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

	/** Waits until the given VMs, by default all, are ready. Disposes the cluster on failure. */
	async waitReady(vms: readonly string[] = this.plans.map(({vm}) => vm)): Promise<void> {
		try {
			await Promise.all(vms.map(async vm => this._waitReady(vm)));
		} catch (err) {
			await this.dispose();
			throw err;
		}
	}

	/** Starts the process of a VM, or restarts it after it has ended. */
	startVm(vm: string): void {
		const command = this._options.command ?? ['dist/jasminehead'];
		this._vms.set(vm, this._spawn(vm, [...command, 'serve', '--settings', this._settingsFile(vm)]));
	}

	signal(vm: string, signal: ProcessSignal): void {
		this._processOf(vm).signal(signal);
	}

	/** Waits until the VM's process has ended; resolves with its exit status or signal. */
	async exited(vm: string): Promise<number | string> {
		return this._processOf(vm).whenExited;
	}

	isRunning(vm: string): boolean {
		return this._processOf(vm).isRunning;
	}

	logTail(vm: string, lines?: number): string {
		return this._processOf(vm).logTail(lines);
	}

	/** Process ids of all processes started so far, including those that have ended. */
	get pids(): number[] {
		return this._processes.flatMap(({pid}) => pid === undefined ? [] : [pid]);
	}

	/** Process id of a VM. Throws if its process could not be started. */
	pid(vm: string): number {
		const {pid} = this._processOf(vm);
		if (pid === undefined) {
			throw new Error(`process of VM "${vm}" could not be started`);
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

	/** Returns the addresses of one listener on all VMs of a role. */
	addresses(role: VmPlan['role'], listener: keyof VmPlan['listen']): string[] {
		return this.plans.filter(plan => plan.role === role).map(({listen}) => listen[listener]);
	}

	/** Starts a test double with `fakes/main.ts`, for example `startDouble('engine-1', 'engine', ['--role', 'prefill'])`. */
	async startDouble(name: string, kind: string, args: readonly string[] = []): Promise<TestDouble> {
		return this.startScript(name, [...typeScriptCommand('fakes/main.ts'), kind, '--name', name, ...args]);
	}

	/** Starts a process whose first output line is a JSON object with its `address` and `control` address. */
	async startScript(name: string, argv: readonly string[]): Promise<TestDouble> {
		const child = this._spawn(name, argv);
		const {address, control} = JSON.parse(await child.firstLine(readyTimeoutMs)) as {address: string; control: string};
		const double: TestDouble = {
			name, address, control, process: child,
		};
		this.doubles.set(name, double);
		return double;
	}

	/** Starts a test double for each upstream and, if configured, for the platform and the weight store. Returns the text of the configuration with the addresses of the test doubles. */
	async startDoubles(text: string, extraArguments: (upstream: string) => readonly string[] = () => []): Promise<string> {
		try {
			return await this._startDoubles(text, extraArguments);
		} catch (err) {
			await this.dispose();
			throw err;
		}
	}

	/** Ends every process, then removes the folder unless `keepFolder` is set. */
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
			const args = service.kind === 'model' ? buildEngineArguments(upstream, service.model) : [];
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

	private async _allocateVms(): Promise<void> {
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
		return `127.0.0.1:${await allocatePort()}`;
	}

	private _settingsFile(vm: string): string {
		return path.join(this.plan(vm).folder, 'settings.yaml');
	}

	private _writeSettings(plan: VmPlan): void {
		const control = this.plans.filter(({role}) => role === 'control').map(({vm, listen}) => ({vm, address: listen.peers}));
		writeFileSync(this._settingsFile(plan.vm), this._options.buildSettings(plan, control));
	}

	private _spawn(name: string, argv: readonly string[]): ManagedProcess {
		const child = new ManagedProcess(name, argv, this.folder);
		this._processes.push(child);
		return child;
	}

	private _processOf(vm: string): ManagedProcess {
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
