import type {Disposable} from '../../common/core/disposable.js';
import type {VmIdentity} from '../../common/core/types.js';
import {rankByRendezvous} from '../../common/membership/rendezvous.js';
import type {EntryProcessDirectory} from '../../common/scheduler/entry-process-directory.js';
import type {LeaseStore} from '../../common/scheduler/lease-store.js';
import {
	cancelMessageSchema, placeMessageSchema, progressMessageSchema, replaceMessageSchema,
} from '../../common/scheduler/messages.js';
import {allShards, leaseName} from '../../common/scheduler/shards.js';
import type {NotHolder, Shard} from '../../common/scheduler/types.js';
import type {AccessService, SharedStateView} from '../../common/services/access-service.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {EngineControlClient} from './engine-control-client.js';
import {LeaseHolder} from './lease-holder.js';
import {ShardHost} from './shard-host.js';
import type {RunnerServices} from './shard-runner.js';

/** Interval between attempts to acquire or renew a lease, in milliseconds. */
const leaseAttemptIntervalMs = 250;
/** Delay before a process tries to acquire a free lease, per process that ranks before it, in milliseconds. */
const rankDelayMs = 300;
/** Interval at which the hosts get the current lease state and entry processes, in milliseconds. */
const syncIntervalMs = 50;

export type SchedulerHostOptions = RunnerServices & {
	readonly self: VmIdentity;
	/** Network for messages from scheduler clients. It must also deliver messages that the process sends to itself; see `LoopbackNetwork`. */
	readonly network: PeerNetwork;
	readonly access: AccessService;
	readonly directory: EntryProcessDirectory;
	readonly leases: LeaseStore;
};

const notHolder: NotHolder = {kind: 'not-holder'};

/** Runs the schedulers of the pool shards whose leases this VM holds, and tries to acquire free leases. */
export class SchedulerHost implements Disposable {
	/** Hosts of all shards of the configuration, by lease name. */
	private readonly _hosts = new Map<string, ShardHost>();
	private readonly _engines: EngineControlClient;
	private readonly _timers: NodeJS.Timeout[] = [];
	/** Time at which each free lease was first seen to be free, in milliseconds, by lease name. */
	private readonly _freeSinceMs = new Map<string, number>();
	private _unsubscribe: (() => void) | undefined;
	private _isStopping = false;

	constructor(private readonly _options: SchedulerHostOptions) {
		this._engines = new EngineControlClient(_options.clock, _options.logger);
		this._registerHandlers();
	}

	/** Starts to acquire leases. */
	start(): void {
		const {access} = this._options;
		this._unsubscribe = access.events.on('onViewChanged', view => {
			this._applyView(view);
		});
		if (access.view) {
			this._applyView(access.view);
		}

		this._startInterval(leaseAttemptIntervalMs, () => {
			this._attemptLeases();
		});
		this._startInterval(syncIntervalMs, () => {
			this._syncHosts();
		});
	}

	/** Names of the leases that this process holds. */
	get heldLeases(): string[] {
		return [...this._hosts.values()].filter(({runner}) => runner.state.epoch !== undefined).map(({leaseName}) => leaseName);
	}

	/** Returns a summary of the state of all shards for state dumps. `epoch` is undefined for shards whose lease this process does not hold. */
	dump(): Array<{lease: string; epoch: number | undefined; reservations: number; queued: number; prefixEntries: number}> {
		return [...this._hosts.values()].map(({leaseName, runner: {state}}) => ({
			lease: leaseName, epoch: state.epoch, reservations: state.reservations.size, queued: state.queue.length, prefixEntries: state.pool.prefixIndex.size,
		}));
	}

	/** Releases all leases, so that successors need not wait for them to expire, and acquires no more leases. */
	async stop(): Promise<void> {
		this._isStopping = true;
		await this._releaseAll([...this._hosts.values()]);
	}

	async dispose(): Promise<void> {
		this._unsubscribe?.();
		for (const timer of this._timers) {
			clearInterval(timer);
		}

		await this.stop();
		for (const host of this._hosts.values()) {
			host.dispose();
		}

		await this._engines.dispose();
	}

	private _startInterval(intervalMs: number, callback: () => void): void {
		const timer = setInterval(callback, intervalMs);
		timer.unref();
		this._timers.push(timer);
	}

	private _registerHandlers(): void {
		const {network} = this._options;
		network.registerHandler('scheduler.place', placeMessageSchema, async (from, {pool, req}) => this._findHost(pool)?.runner.place(from, req) ?? notHolder);
		network.registerHandler('scheduler.replace', replaceMessageSchema, async (from, {pool, reservation, failure}) =>
			this._findHost(pool)?.runner.replace(from, reservation, failure) ?? notHolder);
		network.registerHandler('scheduler.cancel', cancelMessageSchema, (from, {pool, requestId}) => {
			this._findHost(pool)?.runner.runtime.dispatch({type: 'scheduler/cancel', owner: from, requestId});
		});
		network.registerHandler('scheduler.progress', progressMessageSchema, (from, {pool, progress}) => {
			this._findHost(pool)?.runner.runtime.dispatch({type: 'scheduler/progress', owner: from, progress});
		});
	}

	/** Releases the leases of the hosts and stops their schedulers. A lease whose release fails ends when it expires. */
	private async _releaseAll(hosts: readonly ShardHost[]): Promise<void> {
		await Promise.allSettled(hosts.map(async host => {
			const released = host.lease.release();
			host.applyLease();
			await released;
		}));
	}

	private _findHost(pool: Shard): ShardHost | undefined {
		return this._hosts.get(leaseName(pool));
	}

	/** Creates and removes hosts so that there is one host for each shard of the configuration, and configures the hosts. */
	private _applyView(view: SharedStateView): void {
		const shards = new Map(allShards(view.configuration).map(pool => [leaseName(pool), pool]));
		for (const [name, host] of this._hosts) {
			if (!shards.has(name)) {
				this._hosts.delete(name);
				host.dispose();
				void this._releaseAll([host]);
			}
		}

		for (const [name, pool] of shards) {
			let host = this._hosts.get(name);
			if (!host) {
				const lease = new LeaseHolder(name, this._options.leases, this._options.clock);
				host = new ShardHost({
					...this._options, pool, engines: this._engines, lease,
				});
				this._hosts.set(name, host);
			}

			host.configure(view);
		}
	}

	private _syncHosts(): void {
		for (const host of this._hosts.values()) {
			host.setEntries(this._options.directory.entries);
			host.applyLease();
		}
	}

	private _attemptLeases(): void {
		const {access: {view}, self} = this._options;
		if (!view || this._isStopping) {
			return;
		}

		if (view.drainedVms.has(self.vm)) {
			void this._releaseAll([...this._hosts.values()]);
			return;
		}

		for (const [name, host] of this._hosts) {
			void this._attemptLease(host, this._mayAcquire(name, view));
		}
	}

	private async _attemptLease(host: ShardHost, mayAcquire: boolean): Promise<void> {
		await host.lease.renewOrAcquire(mayAcquire);
		host.applyLease();
	}

	/** Returns whether this process may try to acquire a lease. The process that ranks first for the name of a free lease may try at once; each other process waits `rankDelayMs` longer than the process that ranks before it. */
	private _mayAcquire(name: string, view: SharedStateView): boolean {
		const {clock, self, directory} = this._options;
		const holder = view.leases.get(name)?.holder;
		if (holder && holder.vm !== self.vm && !directory.entries.dead.some(({vm, incarnation}) => vm === holder.vm && incarnation >= holder.incarnation)) {
			this._freeSinceMs.delete(name);
			return false;
		}

		const nowMs = clock.nowMs();
		const sinceMs = this._freeSinceMs.get(name) ?? nowMs;
		this._freeSinceMs.set(name, sinceMs);
		const ranked = rankByRendezvous(name, directory.entries.live, ({vm}) => vm);
		const rank = Math.max(0, ranked.findIndex(({vm}) => vm === self.vm));
		return nowMs - sinceMs >= rank * rankDelayMs;
	}
}
