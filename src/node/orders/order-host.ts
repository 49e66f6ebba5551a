import type {Disposable} from '../../common/core/disposable.js';
import type {VmIdentity} from '../../common/core/types.js';
import {ordersLeaseName} from '../../common/control/apply.js';
import {rankByRendezvous} from '../../common/membership/rendezvous.js';
import {createOrders, reduceOrders} from '../../common/orders/orders.js';
import type {
	EngineSpec, OrdersEffect, OrdersEvent, OrdersOptions, OrdersState,
} from '../../common/orders/types.js';
import type {EntryProcessDirectory} from '../../common/scheduler/entry-process-directory.js';
import type {LeaseStore} from '../../common/scheduler/lease-store.js';
import type {AccessService, SharedStateView} from '../../common/services/access-service.js';
import type {ControlAdminClient} from '../control/control-admin-client.js';
import {ReducerRuntime} from '../runtime.js';
import {EngineControlClient} from '../scheduler/engine-control-client.js';
import {LeaseHolder, leaseTtlMs} from '../scheduler/lease-holder.js';
import type {RunnerServices} from '../scheduler/shard-runner.js';

/** Interval between ticks, in milliseconds. Each tick also tries to acquire or renew the lease. */
const tickIntervalMs = 250;
/**
Time that a process waits before it tries to acquire a free lease, in milliseconds for each entry process that precedes it in the rendezvous
order. The delays differ so that at first only one process tries.
*/
const acquireDelayPerRankMs = 300;

export type OrderHostOptions = RunnerServices & {
	readonly self: VmIdentity;
	readonly access: AccessService;
	readonly directory: EntryProcessDirectory;
	readonly leases: LeaseStore;
	readonly adminClient: Pick<ControlAdminClient, 'listOrders' | 'settleOrder'>;
	readonly limits?: Partial<OrdersOptions>;
};

type EffectOf<T extends OrdersEffect['type']> = Extract<OrdersEffect, {type: T}>;

/** Carries out operators' orders to engines while this VM holds the lease `orders`, and tries to acquire the lease when it is free. */
export class OrderHost implements Disposable {
	private readonly _state: OrdersState;
	private readonly _runtime: ReducerRuntime<OrdersEvent, OrdersEffect>;
	private readonly _engineClient: EngineControlClient;
	private readonly _lease: LeaseHolder;
	private _timer: NodeJS.Timeout | undefined;
	private _leaseFreeSinceMs: number | undefined;
	private _configuredView: SharedStateView | undefined;

	constructor(private readonly _options: OrderHostOptions) {
		const {clock, logger, leases, limits} = _options;
		this._engineClient = new EngineControlClient(clock, logger);
		this._state = createOrders({leaseMs: leaseTtlMs, ...limits});
		this._runtime = new ReducerRuntime(event => reduceOrders(this._state, event), clock);
		this._lease = new LeaseHolder(ordersLeaseName, leases, clock);
		this._registerEffects();
	}

	start(): void {
		this._timer = setInterval(() => {
			void this._tick();
		}, tickIntervalMs);
		this._timer.unref();
	}

	/** Returns the state for dumps. Orders are listed only while this VM holds the lease. */
	dump() {
		const {epoch} = this._lease;
		const nowMs = this._options.clock.nowMs();
		return {
			epoch,
			orders: epoch === undefined
				? []
				: [...this._state.orders.values()].map(({orderId, upstream, phase, phaseStartedMs, waitsFor}) => ({
					orderId, upstream, phase, phaseAgeMs: nowMs - phaseStartedMs, waitsFor,
				})),
		};
	}

	/** Stops sending orders and releases the lease. If the release fails, the lease expires. */
	async dispose(): Promise<void> {
		clearInterval(this._timer);
		this._timer = undefined;
		await this._releaseLease();
		await this._engineClient.dispose();
	}

	private async _tick(): Promise<void> {
		const {access: {view}, self} = this._options;
		if (!view) {
			return;
		}

		this._configure(view);
		if (view.drainedVms.has(self.vm)) {
			await this._releaseLease();
			return;
		}

		// Not awaited: a renewal that hangs must not keep the tick from noticing that the lease has expired.
		void this._maintainLease(view);
		this._runtime.dispatch({type: 'orders/tick'});
	}

	private async _maintainLease(view: SharedStateView): Promise<void> {
		await this._lease.renewOrAcquire(this._mayAcquire(view));
		if (this._timer) {
			this._dispatchLease();
		}
	}

	private _dispatchLease(): void {
		const {epoch, heldUntilMs} = this._lease;
		this._runtime.dispatch({type: 'orders/lease', epoch, heldUntilMs});
	}

	private async _releaseLease(): Promise<void> {
		const released = this._lease.release();
		this._dispatchLease();
		await Promise.allSettled([released]);
	}

	private _mayAcquire(view: SharedStateView): boolean {
		const {clock, self, directory: {entries}} = this._options;
		const holder = view.leases.get(ordersLeaseName)?.holder;
		if (holder && holder.vm !== self.vm && !entries.dead.some(({vm, incarnation}) => vm === holder.vm && incarnation >= holder.incarnation)) {
			this._leaseFreeSinceMs = undefined;
			return false;
		}

		const nowMs = clock.nowMs();
		this._leaseFreeSinceMs ??= nowMs;
		const rank = Math.max(0, rankByRendezvous(ordersLeaseName, entries.live, ({vm}) => vm).findIndex(({vm}) => vm === self.vm));
		return nowMs - this._leaseFreeSinceMs >= rank * acquireDelayPerRankMs;
	}

	private _configure(view: SharedStateView): void {
		if (view !== this._configuredView) {
			this._configuredView = view;
			this._runtime.dispatch({type: 'orders/configure', engines: engineSpecsOf(view), weightStoreBytesPerS: view.configuration.weightStore?.rate});
		}
	}

	private _registerEffects(): void {
		const {count, logger} = this._options;
		this._runtime.on('count', count);
		this._runtime.on('log', ({level, message, fields}) => {
			logger.log(level, message, fields);
		});
		this._runtime.on('orders/list', effect => {
			void this._listOrders(effect);
		});
		this._runtime.on('orders/ask', effect => {
			void this._pollEngine(effect);
		});
		this._runtime.on('orders/send', effect => {
			void this._sendOrder(effect);
		});
		this._runtime.on('orders/settle', effect => {
			void this._settleOrder(effect);
		});
	}

	private async _listOrders({epoch}: EffectOf<'orders/list'>): Promise<void> {
		const records = await this._options.adminClient.listOrders({open: true}).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then -- a failed read is retried by the reducer
		this._runtime.dispatch({type: 'orders/listed', epoch, records});
	}

	private async _pollEngine({engine, address, polledMs}: EffectOf<'orders/ask'>): Promise<void> {
		const [load, state] = await Promise.allSettled([this._engineClient.fetchLoad(address), this._engineClient.fetchOrderState(address)]);
		this._runtime.dispatch({
			type: 'orders/engine',
			engine,
			polledMs,
			load: load.status === 'fulfilled' ? load.value : undefined,
			state: state.status === 'fulfilled' ? state.value : undefined,
		});
	}

	private async _sendOrder({orderId, address, epoch, order, sentMs, heldUntilMs}: EffectOf<'orders/send'>): Promise<void> {
		// The lease is checked again, because the process may have been suspended since the reducer checked it.
		const result = this._options.clock.nowMs() < heldUntilMs
			? await this._engineClient.sendOrder(address, {orderId, fencing: epoch, order})
			: {kind: 'not-sent'} as const;
		this._runtime.dispatch({
			type: 'orders/answer', orderId, epoch, sentMs, result,
		});
	}

	private async _settleOrder({orderId, epoch, outcome: {status, detail}}: EffectOf<'orders/settle'>): Promise<void> {
		this._runtime.dispatch({
			type: 'orders/settled', orderId, epoch, result: await this._recordOutcome(orderId, epoch, status, detail),
		});
	}

	private async _recordOutcome(orderId: string, epoch: number, status: 'done' | 'failed', detail: string | undefined): Promise<'recorded' | 'stale' | 'gone' | 'unknown'> {
		try {
			const result = await this._options.adminClient.settleOrder(orderId, epoch, status, detail);
			if (result.kind === 'done') {
				return 'recorded';
			}

			return result.code === 'stale' ? 'stale' : 'gone';
		} catch {
			return 'unknown';
		}
	}
}

function engineSpecsOf({configuration, drainedUpstreams}: SharedStateView): EngineSpec[] {
	return Object.entries(configuration.upstreams).map(([name, {address, service, role, slots, checksFencing}]) => ({
		name, address, service, role, slots, checksFencing, isDrained: drainedUpstreams.has(name),
	}));
}
