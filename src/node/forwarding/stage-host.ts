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

/** Time between two looks at the pools, in milliseconds. */
const tickMs = 300;
/** A pool must have been out of balance this long, in milliseconds; lists grow step by step while servers start. */
const settleMs = 1500;
/** The list must be at most this old, in milliseconds. */
const listValidityMs = 3000;
/** Slack on the time that a new holder of the lease waits for its predecessor's orders, in milliseconds. */
const turnSlackMs = 500;
/** Bound on one call to an engine, in milliseconds. */
const callTimeoutMs = 1000;
/** An order may be carried out this long after it was sent, in milliseconds; the engine gets no other one until then. */
const orderValidityMs = 15_000;
/** Pause after an order that was not accepted, in milliseconds. */
const refusedPauseMs = 2000;
/** Fencing number of the first holder ever, which has no predecessor to wait for. */
const firstEpoch = 1;

export type StageHostOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly protocol: FleetProtocol;
	readonly fleet: ServerFleet;
	readonly lease: LeaseHolder;
	/** Whether this process leads the replicated log; one that does not acquires no lease. */
	readonly isLeader: () => boolean;
	/** Names this process in orders. */
	readonly holder: string;
	/** Services whose engines are balanced. */
	readonly services: () => readonly string[];
	/** Tells the other processes that an engine turns work away for so long, or takes that back with 0. */
	readonly announceSuspended: (key: ServerKey, forMs: number) => void;
	/** Time for which orders of two holders must lie apart, in milliseconds. */
	readonly turnMs: number;
};

/** Keeps the stages of engine pools in balance, as the only holder of the lease on orders. */
export class StageHost implements Disposable {
	private readonly _timer: NodeJS.Timeout;
	private readonly _ordered = new Map<ServerKey, {readonly stage: EngineStage; readonly untilMs: number}>();
	private _unbalancedSinceMs: number | undefined;
	private _epoch: number | undefined;
	private _heldSinceMs = 0;
	private _pausedUntilMs = 0;
	private _isBusy = false;

	constructor(private readonly _options: StageHostOptions) {
		this._timer = setInterval(() => {
			void this.tick();
		}, tickMs);
		this._timer.unref();
	}

	dispose(): void {
		clearInterval(this._timer);
	}

	/** Looks at the pools once; the host does so by itself again and again. */
	async tick(): Promise<void> {
		if (this._isBusy) {
			return;
		}

		this._isBusy = true;
		try {
			await this._balance();
		} catch (err) {
			this._options.logger.log('warn', 'stages not balanced', {detail: err instanceof Error ? err.message : String(err)});
		} finally {
			this._isBusy = false;
		}
	}

	private async _balance(): Promise<void> {
		const {clock, lease, isLeader, turnMs} = this._options;
		const nowMs = clock.nowMs();
		const change = this._change(nowMs);
		if (!change) {
			this._unbalancedSinceMs = undefined;
			if (this._epoch !== undefined) {
				this._epoch = undefined;
				await lease.release();
			}

			return;
		}

		this._unbalancedSinceMs ??= nowMs;
		if (nowMs - this._unbalancedSinceMs < settleMs) {
			return;
		}

		await lease.step(isLeader());
		const {epoch} = lease;
		if (epoch !== this._epoch) {
			this._epoch = epoch;
			this._heldSinceMs = clock.nowMs();
		}

		const waitMs = epoch === firstEpoch ? 0 : turnMs + turnSlackMs;
		if (epoch !== undefined && clock.nowMs() - this._heldSinceMs >= waitMs && nowMs >= this._pausedUntilMs) {
			await this._order(change, epoch);
		}
	}

	private _change(nowMs: number): StageChange | undefined {
		const {fleet: {directory}, services} = this._options;
		if (directory.listedMs === undefined || nowMs - directory.listedMs > listValidityMs) {
			return undefined;
		}

		for (const [key, {stage, untilMs}] of this._ordered) {
			if (nowMs >= untilMs || [undefined, stage].includes(directory.get(key)?.record.stage)) {
				this._ordered.delete(key);
			}
		}

		const ordered = new Map([...this._ordered].map(([key, {stage}]) => [key, stage]));
		for (const service of services()) {
			const change = chooseStageChange({servers: directory.ready(service).map(({record}) => record), ordered});
			if (change) {
				return change;
			}
		}

		return undefined;
	}

	private async _order({record, stage}: StageChange, epoch: number): Promise<void> {
		const {fleet, protocol, clock, logger, metrics, holder} = this._options;
		const key = serverKey(record);
		const server = fleet.directory.get(key);
		if (!server) {
			return;
		}

		const adapter = fleet.adapter(server);
		const before = await adapter.call(protocol.reportCall(record.id), callTimeoutMs);
		const report = before.status === 200 ? protocol.readReport(before.text) : undefined;
		if (!report || report.isBusy || report.stage === stage || this._options.lease.epoch !== epoch) {
			this._pausedUntilMs = clock.nowMs() + refusedPauseMs;
			return;
		}

		// Even without an answer the order may be carried out.
		this._ordered.set(key, {stage, untilMs: clock.nowMs() + orderValidityMs});
		this._suspend(server, orderValidityMs);
		const call = protocol.stageOrderCall({
			serverId: record.id, stage, holder, epoch, expectedOrders: report.orders,
		});
		const {status} = await adapter.call(call, callTimeoutMs);
		metrics.count('stage_orders_total', {status: String(status)});
		logger.log('info', 'engine ordered to change its stage', {
			server: key, stage, epoch, status, listAgeMs: fleet.listAgeMs(),
		});
		if (status !== 200 && status !== 202) {
			this._pausedUntilMs = clock.nowMs() + refusedPauseMs;
			this._suspend(server, 0);
		}
	}

	/** Reservations that the engine still grants would end in requests that it turns away. */
	private _suspend(server: Server, forMs: number): void {
		const {fleet, clock, announceSuspended} = this._options;
		fleet.directory.suspend(server, clock.nowMs() + forMs);
		announceSuspended(server.key, forMs);
	}
}
