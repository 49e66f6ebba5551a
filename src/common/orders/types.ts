import type {OrderRecord} from '../control/messages.js';
import type {BaseEvent, CountEffect, LogEffect} from '../core/types.js';
import type {LoadReply, Order, OrderState} from '../upstreams/engine-api.js';

/** Time limits and intervals, in milliseconds, and the decode capacity that a pool must keep. */
export type OrdersOptions = {
	/** Validity of the lease without renewal. */
	readonly leaseMs: number;
	/** Time after which an order that was sent can no longer arrive at the engine. */
	readonly orderTimeoutMs: number;
	/** An order fails if its engine has not answered for this long. */
	readonly engineSilenceTimeoutMs: number;
	/** An order fails if it has waited this long for the pool to spare the engine, for the weight store, or for an earlier order on the engine. */
	readonly capacityWaitTimeoutMs: number;
	/** An order whose upstream is missing from the configuration fails once its phase has lasted this long. The view of this process may lag. */
	readonly unknownUpstreamTimeoutMs: number;
	/** A load fails if it takes longer than this plus twice its duration at the full rate of the weight store. */
	readonly loadTimeoutMarginMs: number;
	/** Interval between reads of the submitted orders. */
	readonly listIntervalMs: number;
	/** Minimum interval between polls of an engine. */
	readonly enginePollIntervalMs: number;
	/** Decode slots that must remain available in a pool, as a multiple of its requests in decode. */
	readonly decodeHeadroomFactor: number;
};

/** Properties of an upstream in the shared configuration. Upstreams of role `plain` are not engines. */
export type EngineSpec = {
	readonly name: string;
	readonly address: string;
	/** All engines of a service form one pool. */
	readonly service: string;
	readonly role: OrderState['role'] | 'plain';
	readonly slots: number;
	readonly checksFencing: boolean;
	readonly isDrained: boolean;
};

/** An upstream and the results of its last poll. */
export type EngineStatus = {
	spec: EngineSpec;
	/** When the last poll was sent. */
	polledMs: number;
	/** Whether the last poll is still unanswered. */
	isPollPending: boolean;
	load: LoadReply | undefined;
	/** When the poll that returned `load` was sent. */
	loadPolledMs: number;
	state: OrderState | undefined;
};

/**
Progress of an order:
- `queued`: waits behind another order of the engine, or until no order of an earlier lease holder can arrive.
- `reading`: the engine is polled to find out whether it has accepted the order.
- `ready`: waits for pool capacity and the weight store.
- `sent`: sent to the engine, whose answer is not known.
- `running`: accepted by the engine.
- `settling`: the outcome is being recorded.
*/
export type OrderPhase = 'queued' | 'reading' | 'ready' | 'sent' | 'running' | 'settling';

export type TrackedOrder = {
	readonly orderId: string;
	readonly upstream: string;
	/** Undefined if the recorded order does not match the schema. */
	readonly order: Order | undefined;
	/** The order stays `queued` until this time. */
	readonly notBeforeMs: number;
	/** Whether this process or an earlier lease holder may have sent the order. */
	mayHaveBeenSent: boolean;
	phase: OrderPhase;
	/** When the current phase began. */
	phaseStartedMs: number;
	/** Start of the engine silence timeout: the last answer, the last send, or the end of phase `queued`. */
	silentSinceMs: number;
	/** When the order was last sent; identifies the attempt that an answer belongs to. */
	sentMs: number | undefined;
	/** Why a `ready` order cannot be sent yet. */
	waitsFor: string | undefined;
	outcome: OrderOutcome | undefined;
	/** Whether a request to record the outcome is unanswered. */
	isSettlePending: boolean;
	/** When the outcome was last submitted for recording. */
	settleRequestedMs: number;
};

export type OrderOutcome = {readonly status: 'done' | 'failed'; readonly detail?: string};

export type OrdersState = {
	readonly options: OrdersOptions;
	readonly engines: Map<string, EngineStatus>;
	/** Rate of the weight store, in bytes per second; undefined without a weight store. */
	weightStoreBytesPerS: number | undefined;
	/** Epoch of the lease when it was last held; sent to engines as the fencing token. */
	epoch: number | undefined;
	/** The lease is guaranteed to be held before this time. */
	heldUntilMs: number;
	/** When this process learned the current epoch. */
	epochLearnedMs: number;
	/** Whether the submitted orders have been read under the current epoch. */
	hasListing: boolean;
	isListingPending: boolean;
	listingRequestedMs: number;
	/** Submitted orders, oldest first. */
	readonly orders: Map<string, TrackedOrder>;
	/** Orders settled under this epoch. A listing that was read before may still show them as submitted. */
	readonly settledOrderIds: Set<string>;
	/** When the weight store will have served all loads accepted so far. */
	weightStoreFreeMs: number;
};

/** Result of sending an order to an engine. */
export type OrderSendResult =
	| {readonly kind: 'accepted'; readonly state: OrderState}
	| {readonly kind: 'stale'; readonly highest: number}
	/** The engine refused the order for a reason other than its fencing token, and did not start it. */
	| {readonly kind: 'refused'; readonly detail: string}
	/** The lease was no longer guaranteed to be held, so nothing was sent. */
	| {readonly kind: 'not-sent'}
	/** No answer; the order may have arrived or may still arrive. */
	| {readonly kind: 'unknown'};

export type OrdersEvent =
	/** State of the lease; `epoch` is undefined if the lease is not held. */
	| BaseEvent<'orders/lease'> & {readonly epoch: number | undefined; readonly heldUntilMs: number}
	/** The upstreams and the weight store in the shared configuration. */
	| BaseEvent<'orders/configure'> & {readonly engines: readonly EngineSpec[]; readonly weightStoreBytesPerS: number | undefined}
	/** Result of `orders/list`; `records` is undefined if the read failed. */
	| BaseEvent<'orders/listed'> & {readonly epoch: number; readonly records: readonly OrderRecord[] | undefined}
	/** Result of `orders/ask`; `load` or `state` is undefined if that request failed. */
	| BaseEvent<'orders/engine'> & {readonly engine: string; readonly polledMs: number; readonly load: LoadReply | undefined; readonly state: OrderState | undefined}
	/** Result of `orders/send`. */
	| BaseEvent<'orders/answer'> & {readonly orderId: string; readonly epoch: number; readonly sentMs: number; readonly result: OrderSendResult}
	/** Result of `orders/settle`. `stale`: the lease has a later epoch; `gone`: the record no longer exists. */
	| BaseEvent<'orders/settled'> & {readonly orderId: string; readonly epoch: number; readonly result: 'recorded' | 'stale' | 'gone' | 'unknown'}
	| BaseEvent<'orders/tick'>;

export type OrdersEffect =
	| CountEffect
	| LogEffect
	/** Reads the submitted orders. */
	| {readonly type: 'orders/list'; readonly epoch: number}
	/** Polls an engine for its load report and its order state. */
	| {readonly type: 'orders/ask'; readonly engine: string; readonly address: string; readonly polledMs: number}
	/** Sends an order to an engine. Must not be executed at or after `heldUntilMs`. */
	| {
		readonly type: 'orders/send'; readonly orderId: string; readonly address: string; readonly epoch: number; readonly order: Order; readonly sentMs: number; readonly heldUntilMs: number;
	}
	/** Records the outcome of an order. */
	| {readonly type: 'orders/settle'; readonly orderId: string; readonly epoch: number; readonly outcome: OrderOutcome};
