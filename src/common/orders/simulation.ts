/** Test simulation on a virtual clock: processes that compete for the lease, engines, and the replicated order records. */
import type {UntimedEvent} from '../core/types.js';
import type {OrderRecord} from '../control/messages.js';
import type {SeededRandom} from '../core/random.js';
import type {LoadReply, Order, OrderState} from '../upstreams/engine-api.js';
import {createOrders, reduceOrders} from './orders.js';
import type {
	EngineSpec, OrdersEffect, OrdersEvent, OrdersState, OrderSendResult,
} from './types.js';

type UntimedOrdersEvent = UntimedEvent<OrdersEvent>;
type SendEffect = Extract<OrdersEffect, {type: 'orders/send'}>;

export const weightStoreBytesPerS = 1000;
const stepMs = 50;
const leaseMs = 2000;
const leaseHoldMs = 1800;
const requestTimeoutMs = 1000;
const orderTimeoutMs = 5000;

/** Simulated engine. Unlike `FakeEngine`, it carries out an order again if the order is sent twice, so that tests can detect repeated sends. */
export class SimulatedEngine {
	readonly accepted: Array<{orderId: string; fencing: number}> = [];
	readonly loads: Array<{fromMs: number; toMs: number}> = [];
	highestFencing = 0;
	models: string[] = [];
	role: OrderState['role'];

	constructor(readonly spec: EngineSpec) {
		this.role = spec.role as OrderState['role'];
	}

	submit({orderId, epoch, order}: SendEffect, nowMs: number): OrderSendResult {
		if (this.spec.checksFencing && epoch < this.highestFencing) {
			return {kind: 'stale', highest: this.highestFencing};
		}

		this.highestFencing = Math.max(this.highestFencing, epoch);
		this.accepted.push({orderId, fencing: epoch});
		if (order.kind === 'set-role') {
			this.role = order.role;
		} else {
			this.loads.push({fromMs: nowMs, toMs: nowMs + (order.bytes / weightStoreBytesPerS * 1000)});
			this.models.push(order.kind === 'load-model' ? order.model : order.adapter);
		}

		return {kind: 'accepted', state: this.stateAt(nowMs)};
	}

	stateAt(nowMs: number): OrderState {
		return {
			highestFencing: this.highestFencing,
			...(this.accepted.length > 0 && {lastOrderId: this.accepted.at(-1)!.orderId}),
			models: this.models,
			adapters: this.models,
			role: this.role,
			loading: this.loads.some(({toMs}) => toMs > nowMs),
		};
	}
}

export function makeLoadReply(activeDecodes = 0, slots = 20): LoadReply {
	return {
		ageMs: 0, queuedPrefillTokens: 0, activeDecodes, slots, freeBlocks: 100, totalBlocks: 100, leaving: false,
	};
}

export function makeEngineSpec(name: string, changes: Partial<EngineSpec> = {}): EngineSpec {
	return {
		name, address: name, service: 'dossiers', role: 'both', slots: 20, checksFencing: true, isDrained: false, ...changes,
	};
}

/** A process that competes for the lease. */
class LeaseCandidate {
	readonly state: OrdersState = createOrders({leaseMs, orderTimeoutMs});
	suspendedUntilMs = 0;
	epoch: number | undefined;
	isLeaseRequestPending = false;
	readonly pendingEvents: UntimedOrdersEvent[] = [];
}

export class OrdersSimulation {
	readonly engines: ReadonlyMap<string, SimulatedEngine>;
	readonly records: OrderRecord[] = [];
	readonly candidates = [new LeaseCandidate(), new LeaseCandidate()];
	nowMs = 0;
	/** Time from which no process is suspended, no order is delayed and no answer is lost; `Infinity` if faults never end. */
	faultsEndMs = Infinity;
	private readonly _scheduledActions: Array<{atMs: number; run: () => void}> = [];
	private _lease: {holder: LeaseCandidate | undefined; epoch: number; expiresMs: number} = {holder: undefined, epoch: 0, expiresMs: 0};

	constructor(private readonly _random: SeededRandom, specs: readonly EngineSpec[]) {
		this.engines = new Map(specs.map(spec => [spec.name, new SimulatedEngine(spec)]));
		for (const candidate of this.candidates) {
			this._dispatch(candidate, {type: 'orders/configure', engines: specs, weightStoreBytesPerS});
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
			const due = this._scheduledActions.filter(({atMs}) => atMs <= this.nowMs);
			this._scheduledActions.splice(0, this._scheduledActions.length, ...this._scheduledActions.filter(({atMs}) => atMs > this.nowMs));
			for (const {run} of due) {
				run();
			}

			for (const candidate of this.candidates) {
				this._stepCandidate(candidate);
			}
		}
	}

	private _stepCandidate(candidate: LeaseCandidate): void {
		if (this.nowMs < candidate.suspendedUntilMs) {
			return;
		}

		for (const event of candidate.pendingEvents.splice(0)) {
			this._dispatch(candidate, event);
		}

		this._dispatch(candidate, {type: 'orders/tick'});
		if (this.nowMs % 250 === 0 && !candidate.isLeaseRequestPending) {
			this._requestLease(candidate);
		}

		if (this.nowMs < this.faultsEndMs && this._random.next() < 0.01) {
			candidate.suspendedUntilMs = this.nowMs + this._random.integer(500, 8000);
		}
	}

	private _schedule(delayMs: number, run: () => void): void {
		this._scheduledActions.push({atMs: this.nowMs + delayMs, run});
	}

	private _drawFault(): boolean {
		return this.nowMs < this.faultsEndMs && this._random.next() < 0.3;
	}

	/** Dispatches an event to a process; if the process is suspended, queues the event until the process resumes. */
	private _deliver(candidate: LeaseCandidate, event: UntimedOrdersEvent): void {
		if (this.nowMs < candidate.suspendedUntilMs) {
			candidate.pendingEvents.push(event);
		} else {
			this._dispatch(candidate, event);
		}
	}

	private _dispatch(candidate: LeaseCandidate, event: UntimedOrdersEvent): void {
		for (const effect of reduceOrders(candidate.state, {...event, nowMs: this.nowMs})) {
			this._execute(candidate, effect);
		}
	}

	private _requestLease(candidate: LeaseCandidate): void {
		const requestedMs = this.nowMs;
		candidate.isLeaseRequestPending = true;
		this._schedule(this._random.integer(50, 300), () => {
			if (this.nowMs >= this._lease.expiresMs) {
				this._lease.holder = undefined;
			}

			if (this._lease.holder === undefined) {
				this._lease = {holder: candidate, epoch: this._lease.epoch + 1, expiresMs: 0};
			}

			const epoch = this._lease.holder === candidate ? this._lease.epoch : undefined;
			if (epoch !== undefined) {
				this._lease.expiresMs = this.nowMs + leaseMs;
			}

			this._schedule(50, () => {
				candidate.isLeaseRequestPending = false;
				this._deliver(candidate, {type: 'orders/lease', epoch, heldUntilMs: requestedMs + leaseHoldMs});
			});
		});
	}

	private _execute(candidate: LeaseCandidate, effect: OrdersEffect): void {
		switch (effect.type) {
			case 'orders/list': {
				this._schedule(this._random.integer(50, 1500), () => {
					const records = structuredClone(this.records);
					this._schedule(this._random.integer(50, 1500), () => {
						this._deliver(candidate, {type: 'orders/listed', epoch: effect.epoch, records});
					});
				});
				break;
			}

			case 'orders/ask': {
				this._pollEngine(candidate, effect);
				break;
			}

			case 'orders/send': {
				this._sendOrder(candidate, effect);
				break;
			}

			case 'orders/settle': {
				this._settleOrder(candidate, effect);
				break;
			}

			case 'count':
			case 'log': {
				break;
			}
		}
	}

	private _pollEngine(candidate: LeaseCandidate, {engine, polledMs}: Extract<OrdersEffect, {type: 'orders/ask'}>): void {
		this._schedule(this._random.integer(50, 400), () => {
			const state = this.engines.get(engine)!.stateAt(this.nowMs);
			const isLost = this._drawFault();
			this._schedule(this._random.integer(50, 400), () => {
				this._deliver(candidate, {
					type: 'orders/engine', engine, polledMs, load: isLost ? undefined : makeLoadReply(), state: isLost ? undefined : state,
				});
			});
		});
	}

	/** Delivers an order to its engine. Some orders arrive only after the sender's request timeout, but all of them arrive before the order timeout. */
	private _sendOrder(candidate: LeaseCandidate, effect: SendEffect): void {
		const {orderId, epoch, sentMs} = effect;
		const isLate = this._drawFault();
		const answer = (result: OrderSendResult): void => {
			this._deliver(candidate, {
				type: 'orders/answer', orderId, epoch, sentMs, result,
			});
		};

		this._schedule(isLate ? this._random.integer(requestTimeoutMs, orderTimeoutMs - (2 * stepMs)) : 100, () => {
			const result = this.engines.get(effect.address)!.submit(effect, this.nowMs);
			if (!isLate) {
				const isLost = this._drawFault();
				this._schedule(isLost ? requestTimeoutMs : 100, () => {
					answer(isLost ? {kind: 'unknown'} : result);
				});
			}
		});
		if (isLate) {
			this._schedule(requestTimeoutMs, () => {
				answer({kind: 'unknown'});
			});
		}
	}

	private _settleOrder(candidate: LeaseCandidate, {orderId, epoch, outcome}: Extract<OrdersEffect, {type: 'orders/settle'}>): void {
		this._schedule(this._random.integer(50, 500), () => {
			const isCurrent = epoch === this._lease.epoch;
			const i = this.records.findIndex(record => record.orderId === orderId);
			if (isCurrent) {
				this.records[i] = {...this.records[i]!, ...outcome};
			}

			const isLost = this._drawFault();
			this._schedule(isLost ? 2000 : 50, () => {
				this._deliver(candidate, {
					type: 'orders/settled', orderId, epoch, result: isLost ? 'unknown' : (isCurrent ? 'recorded' : 'stale'),
				});
			});
		});
	}
}
