import {z} from 'zod';
import type {Disposable} from '../../common/core/disposable.js';
import type {PeerMessage, VmId, VmIdentity} from '../../common/core/types.js';
import type {EntryProcessDirectory} from '../../common/scheduler/entry-process-directory.js';
import {reportMessageSchema} from '../../common/scheduler/messages.js';
import {SlotSharePolicy} from '../../common/scheduler/placement-policy.js';
import {
	leaseName, shardEngines, shardForRequest, customerWeights,
} from '../../common/scheduler/shards.js';
import type {
	NotHolder, ReportReply, RunningReservation, SchedulerReply, Shard,
} from '../../common/scheduler/types.js';
import type {AccessService, LeaseView, SharedStateView} from '../../common/services/access-service.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {placeReplySchema, SchedulerClient} from '../../common/services/scheduler-client.js';
import type {
	DecodeFailure, Placement, PlacementReply, PlacementRequest, Progress,
} from '../../common/services/scheduler-client.js';
import {ShardRunner} from './shard-runner.js';
import type {RunnerServices} from './shard-runner.js';

/** Time in addition to a request's maximum wait within which the lease holder must reply to a placement request, in milliseconds. */
const replyMarginMs = 250;
/** Time for which a lease holder that did not answer is not asked again, in milliseconds. Without it, every request would wait for the holder. */
const holderBackoffMs = 500;
/** Maximum time to wait for the lease holder to move a reservation to another decode engine, in milliseconds. The prefill engine keeps the prefill result for less than a second. */
const replaceTimeoutMs = 300;
/** Retry delay in a refusal if there is no view of the shared state yet or no scheduler knows the reservation, in milliseconds. */
const unavailableRetryAfterMs = 100;

export type PeerSchedulerClientOptions = RunnerServices & {
	readonly self: VmIdentity;
	/** Network for messages to schedulers. It must also deliver messages that the process sends to itself; see `LoopbackNetwork`. */
	readonly network: PeerNetwork;
	readonly access: AccessService;
	readonly directory: EntryProcessDirectory;
};

/** A reservation that this process runs, with its shard and the lease epoch of its placement (0 for a local placement). */
type RunningEntry = {readonly pool: Shard; readonly epoch: number; reservation: RunningReservation};

const replySchema = z.union([placeReplySchema, z.strictObject({kind: z.literal('not-holder')})]);
const notHolder: NotHolder = {kind: 'not-holder'};

/** Places requests through the holder of the shard's lease. While no holder answers, places requests into this process's share of the decode slots. */
export class PeerSchedulerClient extends SchedulerClient implements Disposable {
	private readonly _runningReservations = new Map<string, RunningEntry>();
	private readonly _localSchedulers = new Map<string, LocalScheduler>();
	/** Time until which a lease holder that did not answer is not asked again, in milliseconds, by lease name. */
	private readonly _backoffUntilMs = new Map<string, number>();
	/** Highest epoch seen in placements and report requests, by lease name. */
	private readonly _highestEpochs = new Map<string, number>();
	private readonly _unsubscribe: () => void;

	constructor(private readonly _options: PeerSchedulerClientOptions) {
		super();
		_options.network.registerHandler('scheduler.report', reportMessageSchema, (_from, {pool, epoch}) => {
			this._recordEpoch(pool, epoch);
			return this.listRunningReservations(pool);
		});
		this._unsubscribe = _options.access.events.on('onViewChanged', view => {
			for (const scheduler of this._localSchedulers.values()) {
				scheduler.configure(view);
			}
		});
	}

	/** Requests a placement from the lease holder or the local scheduler. Rejects with the signal's reason if the signal is aborted. */
	override async place(req: PlacementRequest, signal: AbortSignal): Promise<PlacementReply> {
		signal.throwIfAborted();
		const {view} = this._options.access;
		if (!view) {
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: unavailableRetryAfterMs};
		}

		const pool = shardForRequest(view.configuration, req.service, req.requestId);
		const sendCancel = () => {
			this._sendCancel(pool, req.requestId);
		};

		signal.addEventListener('abort', sendCancel, {once: true});
		try {
			const reply = await this._placeWithFallback(pool, req, signal);
			this._recordPlacement(pool, req, reply);
			if (signal.aborted) {
				this._releasePlacement(reply);
				signal.throwIfAborted();
			}

			return reply;
		} finally {
			signal.removeEventListener('abort', sendCancel);
		}
	}

	override async replaceDecode(id: string, failure: DecodeFailure): Promise<PlacementReply> {
		const running = this._runningReservations.get(id);
		if (!running) {
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: unavailableRetryAfterMs};
		}

		const reply = await this._replaceWithFallback(running, failure);
		if (reply.kind === 'not-holder') {
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: unavailableRetryAfterMs};
		}

		if (reply.kind === 'placed') {
			running.reservation = {...running.reservation, decode: reply.placement.decode, phase: 'transfer'};
		}

		return reply;
	}

	override reportProgress(progress: Progress): void {
		const running = this._runningReservations.get(progress.reservation);
		if (!running) {
			return;
		}

		this._updatePhase(running, progress);
		this._localSchedulers.get(leaseName(running.pool))?.progress(progress);
		const holder = this._findLiveHolder(running.pool);
		if (holder) {
			this._options.network.send(holder.vm, {type: 'scheduler.progress', pool: running.pool, progress});
		}
	}

	/** Returns the reservations that this process runs in the shard, as the reply to a report message. */
	listRunningReservations(pool: Shard): ReportReply {
		const name = leaseName(pool);
		return {reservations: [...this._runningReservations.values()].filter(running => leaseName(running.pool) === name).map(({reservation}) => reservation)};
	}

	dispose(): void {
		this._unsubscribe();
		for (const scheduler of this._localSchedulers.values()) {
			scheduler.dispose();
		}
	}

	private async _placeWithFallback(pool: Shard, req: PlacementRequest, signal: AbortSignal): Promise<PlacementReply> {
		const startedMs = this._options.clock.nowMs();
		const reply = await this._requestFromHolder(pool, {type: 'scheduler.place', pool, req}, req.maxWaitMs + replyMarginMs);
		if (reply.kind !== 'not-holder') {
			return reply;
		}

		signal.throwIfAborted();
		const waitedMs = this._options.clock.nowMs() - startedMs;
		const remainingRequest = {...req, maxWaitMs: Math.max(0, req.maxWaitMs - waitedMs), budgetMs: req.budgetMs - waitedMs};
		this._options.count({type: 'count', metric: 'scheduler_local_placements_total'});
		return this._getLocalScheduler(pool).place(remainingRequest);
	}

	/** Requests another decode engine from the lease holder. Asks the local scheduler if the request was placed locally or the holder gives no usable reply. */
	private async _replaceWithFallback({pool, epoch, reservation: {reservation}}: RunningEntry, failure: DecodeFailure): Promise<SchedulerReply> {
		const reply = epoch === 0
			? notHolder
			: await this._requestFromHolder(pool, {
				type: 'scheduler.replace', pool, reservation, failure,
			}, replaceTimeoutMs);
		return reply.kind === 'not-holder' ? this._getLocalScheduler(pool).replace(reservation, failure) : reply;
	}

	/** Sends a request to the lease holder and resolves with its reply. Resolves with `not-holder` if there is no live holder, if it does not answer or has not answered recently, or if its placement is stale. */
	private async _requestFromHolder(pool: Shard, message: PeerMessage, timeoutMs: number): Promise<SchedulerReply> {
		const name = leaseName(pool);
		const holder = this._findLiveHolder(pool);
		if (!holder || this._options.clock.nowMs() < (this._backoffUntilMs.get(name) ?? -Infinity)) {
			return notHolder;
		}

		try {
			const reply = replySchema.parse(await this._options.network.request(holder.vm, message, timeoutMs));
			return this._isStale(pool, reply) ? notHolder : reply;
		} catch {
			this._backoffUntilMs.set(name, this._options.clock.nowMs() + holderBackoffMs);
			this._options.count({type: 'count', metric: 'scheduler_holder_unanswered_total'});
			return notHolder;
		}
	}

	/** Returns whether a reply is a placement by a former lease holder. Such a placement must not be used, because the successor does not know the reservation. */
	private _isStale(pool: Shard, reply: SchedulerReply): boolean {
		if (reply.kind !== 'placed') {
			return false;
		}

		const {epoch} = reply.placement;
		const highest = Math.max(this._highestEpochs.get(leaseName(pool)) ?? 0, this._findLease(pool)?.epoch ?? 0);
		this._recordEpoch(pool, epoch);
		return epoch < highest;
	}

	private _recordEpoch(pool: Shard, epoch: number): void {
		const name = leaseName(pool);
		this._highestEpochs.set(name, Math.max(epoch, this._highestEpochs.get(name) ?? 0));
	}

	private _findLease(pool: Shard): LeaseView | undefined {
		return this._options.access.view?.leases.get(leaseName(pool));
	}

	/** Returns the lease holder, or undefined if there is none or membership knows that it is dead. */
	private _findLiveHolder(pool: Shard): VmIdentity | undefined {
		const holder = this._findLease(pool)?.holder;
		const isDead = this._options.directory.entries.dead.some(({vm, incarnation}) => vm === holder?.vm && incarnation >= holder.incarnation);
		return isDead ? undefined : holder;
	}

	private _sendCancel(pool: Shard, requestId: string): void {
		this._localSchedulers.get(leaseName(pool))?.cancel(requestId);
		const holder = this._findLiveHolder(pool);
		if (holder) {
			this._options.network.send(holder.vm, {type: 'scheduler.cancel', pool, requestId});
		}
	}

	private _recordPlacement(pool: Shard, req: PlacementRequest, reply: PlacementReply): void {
		if (reply.kind === 'placed') {
			this._runningReservations.set(reply.placement.reservation, {pool, epoch: reply.placement.epoch, reservation: createRunningReservation(req, reply.placement)});
		}
	}

	private _releasePlacement(reply: PlacementReply): void {
		if (reply.kind === 'placed') {
			this.reportProgress({
				phase: 'ended', reservation: reply.placement.reservation, outputTokens: 0, reason: 'cancelled',
			});
		}
	}

	private _updatePhase(running: RunningEntry, {phase, reservation}: Progress): void {
		if (phase === 'ended') {
			this._runningReservations.delete(reservation);
		} else if (phase === 'prefilled') {
			running.reservation = {...running.reservation, phase: 'transfer'};
		} else {
			running.reservation = {...running.reservation, phase: 'decode'};
		}
	}

	/** Returns the local scheduler of a shard, updated with the reservations that this process runs. */
	private _getLocalScheduler(pool: Shard): LocalScheduler {
		const name = leaseName(pool);
		let scheduler = this._localSchedulers.get(name);
		if (!scheduler) {
			scheduler = new LocalScheduler(this._options, pool, () => this.listRunningReservations(pool).reservations);
			this._localSchedulers.set(name, scheduler);
		}

		scheduler.refreshShareAndReservations();
		return scheduler;
	}
}

function createRunningReservation({requestId, tenant: customer, promptTokens, maxTokens}: PlacementRequest, {reservation, prefill, decode}: Placement): RunningReservation {
	return {
		reservation, requestId, tenant: customer, prefill, decode, promptTokens, maxTokens, phase: 'prefill',
	};
}

/** Scheduler without a lease that places requests into this process's share of a shard's slots. */
class LocalScheduler implements Disposable {
	private readonly _policy = new SlotSharePolicy(0, 1);
	private readonly _runner: ShardRunner;

	constructor(private readonly _options: PeerSchedulerClientOptions, private readonly _pool: Shard, private readonly _listRunningReservations: () => RunningReservation[]) {
		const {vm, incarnation} = _options.self;
		this._runner = new ShardRunner(_options, {policy: this._policy, idPrefix: `${vm}-${incarnation}-`});
		this._runner.runtime.on('scheduler/ask-report', () => {
			this._dispatchReport(_options.clock.nowMs());
		});
		this._runner.runtime.dispatch({type: 'scheduler/lease', epoch: 0});
		if (_options.access.view) {
			this.configure(_options.access.view);
		}
	}

	configure({configuration, drainedUpstreams}: SharedStateView): void {
		const engines = shardEngines(configuration, this._pool, drainedUpstreams);
		this._runner.runtime.dispatch({type: 'scheduler/configure', engines, weights: customerWeights(configuration)});
	}

	/** Updates this process's share of the slots, and adds the reservations that this process runs to the scheduler's state. */
	refreshShareAndReservations(): void {
		const {directory: {entries}, self} = this._options;
		const vms: VmId[] = [...new Set([...entries.live.map(({vm}) => vm), self.vm])].sort();
		this._policy.setPosition(vms.indexOf(self.vm), vms.length);
		// `-Infinity` prevents the report from releasing reservations: a placement that was just answered may not be in the list yet.
		this._dispatchReport(-Infinity);
	}

	async place(req: PlacementRequest): Promise<PlacementReply> {
		const reply = await this._runner.place(this._options.self, req);
		return reply.kind === 'not-holder' ? {kind: 'refused', code: 'no-upstream', retryAfterMs: unavailableRetryAfterMs} : reply;
	}

	async replace(reservation: string, failure: DecodeFailure): Promise<SchedulerReply> {
		return this._runner.replace(this._options.self, reservation, failure);
	}

	hasReservation(reservation: string): boolean {
		return this._runner.state.reservations.has(reservation);
	}

	progress(progress: Progress): void {
		if (this.hasReservation(progress.reservation)) {
			this._runner.runtime.dispatch({type: 'scheduler/progress', owner: this._options.self, progress});
		}
	}

	cancel(requestId: string): void {
		this._runner.runtime.dispatch({type: 'scheduler/cancel', owner: this._options.self, requestId});
	}

	dispose(): void {
		this._runner.dispose();
	}

	private _dispatchReport(requestedMs: number): void {
		this._runner.runtime.dispatch({
			type: 'scheduler/report', owner: this._options.self, requestedMs, reservations: this._listRunningReservations(),
		});
	}
}
