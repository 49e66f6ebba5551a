import type {SharedConfiguration} from '../../common/configuration/types.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {VmIdentity} from '../../common/core/types.js';
import {reportReplySchema} from '../../common/scheduler/messages.js';
import {leaseName, shardEngines, customerWeights} from '../../common/scheduler/shards.js';
import type {EntryProcesses, Shard} from '../../common/scheduler/types.js';
import type {SharedStateView} from '../../common/services/access-service.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import type {EngineControlClient} from './engine-control-client.js';
import type {LeaseHolder} from './lease-holder.js';
import {ShardRunner} from './shard-runner.js';
import type {RunnerServices} from './shard-runner.js';

/** Minimum interval between polls of an engine's load, in milliseconds. */
const loadPollIntervalMs = 100;
/** Minimum interval between polls of an engine's cache events, in milliseconds. */
const cacheEventsPollIntervalMs = 200;
/** Minimum interval between polls of an engine's requests, in milliseconds. */
const requestsPollIntervalMs = 1000;
/** Lower bound of all poll intervals, per engine of the shard, in milliseconds. Engines of large shards are polled less often, so that the cost of polling is bounded. */
const pollIntervalPerEngineMs = 5;
/** Interval between checks for polls that are due, in milliseconds. */
const pollCheckIntervalMs = 20;
/** Maximum time to wait for an entry process's report, in milliseconds. A rebuild does not wait longer than this either. */
const reportTimeoutMs = 500;

export type ShardHostOptions = RunnerServices & {
	readonly pool: Shard;
	readonly network: PeerNetwork;
	readonly engines: EngineControlClient;
	readonly lease: LeaseHolder;
};

/** A periodic poll of one engine. `nextDueMs` is the time at which the poll is next due, in milliseconds. */
type Poll = {readonly intervalMs: number; nextDueMs: number; isRunning: boolean; readonly run: () => Promise<void>};

/** Runs the scheduler of one pool shard on this VM. The scheduler is active while the VM holds the shard's lease. */
export class ShardHost implements Disposable {
	readonly runner: ShardRunner;
	readonly lease: LeaseHolder;
	private readonly _polls = new Map<string, Poll[]>();
	private readonly _addresses = new Map<string, string>();
	private readonly _timer: NodeJS.Timeout;
	private _entries: EntryProcesses | undefined;

	constructor(private readonly _options: ShardHostOptions) {
		this.lease = _options.lease;
		this.runner = new ShardRunner(_options, {});
		this._registerEffects();
		this._timer = setInterval(() => {
			this._runDuePolls();
		}, pollCheckIntervalMs);
		this._timer.unref();
	}

	get leaseName(): string {
		return leaseName(this._options.pool);
	}

	/** Applies the engines, drained upstreams and customer weights of a view of the shared state. */
	configure({configuration, drainedUpstreams}: SharedStateView): void {
		const engines = shardEngines(configuration, this._options.pool, drainedUpstreams);
		this.runner.runtime.dispatch({type: 'scheduler/configure', engines, weights: customerWeights(configuration)});
		this._schedulePolls(engines.map(({name}) => name), configuration);
	}

	setEntries(entries: EntryProcesses): void {
		if (entries !== this._entries) {
			this._entries = entries;
			this.runner.runtime.dispatch({type: 'scheduler/entries', entries});
		}
	}

	/** Starts or stops the scheduler, depending on whether the lease is held. */
	applyLease(): void {
		const {epoch} = this.lease;
		if (epoch !== this.runner.state.epoch) {
			this.runner.runtime.dispatch({type: 'scheduler/lease', epoch});
		}
	}

	dispose(): void {
		clearInterval(this._timer);
		this.runner.dispose();
	}

	private _registerEffects(): void {
		const {runtime} = this.runner;
		runtime.on('scheduler/ask-report', ({to}) => {
			void this._requestReport(to);
		});
		runtime.on('scheduler/list-requests', ({engine}) => {
			void this._listRequests(engine);
		});
		runtime.on('scheduler/cancel-request', ({engine, requestId}) => {
			void this._cancelRequest(engine, requestId);
		});
	}

	private async _requestReport(to: VmIdentity): Promise<void> {
		const requestedMs = this._options.clock.nowMs();
		const epoch = this.runner.state.epoch ?? 0;
		try {
			const reply = await this._options.network.request(to.vm, {type: 'scheduler.report', pool: this._options.pool, epoch}, reportTimeoutMs);
			const {reservations} = reportReplySchema.parse(reply);
			if (this.runner.state.epoch === epoch) {
				this.runner.runtime.dispatch({
					type: 'scheduler/report', owner: to, requestedMs, reservations,
				});
			}
		} catch {
			this._options.count({type: 'count', metric: 'scheduler_reports_failed_total'});
		}
	}

	private _schedulePolls(names: readonly string[], cfg: SharedConfiguration): void {
		const minIntervalMs = names.length * pollIntervalPerEngineMs;
		for (const name of this._polls.keys()) {
			if (!names.includes(name)) {
				this._polls.delete(name);
				this._addresses.delete(name);
			}
		}

		for (const name of names) {
			this._addresses.set(name, cfg.upstreams[name]!.address);
			if (!this._polls.has(name)) {
				this._polls.set(name, this._createPolls(name, minIntervalMs));
			}
		}
	}

	private _createPolls(engine: string, minIntervalMs: number): Poll[] {
		const createPoll = (intervalMs: number, run: () => Promise<void>): Poll => ({
			intervalMs: Math.max(intervalMs, minIntervalMs), nextDueMs: 0, isRunning: false, run,
		});
		return [
			createPoll(loadPollIntervalMs, async () => this._pollLoad(engine)),
			createPoll(cacheEventsPollIntervalMs, async () => this._pollCacheEvents(engine)),
			createPoll(requestsPollIntervalMs, async () => this._listRequests(engine)),
		];
	}

	private _runDuePolls(): void {
		if (this.runner.state.epoch === undefined) {
			return;
		}

		const nowMs = this._options.clock.nowMs();
		for (const polls of this._polls.values()) {
			for (const poll of polls) {
				if (!poll.isRunning && nowMs >= poll.nextDueMs) {
					poll.nextDueMs = nowMs + poll.intervalMs;
					void this._runPoll(poll);
				}
			}
		}
	}

	private async _runPoll(poll: Poll): Promise<void> {
		poll.isRunning = true;
		try {
			await poll.run();
		} finally {
			poll.isRunning = false;
		}
	}

	private async _pollLoad(engine: string): Promise<void> {
		try {
			const load = await this._options.engines.fetchLoad(this._addressOf(engine));
			this.runner.runtime.dispatch({type: 'scheduler/load', engine, load});
		} catch {
			this.runner.runtime.dispatch({type: 'scheduler/poll-failed', engine});
		}
	}

	private async _pollCacheEvents(engine: string): Promise<void> {
		const after = this.runner.state.pool.prefixIndex.lastEventNumber(engine);
		try {
			const reply = await this._options.engines.fetchCacheEvents(this._addressOf(engine), after);
			this.runner.runtime.dispatch({
				type: 'scheduler/cache-events', engine, after, reply,
			});
		} catch {
			this._countFailedPoll(engine);
		}
	}

	private async _listRequests(engine: string): Promise<void> {
		try {
			const {requests} = await this._options.engines.listRequests(this._addressOf(engine));
			this.runner.runtime.dispatch({type: 'scheduler/engine-requests', engine, requests});
		} catch {
			this._countFailedPoll(engine);
		}
	}

	/** Cancels a request on an engine. If the attempt fails, the next listing of the engine's requests causes another attempt. */
	private async _cancelRequest(engine: string, requestId: string): Promise<void> {
		try {
			await this._options.engines.cancelRequest(this._addressOf(engine), requestId);
		} catch {
			this._countFailedPoll(engine);
		}
	}

	private _countFailedPoll(engine: string): void {
		this._options.count({type: 'count', metric: 'scheduler_polls_failed_total', labels: {engine}});
	}

	private _addressOf(engine: string): string {
		return this._addresses.get(engine) ?? '';
	}
}
