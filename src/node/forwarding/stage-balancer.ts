import type {Clock} from '../../common/core/clock.js';
import type {Disposable} from '../../common/core/disposable.js';
import type {Logger} from '../../common/core/log.js';
import {chooseStageChange} from '../../common/forwarding/stage-plan.js';
import type {StageChange} from '../../common/forwarding/stage-plan.js';
import {serverKey} from '../../common/forwarding/types.js';
import type {Server} from '../../common/forwarding/server-directory.js';
import type {EngineStage, ServerKey} from '../../common/forwarding/types.js';
import type {Metrics} from '../../common/services/metrics.js';
import type {LeaseHolder} from '../scheduler/lease-holder.js';
import type {FleetProtocol} from './fleet-protocol.js';
import type {ServerFleet} from './server-fleet.js';

/** Interval between two checks of the pools, in milliseconds. */
const tickIntervalMs = 300;
/**
Time for which a pool must be out of balance before an engine is ordered to change its stage, in milliseconds. A pool may be out
of balance for a shorter time while servers start, since the list then grows step by step.
*/
const minImbalanceMs = 1500;
/** Maximum age of the server list that orders are based on, in milliseconds. */
const maxListAgeMs = 3000;
/**
Slack added to `minOrderGapMs`, in milliseconds. A new holder of the lease waits for the sum before its first order, to keep this
order apart from the last order of the previous holder.
*/
const orderGapSlackMs = 500;
/** Timeout of one call to an engine, in milliseconds. */
const engineCallTimeoutMs = 1000;
/** Maximum time between the sending of an order and the change of stage, in milliseconds. Within this time, the engine gets no other order until the list shows the change. */
const orderValidityMs = 15_000;
/** Pause before the next order after an engine rejected an order or was not able to accept one, in milliseconds. */
const rejectedOrderPauseMs = 2000;
/** Epoch in which the lease is held for the first time; its holder gives orders without waiting, since there is no previous holder. */
const firstEpoch = 1;

export type StageBalancerOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly protocol: FleetProtocol;
	readonly fleet: ServerFleet;
	readonly lease: LeaseHolder;
	/** Returns whether this process leads the replicated log; only the leader acquires the lease. */
	readonly isLeader: () => boolean;
	/** Name by which this process identifies itself as the lease holder in the orders that it sends to engines. */
	readonly holderName: string;
	/** Names of the services whose engine pools are kept in balance. */
	readonly services: () => readonly string[];
	/** Tells the other processes to send an engine no work for `forMs` milliseconds; 0 ends the suspension early. */
	readonly announceSuspended: (key: ServerKey, forMs: number) => void;
	/** Minimum time between orders of two different holders of the lease, in milliseconds. */
	readonly minOrderGapMs: number;
};

/**
Keeps the number of prefill and decode engines of each pool in balance by ordering engines to change their stage. Only the
holder of a lease gives orders.
*/
export class StageBalancer implements Disposable {
	private readonly _timer: NodeJS.Timeout;
	private readonly _pendingOrders = new Map<ServerKey, {readonly stage: EngineStage; readonly untilMs: number}>();
	private _unbalancedSinceMs: number | undefined;
	private _epoch: number | undefined;
	private _leaseHeldSinceMs = 0;
	private _pausedUntilMs = 0;
	private _isTicking = false;

	constructor(private readonly _options: StageBalancerOptions) {
		this._timer = setInterval(() => {
			void this.tick();
		}, tickIntervalMs);
		this._timer.unref();
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	/** Checks the pools once, unless a check is under way. A timer calls this method at regular intervals. */
	async tick(): Promise<void> {
		if (this._isTicking) {
			return;
		}

		this._isTicking = true;
		try {
			await this._balance();
		} catch (err) {
			this._options.logger.log('warn', 'stage balancing failed', {detail: err instanceof Error ? err.message : String(err)});
		} finally {
			this._isTicking = false;
		}
	}

	private async _balance(): Promise<void> {
		const {clock, lease, isLeader, minOrderGapMs} = this._options;
		const nowMs = clock.nowMs();
		const change = this._findStageChange(nowMs);
		if (!change) {
			this._unbalancedSinceMs = undefined;
			if (this._epoch !== undefined) {
				this._epoch = undefined;
				await lease.release();
			}

			return;
		}

		this._unbalancedSinceMs ??= nowMs;
		if (nowMs - this._unbalancedSinceMs < minImbalanceMs) {
			return;
		}

		await lease.renewOrAcquire(isLeader());
		const {epoch} = lease;
		if (epoch !== this._epoch) {
			this._epoch = epoch;
			this._leaseHeldSinceMs = clock.nowMs();
		}

		const waitMs = epoch === firstEpoch ? 0 : minOrderGapMs + orderGapSlackMs;
		if (epoch !== undefined && clock.nowMs() - this._leaseHeldSinceMs >= waitMs && nowMs >= this._pausedUntilMs) {
			await this._sendOrder(change, epoch);
		}
	}

	private _findStageChange(nowMs: number): StageChange | undefined {
		const {fleet: {directory}, services} = this._options;
		if (directory.listRequestedAtMs === undefined || nowMs - directory.listRequestedAtMs > maxListAgeMs) {
			return undefined;
		}

		for (const [key, {stage, untilMs}] of this._pendingOrders) {
			if (nowMs >= untilMs || [undefined, stage].includes(directory.get(key)?.record.stage)) {
				this._pendingOrders.delete(key);
			}
		}

		const pendingStages = new Map([...this._pendingOrders].map(([key, {stage}]) => [key, stage]));
		for (const service of services()) {
			const change = chooseStageChange({servers: directory.readyServers(service).map(({record}) => record), pendingStages});
			if (change) {
				return change;
			}
		}

		return undefined;
	}

	private async _sendOrder({record, stage}: StageChange, epoch: number): Promise<void> {
		const {fleet, protocol, clock, logger, metrics, holderName} = this._options;
		const key = serverKey(record);
		const server = fleet.directory.get(key);
		if (!server) {
			return;
		}

		const adapter = fleet.adapterFor(server);
		const reportAnswer = await adapter.call(protocol.buildReportCall(record.id), engineCallTimeoutMs, {isNewConnection: true});
		const report = reportAnswer.status === 200 ? protocol.readReport(reportAnswer.text) : undefined;
		if (!report || report.isBusy || report.stage === stage || this._options.lease.epoch !== epoch || fleet.directory.isEvacuated(server)) {
			this._pausedUntilMs = clock.nowMs() + rejectedOrderPauseMs;
			return;
		}

		// Recorded before the call, since an engine may carry out an order even if its answer is lost.
		this._pendingOrders.set(key, {stage, untilMs: clock.nowMs() + orderValidityMs});
		this._suspendServer(server, orderValidityMs);
		const call = protocol.buildStageOrderCall({
			serverId: record.id, stage, holder: holderName, epoch, expectedOrders: report.acceptedOrders,
		});
		const {status} = await adapter.call(call, engineCallTimeoutMs, {isNewConnection: true});
		metrics.count('stage_orders_total', {status: String(status)});
		logger.log('info', 'engine ordered to change its stage', {
			server: key, stage, epoch, status, listAgeMs: fleet.listAgeMs(),
		});
		if (status !== 200 && status !== 202) {
			this._pausedUntilMs = clock.nowMs() + rejectedOrderPauseMs;
			this._suspendServer(server, 0);
		}
	}

	/**
	Suspends an engine that is about to change its stage for `forMs` milliseconds; 0 ends the suspension. Such an engine may still
	grant reservations, but would reject the requests that use them.
	*/
	private _suspendServer(server: Server, forMs: number): void {
		const {fleet, clock, announceSuspended} = this._options;
		fleet.directory.suspend(server, clock.nowMs() + forMs);
		announceSuspended(server.key, forMs);
	}
}
