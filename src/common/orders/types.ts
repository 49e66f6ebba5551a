import type {OrderRecord} from '../control/messages.js';
import type {BaseEvent, CountEffect, LogEffect} from '../core/types.js';
import type {LoadReply, Order, OrderState} from '../upstreams/engine-api.js';

/** Time limits and intervals, in milliseconds, and the decode capacity that a pool must keep. */
export type OrdersOptions = {
	/** Time for which the lease is valid without renewal. */
	readonly leaseMs: number;
	/** Time after which an order that was sent can no longer arrive at the engine. */
	readonly orderTimeoutMs: number;
	/** An order fails if its engine has not answered for this long. */
	readonly engineSilenceTimeoutMs: number;
	/** An order fails if it has waited this long until the pool has enough capacity without the engine, until the weight store is free, or until the engine has finished an earlier order. */
	readonly capacityWaitTimeoutMs: number;
	/** An order whose upstream is missing from the configuration fails once its current phase has lasted this long. It does not fail at once, because this process may not have received the latest configuration yet. */
	readonly unknownUpstreamTimeoutMs: number;
	/** A model or adapter load fails if it takes longer than this margin plus twice its duration at the full rate of the weight store. */
	readonly loadTimeoutMarginMs: number;
	/** Interval between reads of the submitted orders. */
	readonly listIntervalMs: number;
	/** Minimum interval between polls of an engine. */
	readonly enginePollIntervalMs: number;
	/** Decode slots that must remain available in a pool, as a multiple of the pool's requests in decode. */
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
	/** Whether the engine refuses orders with a lower fencing token than the highest that it has seen. */
	readonly checksFencing: boolean;
	readonly isDrained: boolean;
};

/** An upstream and the results of its last poll. */
export type EngineStatus = {
	spec: EngineSpec;
	/** When the last poll was sent; `-Infinity` before the first poll. */
	polledMs: number;
	/** Whether the last poll is still unanswered. */
	isPollPending: boolean;
	/** Last load report; undefined before the first report. */
	load: LoadReply | undefined;
	/** When the poll that returned `load` was sent; `-Infinity` while `load` is undefined. */
	loadPolledMs: number;
	/** Order state that the engine last reported; undefined before the first report. */
	state: OrderState | undefined;
};

/**
Progress of an order:
- `queued`: waits for an older order to the same engine to end, or until no order sent by an earlier lease holder can still arrive.
- `reading`: the engine is polled to find out whether it has accepted the order.
- `ready`: waits for pool capacity and the weight store.
- `sent`: has been sent to the engine, whose answer has not arrived.
- `running`: the engine has accepted the order and carries it out.
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
	/** Start of the engine silence timeout: the time of the engine's last answer, of the last send, or of the end of phase `queued`, whichever is latest. */
	silentSinceMs: number;
	/** When this process last sent the order, undefined if it has not sent it; identifies the attempt that an answer belongs to. */
	sentMs: number | undefined;
	/** Why the order cannot be sent yet; undefined unless the order is `ready` and has to wait. */
	waitsFor: string | undefined;
	/** Outcome to record; undefined before phase `settling`. */
	outcome: OrderOutcome | undefined;
	/** Whether a request to record the outcome is unanswered. */
	isSettlePending: boolean;
	/** When the outcome was last submitted for recording; `-Infinity` if it was not submitted yet. */
	settleRequestedMs: number;
};

/** Result of an order. `detail` is the reason of a failure. */
export type OrderOutcome = {readonly status: 'done' | 'failed'; readonly detail?: string};

export type OrdersState = {
	readonly options: OrdersOptions;
	readonly engines: Map<string, EngineStatus>;
	/** Rate of the weight store, in bytes per second; undefined without a weight store. */
	weightStoreBytesPerS: number | undefined;
	/** Epoch of the lease when this process last held it, undefined if it never did; sent to engines as the fencing token. */
	epoch: number | undefined;
	/** Time before which this process is guaranteed to hold the lease; `-Infinity` if it does not hold the lease. */
	heldUntilMs: number;
	/** When this process learned the current epoch. */
	epochLearnedMs: number;
	/** Whether the submitted orders have been read under the current epoch. */
	hasListing: boolean;
	isListingPending: boolean;
	listingRequestedMs: number;
	/** Submitted orders, oldest first. */
	readonly orders: Map<string, TrackedOrder>;
	/** Orders settled under the current epoch. A listing read before an order was settled may still show the order as submitted. */
	readonly settledOrderIds: Set<string>;
	/** When the weight store is expected to have served all model and adapter loads that engines have accepted so far; `-Infinity` before the first of these loads. */
	weightStoreFreeMs: number;
};

/** Result of sending an order to an engine. */
export type OrderSendResult =
	/** The engine accepted the order and reported its state. */
	| {readonly kind: 'accepted'; readonly state: OrderState}
	/** The engine refused the order because it has seen a higher fencing token, which `highest` holds. */
	| {readonly kind: 'stale'; readonly highest: number}
	/** The engine refused the order for a reason other than its fencing token, and did not start it. */
	| {readonly kind: 'refused'; readonly detail: string}
	/** The lease was no longer guaranteed to be held, so nothing was sent. */
	| {readonly kind: 'not-sent'}
	/** No answer; the order may have arrived or may still arrive. */
	| {readonly kind: 'unknown'};

export type OrdersEvent =
	/** State of the lease; `epoch` is undefined if this process does not hold the lease. */
	| BaseEvent<'orders/lease'> & {readonly epoch: number | undefined; readonly heldUntilMs: number}
	/** The upstreams and the weight store in the shared configuration. */
	| BaseEvent<'orders/configure'> & {readonly engines: readonly EngineSpec[]; readonly weightStoreBytesPerS: number | undefined}
	/** Result of `orders/list`; `records` is undefined if the read failed. */
	| BaseEvent<'orders/listed'> & {readonly epoch: number; readonly records: readonly OrderRecord[] | undefined}
	/** Result of `orders/ask`; `load` or `state` is undefined if that request failed. */
	| BaseEvent<'orders/engine'> & {readonly engine: string; readonly polledMs: number; readonly load: LoadReply | undefined; readonly state: OrderState | undefined}
	/** Result of `orders/send`. */
	| BaseEvent<'orders/answer'> & {readonly orderId: string; readonly epoch: number; readonly sentMs: number; readonly result: OrderSendResult}
	/** Result of `orders/settle`. `stale`: the lease has a later epoch; `gone`: the record no longer exists; `unknown`: no answer arrived. */
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
