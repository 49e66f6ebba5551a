import type {OrderRecord} from '../control/messages.js';
import type {BaseEvent, CountEffect, LogEffect} from '../core/types.js';
import type {LoadReply, Order, OrderState} from '../upstreams/engine-api.js';

/** Time limits of orders, in milliseconds, and the slots that stay free. */
export type OrdersOptions = {
	/** How long the lease lasts without renewal. */
	readonly leaseMs: number;
	/** An order that was sent cannot arrive later than this. */
	readonly orderTimeoutMs: number;
	/** Longest silence of an engine before its order fails. */
	readonly silenceMs: number;
	/** Longest wait until the pool can spare the engine or the weight store is free. */
	readonly roomWaitMs: number;
	/** How long an upstream may be missing from the configuration; the view of this process may lag. */
	readonly unknownUpstreamMs: number;
	/** Time for a load beyond twice what the rate of the weight store needs. */
	readonly loadMarginMs: number;
	/** Interval between listings of the submitted orders. */
	readonly listEveryMs: number;
	/** Shortest interval between questions to one engine. */
	readonly askEveryMs: number;
	/** Decode slots that must stay, as a multiple of the requests that decode. */
	readonly headroom: number;
};

/** What the shared configuration says about an engine. */
export type OrderEngine = {
	readonly name: string;
	readonly address: string;
	/** Engines of one service are one pool. */
	readonly service: string;
	readonly role: OrderState['role'] | 'plain';
	readonly slots: number;
	readonly checksFencing: boolean;
	readonly isDrained: boolean;
};

/** An engine with its last answers. */
export type EngineStatus = {
	spec: OrderEngine;
	/** When it was last asked, and whether that question is still open. */
	askedMs: number;
	isAsked: boolean;
	load: LoadReply | undefined;
	/** When the question was asked that `load` answers. */
	loadMs: number;
	state: OrderState | undefined;
};

/**
`queued`: behind another order, or a predecessor's order could still arrive. `reading`: the engine is asked whether it has
accepted the order. `ready`: waits for the pool and the weight store. `sent`: the answer is not known. `running`: accepted.
`settling`: the outcome is being recorded.
*/
export type OrderPhase = 'queued' | 'reading' | 'ready' | 'sent' | 'running' | 'settling';

export type TrackedOrder = {
	readonly orderId: string;
	readonly upstream: string;
	/** Undefined if the record does not fit the schema. */
	readonly order: Order | undefined;
	/** Nothing is read or sent before. */
	readonly readyMs: number;
	/** Whether this process or a predecessor may have sent it. */
	maybeSent: boolean;
	phase: OrderPhase;
	/** When the phase began. */
	sinceMs: number;
	/** When the engine last answered, or the order's turn came. */
	heardMs: number;
	sentMs: number | undefined;
	/** Why a `ready` order waits. */
	waitsFor: string | undefined;
	outcome: OrderOutcome | undefined;
	/** Whether the outcome was proposed and not yet answered, and when it was proposed last. */
	isProposed: boolean;
	proposedMs: number;
};

export type OrderOutcome = {readonly status: 'done' | 'failed'; readonly detail?: string};

export type OrdersState = {
	readonly options: OrdersOptions;
	readonly engines: Map<string, EngineStatus>;
	/** Bytes per second; undefined without a weight store. */
	weightRate: number | undefined;
	/** Of the lease last held; the fencing number. */
	epoch: number | undefined;
	/** The lease is surely held before this time. */
	heldUntilMs: number;
	/** When this process learned of its epoch. */
	takenMs: number;
	hasListed: boolean;
	isListing: boolean;
	listedMs: number;
	/** Submitted orders, oldest first. */
	readonly orders: Map<string, TrackedOrder>;
	/** Orders settled under this epoch that a listing read earlier may still show as submitted. */
	readonly settled: Set<string>;
	/** When the loads accepted so far have passed the weight store. */
	storeFreeMs: number;
};

/** What became of sending an order. */
export type SendResult =
	| {readonly kind: 'accepted'; readonly state: OrderState}
	| {readonly kind: 'stale'; readonly highest: number}
	/** The engine refused for another reason and did nothing. */
	| {readonly kind: 'refused'; readonly detail: string}
	/** The lease had run out before the first byte left. */
	| {readonly kind: 'not-sent'}
	/** The order may have arrived or may still arrive. */
	| {readonly kind: 'unknown'};

export type OrdersEvent =
	/** Without an epoch the lease is not held. */
	| BaseEvent<'orders/lease'> & {readonly epoch: number | undefined; readonly heldUntilMs: number}
	| BaseEvent<'orders/configure'> & {readonly engines: readonly OrderEngine[]; readonly weightRate: number | undefined}
	/** Without records the read failed. */
	| BaseEvent<'orders/listed'> & {readonly epoch: number; readonly records: readonly OrderRecord[] | undefined}
	/** An engine's answers to a question asked at `askedMs`; those that are missing failed. */
	| BaseEvent<'orders/engine'> & {readonly engine: string; readonly askedMs: number; readonly load: LoadReply | undefined; readonly state: OrderState | undefined}
	| BaseEvent<'orders/answer'> & {readonly orderId: string; readonly epoch: number; readonly sentMs: number; readonly result: SendResult}
	/** `stale`: the lease has passed on; `gone`: the record was dropped. */
	| BaseEvent<'orders/settled'> & {readonly orderId: string; readonly epoch: number; readonly result: 'recorded' | 'stale' | 'gone' | 'unknown'}
	| BaseEvent<'orders/tick'>;

export type OrdersEffect =
	| CountEffect
	| LogEffect
	| {readonly type: 'orders/list'; readonly epoch: number}
	| {readonly type: 'orders/ask'; readonly engine: string; readonly address: string; readonly askedMs: number}
	/** Not to be executed from `heldUntilMs` on. */
	| {
		readonly type: 'orders/send'; readonly orderId: string; readonly address: string; readonly epoch: number; readonly order: Order; readonly sentMs: number; readonly heldUntilMs: number;
	}
	| {readonly type: 'orders/settle'; readonly orderId: string; readonly epoch: number; readonly outcome: OrderOutcome};
