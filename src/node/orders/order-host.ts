import type {Disposable} from '../../common/core/disposable.js';
import type {VmIdentity} from '../../common/core/types.js';
import {ordersLease} from '../../common/control/apply.js';
import {rankByRendezvous} from '../../common/membership/rendezvous.js';
import {createOrders, reduceOrders} from '../../common/orders/orders.js';
import type {
	OrderEngine, OrdersEffect, OrdersEvent, OrdersOptions, OrdersState,
} from '../../common/orders/types.js';
import type {EntryDirectory} from '../../common/scheduler/entry-directory.js';
import type {LeaseKeeper} from '../../common/scheduler/lease-keeper.js';
import type {AccessService, View} from '../../common/services/access-service.js';
import type {ControlOperator} from '../control/control-operator.js';
import {Runtime} from '../runtime.js';
import {EngineControlClient} from '../scheduler/engine-control-client.js';
import {LeaseHolder, leaseTtlMs} from '../scheduler/lease-holder.js';
import type {RunnerPlatform} from '../scheduler/shard-runner.js';

/** Interval between ticks, and between attempts to acquire or renew the lease, in milliseconds. */
const tickMs = 250;
/** A process of the next lower rank waits so much longer before it tries to acquire a free lease, in milliseconds. */
const rankDelayMs = 300;

export type OrderHostOptions = RunnerPlatform & {
	readonly self: VmIdentity;
	readonly access: AccessService;
	readonly directory: EntryDirectory;
	readonly leases: LeaseKeeper;
	readonly operator: Pick<ControlOperator, 'listOrders' | 'settleOrder'>;
	readonly limits?: Partial<OrdersOptions>;
};

type EffectOf<T extends OrdersEffect['type']> = Extract<OrdersEffect, {type: T}>;

/** Carries out operators' orders to engines while this VM holds the lease `orders`, and applies for it when it is free. */
export class OrderHost implements Disposable {
	private readonly _state: OrdersState;
	private readonly _runtime: Runtime<OrdersEvent, OrdersEffect>;
	private readonly _engines = new EngineControlClient();
	private readonly _lease: LeaseHolder;
	private _timer: NodeJS.Timeout | undefined;
	private _freeSinceMs: number | undefined;
	private _configured: View | undefined;

	constructor(private readonly _options: OrderHostOptions) {
		const {clock, leases, limits} = _options;
		this._state = createOrders({leaseMs: leaseTtlMs, ...limits});
		this._runtime = new Runtime(event => reduceOrders(this._state, event), clock);
		this._lease = new LeaseHolder(ordersLease, leases, clock);
		this._registerEffects();
	}

	start(): void {
		this._timer = setInterval(() => {
			void this._tick();
		}, tickMs);
		this._timer.unref();
	}

	/** State for dumps; other VMs than the holder list no orders. */
	dump() {
		const {epoch} = this._lease;
		const nowMs = this._options.clock.nowMs();
		return {
			epoch,
			orders: epoch === undefined
				? []
				: [...this._state.orders.values()].map(({orderId, upstream, phase, sinceMs, waitsFor}) => ({
					orderId, upstream, phase, phaseAgeMs: nowMs - sinceMs, waitsFor,
				})),
		};
	}

	/** Starts no order any more and gives up the lease; if that fails, the lease expires. */
	async dispose(): Promise<void> {
		clearInterval(this._timer);
		this._timer = undefined;
		await this._release();
		await this._engines.dispose();
	}

	private async _tick(): Promise<void> {
		const {access: {view}, self} = this._options;
		if (!view) {
			return;
		}

		this._configure(view);
		if (view.drainedVms.has(self.vm)) {
			await this._release();
			return;
		}

		// A renewal that hangs must not keep the tick from noticing that the lease runs out.
		void this._stepLease(view);
		this._runtime.dispatch({type: 'orders/tick'});
	}

	private async _stepLease(view: View): Promise<void> {
		await this._lease.step(this._mayAcquire(view));
		if (this._timer) {
			this._followLease();
		}
	}

	private _followLease(): void {
		const {epoch, heldUntilMs} = this._lease;
		this._runtime.dispatch({type: 'orders/lease', epoch, heldUntilMs});
	}

	private async _release(): Promise<void> {
		const released = this._lease.release();
		this._followLease();
		await Promise.allSettled([released]);
	}

	private _mayAcquire(view: View): boolean {
		const {clock, self, directory: {entries}} = this._options;
		const holder = view.leases.get(ordersLease)?.holder;
		if (holder && holder.vm !== self.vm && !entries.dead.some(({vm, incarnation}) => vm === holder.vm && incarnation >= holder.incarnation)) {
			this._freeSinceMs = undefined;
			return false;
		}

		const nowMs = clock.nowMs();
		this._freeSinceMs ??= nowMs;
		const rank = Math.max(0, rankByRendezvous(ordersLease, entries.live, ({vm}) => vm).findIndex(({vm}) => vm === self.vm));
		return nowMs - this._freeSinceMs >= rank * rankDelayMs;
	}

	private _configure(view: View): void {
		if (view !== this._configured) {
			this._configured = view;
			this._runtime.dispatch({type: 'orders/configure', engines: enginesOf(view), weightRate: view.configuration.weightStore?.rate});
		}
	}

	private _registerEffects(): void {
		const {count, logger} = this._options;
		this._runtime.on('count', count);
		this._runtime.on('log', ({level, message, fields}) => {
			logger.log(level, message, fields);
		});
		this._runtime.on('orders/list', effect => {
			void this._list(effect);
		});
		this._runtime.on('orders/ask', effect => {
			void this._ask(effect);
		});
		this._runtime.on('orders/send', effect => {
			void this._send(effect);
		});
		this._runtime.on('orders/settle', effect => {
			void this._settle(effect);
		});
	}

	private async _list({epoch}: EffectOf<'orders/list'>): Promise<void> {
		const records = await this._options.operator.listOrders({open: true}).catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then -- a failed read is repeated
		this._runtime.dispatch({type: 'orders/listed', epoch, records});
	}

	private async _ask({engine, address, askedMs}: EffectOf<'orders/ask'>): Promise<void> {
		const [load, state] = await Promise.allSettled([this._engines.load(address), this._engines.orderState(address)]);
		this._runtime.dispatch({
			type: 'orders/engine',
			engine,
			askedMs,
			load: load.status === 'fulfilled' ? load.value : undefined,
			state: state.status === 'fulfilled' ? state.value : undefined,
		});
	}

	private async _send({orderId, address, epoch, order, sentMs, heldUntilMs}: EffectOf<'orders/send'>): Promise<void> {
		// The process may have been suspended since the reducer decided.
		const result = this._options.clock.nowMs() < heldUntilMs
			? await this._engines.sendOrder(address, {orderId, fencing: epoch, order})
			: {kind: 'not-sent'} as const;
		this._runtime.dispatch({
			type: 'orders/answer', orderId, epoch, sentMs, result,
		});
	}

	private async _settle({orderId, epoch, outcome: {status, detail}}: EffectOf<'orders/settle'>): Promise<void> {
		this._runtime.dispatch({
			type: 'orders/settled', orderId, epoch, result: await this._record(orderId, epoch, status, detail),
		});
	}

	private async _record(orderId: string, epoch: number, status: 'done' | 'failed', detail: string | undefined): Promise<'recorded' | 'stale' | 'gone' | 'unknown'> {
		try {
			const result = await this._options.operator.settleOrder(orderId, epoch, status, detail);
			if (result.kind === 'done') {
				return 'recorded';
			}

			return result.code === 'stale' ? 'stale' : 'gone';
		} catch {
			return 'unknown';
		}
	}
}

function enginesOf({configuration, drainedUpstreams}: View): OrderEngine[] {
	return Object.entries(configuration.upstreams).map(([name, {address, service, role, slots, checksFencing}]) => ({
		name, address, service, role, slots, checksFencing, isDrained: drainedUpstreams.has(name),
	}));
}
