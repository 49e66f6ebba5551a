/** Simulation for tests: holders that compete for the lease, engines and the replicated records, on a virtual clock. */
import type {WithoutTime} from '../core/types.js';
import type {OrderRecord} from '../control/messages.js';
import type {SeededRandom} from '../core/random.js';
import type {LoadReply, Order, OrderState} from '../upstreams/engine-api.js';
import {createOrders, reduceOrders} from './orders.js';
import type {
	OrderEngine, OrdersEffect, OrdersEvent, OrdersState, SendResult,
} from './types.js';

type Event = WithoutTime<OrdersEvent>;
type SendEffect = Extract<OrdersEffect, {type: 'orders/send'}>;

export const weightRate = 1000;
const stepMs = 50;
const leaseMs = 2000;
const holdMs = 1800;
const answerTimeoutMs = 1000;
const orderTimeoutMs = 5000;

/** An engine that, unlike the fake one, carries out a repeated order again. */
export class SimulatedEngine {
	readonly accepted: Array<{orderId: string; fencing: number}> = [];
	readonly loads: Array<{fromMs: number; toMs: number}> = [];
	highest = 0;
	models: string[] = [];
	role: OrderState['role'];

	constructor(readonly spec: OrderEngine) {
		this.role = spec.role as OrderState['role'];
	}

	submit({orderId, epoch, order}: SendEffect, nowMs: number): SendResult {
		if (this.spec.checksFencing && epoch < this.highest) {
			return {kind: 'stale', highest: this.highest};
		}

		this.highest = Math.max(this.highest, epoch);
		this.accepted.push({orderId, fencing: epoch});
		if (order.kind === 'set-role') {
			this.role = order.role;
		} else {
			this.loads.push({fromMs: nowMs, toMs: nowMs + (order.bytes / weightRate * 1000)});
			this.models.push(order.kind === 'load-model' ? order.model : order.adapter);
		}

		return {kind: 'accepted', state: this.stateAt(nowMs)};
	}

	stateAt(nowMs: number): OrderState {
		return {
			highestFencing: this.highest,
			...(this.accepted.length > 0 && {lastOrderId: this.accepted.at(-1)!.orderId}),
			models: this.models,
			adapters: this.models,
			role: this.role,
			loading: this.loads.some(({toMs}) => toMs > nowMs),
		};
	}
}

export function makeLoad(activeDecodes = 0, slots = 20): LoadReply {
	return {
		ageMs: 0, queuedPrefillTokens: 0, activeDecodes, slots, freeBlocks: 100, totalBlocks: 100, leaving: false,
	};
}

export function makeEngine(name: string, changes: Partial<OrderEngine> = {}): OrderEngine {
	return {
		name, address: name, service: 'dossiers', role: 'both', slots: 20, checksFencing: true, isDrained: false, ...changes,
	};
}

class Holder {
	readonly state: OrdersState = createOrders({leaseMs, orderTimeoutMs});
	frozenUntilMs = 0;
	epoch: number | undefined;
	isAsking = false;
	readonly inbox: Event[] = [];
}

export class OrdersSimulation {
	readonly engines: ReadonlyMap<string, SimulatedEngine>;
	readonly records: OrderRecord[] = [];
	readonly holders = [new Holder(), new Holder()];
	nowMs = 0;
	/** No process freezes and no answer is lost from then on. */
	calmMs = Infinity;
	private readonly _actions: Array<{atMs: number; run: () => void}> = [];
	private _lease: {holder: Holder | undefined; epoch: number; expiresMs: number} = {holder: undefined, epoch: 0, expiresMs: 0};

	constructor(private readonly _random: SeededRandom, specs: readonly OrderEngine[]) {
		this.engines = new Map(specs.map(spec => [spec.name, new SimulatedEngine(spec)]));
		for (const holder of this.holders) {
			this._dispatch(holder, {type: 'orders/configure', engines: specs, weightRate});
		}
	}

	submit(upstream: string, order: Order): void {
		this.records.push({
			orderId: `order-${this.records.length}`, upstream, order, status: 'submitted', submittedMs: this.nowMs,
		});
	}

	runUntil(endMs: number): void {
		while (this.nowMs < endMs) {
			this.nowMs += stepMs;
			const due = this._actions.filter(({atMs}) => atMs <= this.nowMs);
			this._actions.splice(0, this._actions.length, ...this._actions.filter(({atMs}) => atMs > this.nowMs));
			for (const {run} of due) {
				run();
			}

			for (const holder of this.holders) {
				this._step(holder);
			}
		}
	}

	private _step(holder: Holder): void {
		if (this.nowMs < holder.frozenUntilMs) {
			return;
		}

		for (const event of holder.inbox.splice(0)) {
			this._dispatch(holder, event);
		}

		this._dispatch(holder, {type: 'orders/tick'});
		if (this.nowMs % 250 === 0 && !holder.isAsking) {
			this._askLease(holder);
		}

		if (this.nowMs < this.calmMs && this._random.next() < 0.01) {
			holder.frozenUntilMs = this.nowMs + this._random.integer(500, 8000);
		}
	}

	private _after(delayMs: number, run: () => void): void {
		this._actions.push({atMs: this.nowMs + delayMs, run});
	}

	private _isLost(): boolean {
		return this.nowMs < this.calmMs && this._random.next() < 0.3;
	}

	/** Events that reach a frozen process wait for its return. */
	private _deliver(holder: Holder, event: Event): void {
		if (this.nowMs < holder.frozenUntilMs) {
			holder.inbox.push(event);
		} else {
			this._dispatch(holder, event);
		}
	}

	private _dispatch(holder: Holder, event: Event): void {
		for (const effect of reduceOrders(holder.state, {...event, nowMs: this.nowMs})) {
			this._execute(holder, effect);
		}
	}

	private _askLease(holder: Holder): void {
		const askedMs = this.nowMs;
		holder.isAsking = true;
		this._after(this._random.integer(50, 300), () => {
			if (this.nowMs >= this._lease.expiresMs) {
				this._lease.holder = undefined;
			}

			if (this._lease.holder === undefined) {
				this._lease = {holder, epoch: this._lease.epoch + 1, expiresMs: 0};
			}

			const epoch = this._lease.holder === holder ? this._lease.epoch : undefined;
			if (epoch !== undefined) {
				this._lease.expiresMs = this.nowMs + leaseMs;
			}

			this._after(50, () => {
				holder.isAsking = false;
				this._deliver(holder, {type: 'orders/lease', epoch, heldUntilMs: askedMs + holdMs});
			});
		});
	}

	private _execute(holder: Holder, effect: OrdersEffect): void {
		switch (effect.type) {
			case 'orders/list': {
				this._after(this._random.integer(50, 1500), () => {
					const records = structuredClone(this.records);
					this._after(this._random.integer(50, 1500), () => {
						this._deliver(holder, {type: 'orders/listed', epoch: effect.epoch, records});
					});
				});
				break;
			}

			case 'orders/ask': {
				this._ask(holder, effect);
				break;
			}

			case 'orders/send': {
				this._send(holder, effect);
				break;
			}

			case 'orders/settle': {
				this._settle(holder, effect);
				break;
			}

			case 'count':
			case 'log': {
				break;
			}
		}
	}

	private _ask(holder: Holder, {engine, askedMs}: Extract<OrdersEffect, {type: 'orders/ask'}>): void {
		this._after(this._random.integer(50, 400), () => {
			const state = this.engines.get(engine)!.stateAt(this.nowMs);
			const isLost = this._isLost();
			this._after(this._random.integer(50, 400), () => {
				this._deliver(holder, {
					type: 'orders/engine', engine, askedMs, load: isLost ? undefined : makeLoad(), state: isLost ? undefined : state,
				});
			});
		});
	}

	/** Some orders arrive after the holder has given up on the answer, up to the order timeout. */
	private _send(holder: Holder, effect: SendEffect): void {
		const {orderId, epoch, sentMs} = effect;
		const isLate = this._isLost();
		const answer = (result: SendResult): void => {
			this._deliver(holder, {
				type: 'orders/answer', orderId, epoch, sentMs, result,
			});
		};

		this._after(isLate ? this._random.integer(answerTimeoutMs, orderTimeoutMs - (2 * stepMs)) : 100, () => {
			const result = this.engines.get(effect.address)!.submit(effect, this.nowMs);
			if (!isLate) {
				const isLost = this._isLost();
				this._after(isLost ? answerTimeoutMs : 100, () => {
					answer(isLost ? {kind: 'unknown'} : result);
				});
			}
		});
		if (isLate) {
			this._after(answerTimeoutMs, () => {
				answer({kind: 'unknown'});
			});
		}
	}

	private _settle(holder: Holder, {orderId, epoch, outcome}: Extract<OrdersEffect, {type: 'orders/settle'}>): void {
		this._after(this._random.integer(50, 500), () => {
			const isCurrent = epoch === this._lease.epoch;
			const i = this.records.findIndex(record => record.orderId === orderId);
			if (isCurrent) {
				this.records[i] = {...this.records[i]!, ...outcome};
			}

			const isLost = this._isLost();
			this._after(isLost ? 2000 : 50, () => {
				this._deliver(holder, {
					type: 'orders/settled', orderId, epoch, result: isLost ? 'unknown' : (isCurrent ? 'recorded' : 'stale'),
				});
			});
		});
	}
}
