import type {SharedConfiguration} from '../../common/configuration/types.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {VmIdentity} from '../../common/core/types.js';
import {reportReplySchema} from '../../common/scheduler/messages.js';
import {leaseName, shardEngines, tenantWeights} from '../../common/scheduler/shards.js';
import type {EntryProcesses, Shard} from '../../common/scheduler/types.js';
import type {View} from '../../common/services/access-service.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import type {EngineControlClient} from './engine-control-client.js';
import type {LeaseHolder} from './lease-holder.js';
import {ShardRunner} from './shard-runner.js';
import type {RunnerPlatform} from './shard-runner.js';

/** Shortest intervals between polls of an engine, in milliseconds; larger pools are polled less often. */
const loadEveryMs = 100;
const cacheEventsEveryMs = 200;
const requestsEveryMs = 1000;
/** Poll interval per engine of the shard, so that polling costs the same for every pool size, in milliseconds. */
const pollSpacingMs = 5;
const pollStepMs = 20;
/** Longest wait for an entry process's report; the rebuild waits no longer, in milliseconds. */
const reportTimeoutMs = 500;

export type ShardHostOptions = RunnerPlatform & {
	readonly pool: Shard;
	readonly network: PeerNetwork;
	readonly engines: EngineControlClient;
	readonly lease: LeaseHolder;
};

type Poll = {readonly everyMs: number; nextMs: number; isRunning: boolean; readonly run: () => Promise<void>};

/** The scheduler of one pool shard on this VM: active while the VM holds the shard's lease. */
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
			this._pollDue();
		}, pollStepMs);
		this._timer.unref();
	}

	get leaseName(): string {
		return leaseName(this._options.pool);
	}

	/** Takes engines, drains and weights from the view. */
	configure({configuration, drainedUpstreams}: View): void {
		const engines = shardEngines(configuration, this._options.pool, drainedUpstreams);
		this.runner.runtime.dispatch({type: 'scheduler/configure', engines, weights: tenantWeights(configuration)});
		this._schedulePolls(engines.map(({name}) => name), configuration);
	}

	setEntries(entries: EntryProcesses): void {
		if (entries !== this._entries) {
			this._entries = entries;
			this.runner.runtime.dispatch({type: 'scheduler/entries', entries});
		}
	}

	/** Starts or stops placing according to the lease. */
	followLease(): void {
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
			void this._askReport(to);
		});
		runtime.on('scheduler/list-requests', ({engine}) => {
			void this._listRequests(engine);
		});
		runtime.on('scheduler/cancel-request', ({engine, requestId}) => {
			void this._cancel(engine, requestId);
		});
	}

	private async _askReport(to: VmIdentity): Promise<void> {
		const askedMs = this._options.clock.nowMs();
		const epoch = this.runner.state.epoch ?? 0;
		try {
			const reply = await this._options.network.request(to.vm, {type: 'scheduler.report', pool: this._options.pool, epoch}, reportTimeoutMs);
			const {reservations} = reportReplySchema.parse(reply);
			if (this.runner.state.epoch === epoch) {
				this.runner.runtime.dispatch({
					type: 'scheduler/report', owner: to, askedMs, reservations,
				});
			}
		} catch {
			this._options.count({type: 'count', metric: 'scheduler_reports_failed_total'});
		}
	}

	private _schedulePolls(names: readonly string[], cfg: SharedConfiguration): void {
		const spacingMs = names.length * pollSpacingMs;
		for (const name of this._polls.keys()) {
			if (!names.includes(name)) {
				this._polls.delete(name);
				this._addresses.delete(name);
			}
		}

		for (const name of names) {
			this._addresses.set(name, cfg.upstreams[name]!.address);
			if (!this._polls.has(name)) {
				this._polls.set(name, this._pollsOf(name, spacingMs));
			}
		}
	}

	private _pollsOf(engine: string, spacingMs: number): Poll[] {
		const poll = (everyMs: number, run: () => Promise<void>): Poll => ({
			everyMs: Math.max(everyMs, spacingMs), nextMs: 0, isRunning: false, run,
		});
		return [
			poll(loadEveryMs, async () => this._pollLoad(engine)),
			poll(cacheEventsEveryMs, async () => this._pollCacheEvents(engine)),
			poll(requestsEveryMs, async () => this._listRequests(engine)),
		];
	}

	private _pollDue(): void {
		if (this.runner.state.epoch === undefined) {
			return;
		}

		const nowMs = this._options.clock.nowMs();
		for (const polls of this._polls.values()) {
			for (const poll of polls) {
				if (!poll.isRunning && nowMs >= poll.nextMs) {
					poll.nextMs = nowMs + poll.everyMs;
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
			const load = await this._options.engines.load(this._addressOf(engine));
			this.runner.runtime.dispatch({type: 'scheduler/load', engine, load});
		} catch {
			this.runner.runtime.dispatch({type: 'scheduler/poll-failed', engine});
		}
	}

	private async _pollCacheEvents(engine: string): Promise<void> {
		const after = this.runner.state.pool.index.lastEvent(engine);
		try {
			const reply = await this._options.engines.cacheEvents(this._addressOf(engine), after);
			this.runner.runtime.dispatch({
				type: 'scheduler/cache-events', engine, after, reply,
			});
		} catch {
			this._countFailure(engine);
		}
	}

	private async _listRequests(engine: string): Promise<void> {
		try {
			const {requests} = await this._options.engines.requests(this._addressOf(engine));
			this.runner.runtime.dispatch({type: 'scheduler/engine-requests', engine, requests});
		} catch {
			this._countFailure(engine);
		}
	}

	/** A failed cancel is repeated after the next listing. */
	private async _cancel(engine: string, requestId: string): Promise<void> {
		try {
			await this._options.engines.cancel(this._addressOf(engine), requestId);
		} catch {
			this._countFailure(engine);
		}
	}

	private _countFailure(engine: string): void {
		this._options.count({type: 'count', metric: 'scheduler_polls_failed_total', labels: {engine}});
	}

	private _addressOf(engine: string): string {
		return this._addresses.get(engine) ?? '';
	}
}
