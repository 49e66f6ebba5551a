import {z} from 'zod';
import type {Disposable} from '../../common/core/disposable.js';
import type {PeerMessage, VmId, VmIdentity} from '../../common/core/types.js';
import type {EntryDirectory} from '../../common/scheduler/entry-directory.js';
import {reportMessageSchema} from '../../common/scheduler/messages.js';
import {LeasedSlotsPolicy} from '../../common/scheduler/policy.js';
import {
	leaseName, shardEngines, shardOf, tenantWeights,
} from '../../common/scheduler/shards.js';
import type {
	NotHolder, ReportReply, RunningReservation, SchedulerReply, Shard,
} from '../../common/scheduler/types.js';
import type {AccessService, LeaseView, View} from '../../common/services/access-service.js';
import type {PeerNetwork} from '../../common/services/peer-network.js';
import {placeReplySchema, SchedulerClient} from '../../common/services/scheduler-client.js';
import type {
	DecodeFailure, Placement, PlaceReply, PlaceRequest, Progress,
} from '../../common/services/scheduler-client.js';
import {ShardRunner} from './shard-runner.js';
import type {RunnerPlatform} from './shard-runner.js';

/** Time beyond the queue's bound that a holder has for its answer, in milliseconds. */
const answerMarginMs = 250;
/** A holder that did not answer is left alone for so long, so that not every request waits for it, in milliseconds. */
const avoidHolderMs = 500;
/** Longest wait for a move to another decode engine; the prefill result is held for less than a second. */
const replaceTimeoutMs = 300;
/** Retry time when a reservation is not known to any scheduler, in milliseconds. */
const unknownRetryMs = 100;

export type PeerSchedulerClientOptions = RunnerPlatform & {
	readonly self: VmIdentity;
	/** Must deliver a process's messages to itself; see `LoopbackNetwork`. */
	readonly network: PeerNetwork;
	readonly access: AccessService;
	readonly directory: EntryDirectory;
};

type Running = {readonly pool: Shard; readonly epoch: number; reservation: RunningReservation};

const replySchema = z.union([placeReplySchema, z.strictObject({kind: z.literal('not-holder')})]);
const notHolder: NotHolder = {kind: 'not-holder'};

/** Asks the holder of the shard's lease; places into this process's share of the slots while none answers. */
export class PeerSchedulerClient extends SchedulerClient implements Disposable {
	private readonly _running = new Map<string, Running>();
	private readonly _local = new Map<string, LocalShard>();
	/** Until when the holder of each lease is not asked. */
	private readonly _avoidUntilMs = new Map<string, number>();
	/** Highest epoch from which a placement was taken, by lease. */
	private readonly _epochs = new Map<string, number>();
	private readonly _stopListening: () => void;

	constructor(private readonly _options: PeerSchedulerClientOptions) {
		super();
		_options.network.handle('scheduler.report', reportMessageSchema, (_from, {pool, epoch}) => {
			this._sawEpoch(pool, epoch);
			return this.report(pool);
		});
		this._stopListening = _options.access.events.on('onViewChanged', view => {
			for (const local of this._local.values()) {
				local.configure(view);
			}
		});
	}

	/** Rejects with the signal's reason when it is aborted. */
	override async place(req: PlaceRequest, signal: AbortSignal): Promise<PlaceReply> {
		signal.throwIfAborted();
		const {view} = this._options.access;
		if (!view) {
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: unknownRetryMs};
		}

		const pool = shardOf(view.configuration, req.service, req.requestId);
		const cancel = () => {
			this._cancel(pool, req.requestId);
		};

		signal.addEventListener('abort', cancel, {once: true});
		try {
			const reply = await this._placeAnywhere(pool, req, signal);
			this._record(pool, req, reply);
			if (signal.aborted) {
				this._giveBack(reply);
				signal.throwIfAborted();
			}

			return reply;
		} finally {
			signal.removeEventListener('abort', cancel);
		}
	}

	override async replaceDecode(id: string, failure: DecodeFailure): Promise<PlaceReply> {
		const running = this._running.get(id);
		if (!running) {
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: unknownRetryMs};
		}

		const reply = await this._replaceAnywhere(running, failure);
		if (reply.kind === 'not-holder') {
			return {kind: 'refused', code: 'no-upstream', retryAfterMs: unknownRetryMs};
		}

		if (reply.kind === 'placed') {
			running.reservation = {...running.reservation, decode: reply.placement.decode, phase: 'transfer'};
		}

		return reply;
	}

	override progress(progress: Progress): void {
		const running = this._running.get(progress.reservation);
		if (!running) {
			return;
		}

		this._advance(running, progress);
		this._local.get(leaseName(running.pool))?.progress(progress);
		const holder = this._holder(running.pool);
		if (holder) {
			this._options.network.send(holder.vm, {type: 'scheduler.progress', pool: running.pool, progress});
		}
	}

	/** What this process runs in the shard. */
	report(pool: Shard): ReportReply {
		const name = leaseName(pool);
		return {reservations: [...this._running.values()].filter(running => leaseName(running.pool) === name).map(({reservation}) => reservation)};
	}

	dispose(): void {
		this._stopListening();
		for (const local of this._local.values()) {
			local.dispose();
		}
	}

	private async _placeAnywhere(pool: Shard, req: PlaceRequest, signal: AbortSignal): Promise<PlaceReply> {
		const askedMs = this._options.clock.nowMs();
		const reply = await this._askHolder(pool, {type: 'scheduler.place', pool, req}, req.maxWaitMs + answerMarginMs);
		if (reply.kind !== 'not-holder') {
			return reply;
		}

		signal.throwIfAborted();
		const waitedMs = this._options.clock.nowMs() - askedMs;
		const rest = {...req, maxWaitMs: Math.max(0, req.maxWaitMs - waitedMs), budgetMs: req.budgetMs - waitedMs};
		this._options.count({type: 'count', metric: 'scheduler_local_placements_total'});
		return this._localShard(pool).place(rest);
	}

	/** A local placement is known here, any other to the holder. */
	private async _replaceAnywhere({pool, epoch, reservation: {reservation}}: Running, failure: DecodeFailure): Promise<SchedulerReply> {
		const reply = epoch === 0
			? notHolder
			: await this._askHolder(pool, {
				type: 'scheduler.replace', pool, reservation, failure,
			}, replaceTimeoutMs);
		return reply.kind === 'not-holder' ? this._localShard(pool).replace(reservation, failure) : reply;
	}

	/** Resolves with `not-holder` when there is no holder, or it does not answer. */
	private async _askHolder(pool: Shard, message: PeerMessage, timeoutMs: number): Promise<SchedulerReply> {
		const name = leaseName(pool);
		const holder = this._holder(pool);
		if (!holder || this._options.clock.nowMs() < (this._avoidUntilMs.get(name) ?? -Infinity)) {
			return notHolder;
		}

		try {
			const reply = replySchema.parse(await this._options.network.request(holder.vm, message, timeoutMs));
			return this._isStale(pool, reply) ? notHolder : reply;
		} catch {
			this._avoidUntilMs.set(name, this._options.clock.nowMs() + avoidHolderMs);
			this._options.count({type: 'count', metric: 'scheduler_holder_unanswered_total'});
			return notHolder;
		}
	}

	/** A placement of a deposed holder counts for nothing: its successor does not know the reservation. */
	private _isStale(pool: Shard, reply: SchedulerReply): boolean {
		if (reply.kind !== 'placed') {
			return false;
		}

		const {epoch} = reply.placement;
		const highest = Math.max(this._epochs.get(leaseName(pool)) ?? 0, this._lease(pool)?.epoch ?? 0);
		this._sawEpoch(pool, epoch);
		return epoch < highest;
	}

	private _sawEpoch(pool: Shard, epoch: number): void {
		const name = leaseName(pool);
		this._epochs.set(name, Math.max(epoch, this._epochs.get(name) ?? 0));
	}

	private _lease(pool: Shard): LeaseView | undefined {
		return this._options.access.view?.leases.get(leaseName(pool));
	}

	/** The holder, unless membership knows that it is gone. */
	private _holder(pool: Shard): VmIdentity | undefined {
		const holder = this._lease(pool)?.holder;
		const isDead = this._options.directory.entries.dead.some(({vm, incarnation}) => vm === holder?.vm && incarnation >= holder.incarnation);
		return isDead ? undefined : holder;
	}

	private _cancel(pool: Shard, requestId: string): void {
		this._local.get(leaseName(pool))?.cancel(requestId);
		const holder = this._holder(pool);
		if (holder) {
			this._options.network.send(holder.vm, {type: 'scheduler.cancel', pool, requestId});
		}
	}

	private _record(pool: Shard, req: PlaceRequest, reply: PlaceReply): void {
		if (reply.kind === 'placed') {
			this._running.set(reply.placement.reservation, {pool, epoch: reply.placement.epoch, reservation: reservationOf(req, reply.placement)});
		}
	}

	private _giveBack(reply: PlaceReply): void {
		if (reply.kind === 'placed') {
			this.progress({
				phase: 'ended', reservation: reply.placement.reservation, outputTokens: 0, reason: 'cancelled',
			});
		}
	}

	private _advance(running: Running, {phase, reservation}: Progress): void {
		if (phase === 'ended') {
			this._running.delete(reservation);
		} else if (phase === 'prefilled') {
			running.reservation = {...running.reservation, phase: 'transfer'};
		} else {
			running.reservation = {...running.reservation, phase: 'decode'};
		}
	}

	/** The local scheduler of a shard, which knows all that this process runs. */
	private _localShard(pool: Shard): LocalShard {
		const name = leaseName(pool);
		let local = this._local.get(name);
		if (!local) {
			local = new LocalShard(this._options, pool, () => this.report(pool).reservations);
			this._local.set(name, local);
		}

		local.refresh();
		return local;
	}
}

function reservationOf({requestId, tenant, promptTokens, maxTokens}: PlaceRequest, {reservation, prefill, decode}: Placement): RunningReservation {
	return {
		reservation, requestId, tenant, prefill, decode, promptTokens, maxTokens, phase: 'prefill',
	};
}

/** Places into this process's share of a shard's slots. */
class LocalShard implements Disposable {
	private readonly _policy = new LeasedSlotsPolicy(0, 1);
	private readonly _runner: ShardRunner;

	constructor(private readonly _options: PeerSchedulerClientOptions, private readonly _pool: Shard, private readonly _running: () => RunningReservation[]) {
		const {vm, incarnation} = _options.self;
		this._runner = new ShardRunner(_options, {policy: this._policy, idPrefix: `${vm}-${incarnation}-`});
		this._runner.runtime.on('scheduler/ask-report', () => {
			this._report(_options.clock.nowMs());
		});
		this._runner.runtime.dispatch({type: 'scheduler/lease', epoch: 0});
		if (_options.access.view) {
			this.configure(_options.access.view);
		}
	}

	configure({configuration, drainedUpstreams}: View): void {
		const engines = shardEngines(configuration, this._pool, drainedUpstreams);
		this._runner.runtime.dispatch({type: 'scheduler/configure', engines, weights: tenantWeights(configuration)});
	}

	/** Updates the share and the known reservations before use. */
	refresh(): void {
		const {directory: {entries}, self} = this._options;
		const vms: VmId[] = [...new Set([...entries.live.map(({vm}) => vm), self.vm])].sort();
		this._policy.setShare(vms.indexOf(self.vm), vms.length);
		// Only adds: a placement answered just now may not be in the list yet.
		this._report(-Infinity);
	}

	async place(req: PlaceRequest): Promise<PlaceReply> {
		const reply = await this._runner.place(this._options.self, req);
		return reply.kind === 'not-holder' ? {kind: 'refused', code: 'no-upstream', retryAfterMs: unknownRetryMs} : reply;
	}

	async replace(reservation: string, failure: DecodeFailure): Promise<SchedulerReply> {
		return this._runner.replace(this._options.self, reservation, failure);
	}

	has(reservation: string): boolean {
		return this._runner.state.reservations.has(reservation);
	}

	progress(progress: Progress): void {
		if (this.has(progress.reservation)) {
			this._runner.runtime.dispatch({type: 'scheduler/progress', owner: this._options.self, progress});
		}
	}

	cancel(requestId: string): void {
		this._runner.runtime.dispatch({type: 'scheduler/cancel', owner: this._options.self, requestId});
	}

	dispose(): void {
		this._runner.dispose();
	}

	private _report(askedMs: number): void {
		this._runner.runtime.dispatch({
			type: 'scheduler/report', owner: this._options.self, askedMs, reservations: this._running(),
		});
	}
}
