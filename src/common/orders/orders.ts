/**
Carries out operators' orders to engines while this process holds the lease `orders`: one order at a time per engine, oldest first.
Polls the engine for its last accepted order before each send, so that an order whose answer was lost is not carried out twice.
*/
import type {OrderRecord} from '../control/messages.js';
import {orderSchema} from '../upstreams/engine-api.js';
import type {OrderState} from '../upstreams/engine-api.js';
import {bytesToLoad, outcomeOf} from './outcome.js';
import {capacityWaitReason} from './pool-capacity.js';
import type {
	EngineStatus, OrderOutcome, OrderPhase, OrdersEffect, OrdersEvent, OrdersOptions, OrdersState, TrackedOrder,
} from './types.js';

/** Minimum interval between polls of an engine, in milliseconds for each engine in its pool, so that the rate of polls does not grow with the size of the pool. */
const pollSpacingPerEngineMs = 20;
/** Number of poll intervals for which a load report is valid. */
const reportLifetimeIntervals = 3;
/** Minimum interval between attempts to record an outcome, in milliseconds. */
const settleRetryIntervalMs = 1000;
/** Maximum length of an outcome's detail in the replicated state, in characters. */
const maxDetailLength = 1000;

const defaultOptions: OrdersOptions = {
	leaseMs: 2000,
	// An order request is aborted after 1 s; the remaining 4 s allow for bytes of the request that are still buffered on the network path.
	orderTimeoutMs: 5000,
	engineSilenceTimeoutMs: 60_000,
	capacityWaitTimeoutMs: 600_000,
	// Exceeds the 3 s for which a view of the configuration counts as fresh, so that an order to an upstream that has just been added does not fail.
	unknownUpstreamTimeoutMs: 10_000,
	loadTimeoutMarginMs: 60_000,
	// Listing is expensive: it returns up to 1,000 records, most of them settled, and costs the leader a read-index round.
	listIntervalMs: 5000,
	enginePollIntervalMs: 1000,
	// Greater than 1, because load reports lag behind the actual load and requests keep arriving while an engine is out of service.
	decodeHeadroomFactor: 1.25,
};

export function createOrders(options: Partial<OrdersOptions> = {}): OrdersState {
	return {
		options: {...defaultOptions, ...options},
		engines: new Map(),
		weightStoreBytesPerS: undefined,
		epoch: undefined,
		heldUntilMs: -Infinity,
		epochLearnedMs: 0,
		hasListing: false,
		isListingPending: false,
		listingRequestedMs: -Infinity,
		orders: new Map(),
		settledOrderIds: new Set(),
		weightStoreFreeMs: -Infinity,
	};
}

/** Applies an event to the state, in place, and returns the effects to carry out. */
export function reduceOrders(state: OrdersState, event: OrdersEvent): OrdersEffect[] {
	const effects: OrdersEffect[] = [];
	switch (event.type) {
		case 'orders/lease': {
			handleLease(state, event, effects);
			break;
		}

		case 'orders/configure': {
			handleConfiguration(state, event);
			break;
		}

		case 'orders/listed': {
			handleListing(state, event);
			break;
		}

		case 'orders/engine': {
			handleEngineReport(state, event);
			break;
		}

		case 'orders/answer': {
			handleSendResult(state, event);
			break;
		}

		case 'orders/settled': {
			handleSettleResult(state, event, effects);
			break;
		}

		case 'orders/tick': {
			break;
		}
	}

	// The lease is checked only here, because only `processOrders` returns effects that send orders or record outcomes.
	if (state.epoch !== undefined && event.nowMs < state.heldUntilMs) {
		processOrders(state, state.epoch, event.nowMs, effects);
	}

	return effects;
}

type EventOf<T extends OrdersEvent['type']> = Extract<OrdersEvent, {type: T}>;

function handleLease(state: OrdersState, {epoch, heldUntilMs, nowMs}: EventOf<'orders/lease'>, effects: OrdersEffect[]): void {
	state.heldUntilMs = epoch === undefined ? -Infinity : heldUntilMs;
	if (epoch === undefined || epoch === state.epoch) {
		return;
	}

	state.epoch = epoch;
	state.epochLearnedMs = nowMs;
	state.hasListing = false;
	state.isListingPending = false;
	state.listingRequestedMs = -Infinity;
	state.orders.clear();
	state.settledOrderIds.clear();
	state.weightStoreFreeMs = -Infinity;
	effects.push({
		type: 'log', level: 'info', message: 'carries out orders to engines', fields: {epoch},
	});
}

function handleConfiguration(state: OrdersState, {engines, weightStoreBytesPerS}: EventOf<'orders/configure'>): void {
	state.weightStoreBytesPerS = weightStoreBytesPerS;
	const names = new Set(engines.map(({name}) => name));
	for (const name of state.engines.keys()) {
		if (!names.has(name)) {
			state.engines.delete(name);
		}
	}

	for (const spec of engines) {
		const known = state.engines.get(spec.name);
		if (known?.spec.address === spec.address) {
			known.spec = spec;
		} else {
			state.engines.set(spec.name, {
				spec, polledMs: -Infinity, isPollPending: false, load: undefined, loadPolledMs: -Infinity, state: undefined,
			});
		}
	}
}

function handleListing(state: OrdersState, {epoch, records, nowMs}: EventOf<'orders/listed'>): void {
	if (epoch !== state.epoch) {
		return;
	}

	state.isListingPending = false;
	if (!records) {
		return;
	}

	const submitted = records.filter(({status}) => status === 'submitted');
	const submittedIds = new Set(submitted.map(({orderId}) => orderId));
	for (const orderId of state.settledOrderIds) {
		if (!submittedIds.has(orderId)) {
			state.settledOrderIds.delete(orderId);
		}
	}

	const listedUpstreams = new Set<string>();
	for (const record of submitted) {
		if (!state.orders.has(record.orderId) && !state.settledOrderIds.has(record.orderId)) {
			state.orders.set(record.orderId, trackOrder(state, record, !state.hasListing && !listedUpstreams.has(record.upstream), nowMs));
		}

		listedUpstreams.add(record.upstream);
	}

	state.hasListing = true;
}

/**
Starts tracking a submitted order. An earlier lease holder may have sent the first listed order of each engine. Such an order, and any order
to an engine that does not check fencing tokens, waits until no order of an earlier holder can arrive. Other orders need not wait, because
engines that check fencing tokens refuse orders of an earlier holder.
*/
function trackOrder(state: OrdersState, record: OrderRecord, mayHaveBeenSent: boolean, nowMs: number): TrackedOrder {
	const {orderId, upstream} = record;
	const parsed = orderSchema.safeParse(record.order);
	const mustWait = mayHaveBeenSent || !state.engines.get(upstream)?.spec.checksFencing;
	return {
		orderId,
		upstream,
		order: parsed.data,
		notBeforeMs: mustWait ? predecessorArrivalEndMs(state) : nowMs,
		mayHaveBeenSent,
		phase: 'queued',
		phaseStartedMs: nowMs,
		silentSinceMs: nowMs,
		sentMs: undefined,
		waitsFor: undefined,
		outcome: undefined,
		isSettlePending: false,
		settleRequestedMs: -Infinity,
	};
}

/** Returns the time from which no order of an earlier lease holder can arrive at an engine. */
function predecessorArrivalEndMs({epochLearnedMs, options}: OrdersState): number {
	return epochLearnedMs + options.leaseMs + options.orderTimeoutMs;
}

function handleEngineReport(state: OrdersState, event: EventOf<'orders/engine'>): void {
	const engine = state.engines.get(event.engine);
	if (engine?.polledMs !== event.polledMs) {
		return;
	}

	engine.isPollPending = false;
	if (event.load) {
		engine.load = event.load;
		engine.loadPolledMs = event.polledMs;
	}

	if (event.state) {
		engine.state = event.state;
		const order = queueHeadOf(state, event.engine);
		// The result of a poll sent before the phase began is not applied to the order, because it may be outdated.
		if (order?.order && event.polledMs >= order.phaseStartedMs) {
			applyEngineState(state, order, event.state, event.nowMs);
		}
	}
}

function applyEngineState(state: OrdersState, order: TrackedOrder, reported: OrderState, nowMs: number): void {
	if (order.phase !== 'reading' && order.phase !== 'running') {
		return;
	}

	order.silentSinceMs = nowMs;
	if (order.phase === 'running') {
		const outcome = outcomeOf(order.orderId, order.order!, reported);
		if (outcome) {
			startSettling(order, outcome, nowMs);
		}
	} else if (reported.lastOrderId === order.orderId) {
		markAccepted(state, order, reported, nowMs);
	} else if (!reported.loading) {
		order.mayHaveBeenSent = false;
		enterPhase(order, 'ready', nowMs);
	}
}

function handleSendResult(state: OrdersState, {orderId, epoch, sentMs, result, nowMs}: EventOf<'orders/answer'>): void {
	const order = state.orders.get(orderId);
	if (epoch !== state.epoch || order?.phase !== 'sent' || order.sentMs !== sentMs) {
		return;
	}

	switch (result.kind) {
		case 'accepted': {
			markAccepted(state, order, result.state, nowMs);
			break;
		}

		case 'stale': {
			startSettling(order, {status: 'failed', detail: `the engine has seen fencing number ${result.highest}, which is higher than ${epoch}`}, nowMs);
			break;
		}

		case 'refused': {
			startSettling(order, {status: 'failed', detail: `the engine refused the order: ${result.detail}`}, nowMs);
			break;
		}

		case 'not-sent': {
			order.mayHaveBeenSent = false;
			enterPhase(order, 'reading', nowMs);
			break;
		}

		case 'unknown': {
			break;
		}
	}
}

function markAccepted(state: OrdersState, order: TrackedOrder, reported: OrderState, nowMs: number): void {
	order.mayHaveBeenSent = true;
	order.silentSinceMs = nowMs;
	enterPhase(order, 'running', nowMs);
	const engine = state.engines.get(order.upstream);
	if (engine) {
		engine.state = reported;
	}

	const outcome = outcomeOf(order.orderId, order.order!, reported);
	if (outcome) {
		startSettling(order, outcome, nowMs);
	}

	state.weightStoreFreeMs = Math.max(state.weightStoreFreeMs, nowMs) + loadDurationMs(state, order);
}

/** Returns how long the order's model or adapter load takes at the full rate of the weight store, in milliseconds; 0 if the order loads nothing or there is no weight store. */
function loadDurationMs({weightStoreBytesPerS}: OrdersState, {order}: TrackedOrder): number {
	return order && weightStoreBytesPerS ? bytesToLoad(order) / weightStoreBytesPerS * 1000 : 0;
}

function handleSettleResult(state: OrdersState, {orderId, epoch, result}: EventOf<'orders/settled'>, effects: OrdersEffect[]): void {
	const order = state.orders.get(orderId);
	if (epoch !== state.epoch || !order) {
		return;
	}

	order.isSettlePending = false;
	if (result === 'unknown') {
		return;
	}

	if (result === 'stale') {
		state.heldUntilMs = -Infinity;
		return;
	}

	state.orders.delete(orderId);
	state.settledOrderIds.add(orderId);
	if (result === 'recorded') {
		const {status, detail} = order.outcome!;
		effects.push(
			{type: 'count', metric: 'orders_settled_total', labels: {status}},
			{
				type: 'log', level: status === 'done' ? 'info' : 'warn', message: 'order settled', fields: {
					orderId, upstream: order.upstream, status, detail,
				},
			},
		);
	}
}

function enterPhase(order: TrackedOrder, phase: OrderPhase, nowMs: number): void {
	order.phase = phase;
	order.phaseStartedMs = nowMs;
	order.waitsFor = undefined;
}

function startSettling(order: TrackedOrder, outcome: OrderOutcome, nowMs: number): void {
	order.outcome = {...outcome, ...(outcome.detail !== undefined && {detail: outcome.detail.slice(0, maxDetailLength)})};
	enterPhase(order, 'settling', nowMs);
}

function failOrder(order: TrackedOrder, detail: string, nowMs: number): void {
	startSettling(order, {status: 'failed', detail}, nowMs);
}

/** Returns the oldest order of each engine; later orders to the engine wait until this order is settled. */
function queueHeads(state: OrdersState): TrackedOrder[] {
	const headsByUpstream = new Map<string, TrackedOrder>();
	for (const order of state.orders.values()) {
		if (!headsByUpstream.has(order.upstream)) {
			headsByUpstream.set(order.upstream, order);
		}
	}

	return [...headsByUpstream.values()];
}

function queueHeadOf(state: OrdersState, upstream: string): TrackedOrder | undefined {
	return queueHeads(state).find(order => order.upstream === upstream);
}

function processOrders(state: OrdersState, epoch: number, nowMs: number, effects: OrdersEffect[]): void {
	if (!state.isListingPending && nowMs - state.listingRequestedMs >= state.options.listIntervalMs) {
		state.isListingPending = true;
		state.listingRequestedMs = nowMs;
		effects.push({type: 'orders/list', epoch});
	}

	const heads = queueHeads(state);
	for (const order of heads) {
		advancePhase(state, order, heads, nowMs);
		if (order.phase === 'ready') {
			trySend(state, {
				order, heads, epoch, nowMs,
			}, effects);
		}

		if (order.phase === 'settling' && !order.isSettlePending && nowMs - order.settleRequestedMs >= settleRetryIntervalMs) {
			order.isSettlePending = true;
			order.settleRequestedMs = nowMs;
			effects.push({
				type: 'orders/settle', orderId: order.orderId, epoch, outcome: order.outcome!,
			});
		}
	}

	pollEngines(state, heads, nowMs, effects);
}

/** Moves an order to its next phase when its wait is over, and fails it when a time limit has passed or it cannot be carried out. */
function advancePhase(state: OrdersState, order: TrackedOrder, heads: readonly TrackedOrder[], nowMs: number): void {
	const {options} = state;
	const spec = state.engines.get(order.upstream)?.spec;
	if (order.phase === 'settling') {
		return;
	}

	if (!order.order) {
		failOrder(order, 'the order does not fit its schema', nowMs);
	} else if (spec?.role === 'plain') {
		failOrder(order, `upstream "${order.upstream}" is not an engine`, nowMs);
	} else if (!spec) {
		if (nowMs - order.phaseStartedMs >= options.unknownUpstreamTimeoutMs) {
			failOrder(order, `the configuration has no upstream "${order.upstream}"${describeDelivery(order)}`, nowMs);
		}
	} else if (order.phase === 'queued') {
		if (nowMs >= order.notBeforeMs) {
			order.silentSinceMs = nowMs;
			enterPhase(order, 'reading', nowMs);
		}
	} else if (order.phase === 'sent') {
		if (nowMs - order.sentMs! >= options.orderTimeoutMs) {
			enterPhase(order, 'reading', nowMs);
		}
	} else if (order.phase !== 'ready' && nowMs - order.silentSinceMs >= options.engineSilenceTimeoutMs) {
		failOrder(order, `the engine has not answered for ${options.engineSilenceTimeoutMs / 1000} s${describeDelivery(order)}`, nowMs);
	} else if (order.phase === 'reading' && nowMs - order.phaseStartedMs >= options.capacityWaitTimeoutMs) {
		failOrder(order, `the engine still carries out an earlier order${describeDelivery(order)}`, nowMs);
	} else if (order.phase === 'running' && nowMs - order.phaseStartedMs >= (2 * loadDurationMs(state, order)) + options.loadTimeoutMarginMs) {
		failOrder(order, 'the engine accepted the order but still loads; it may yet finish', nowMs);
	}
}

function describeDelivery({mayHaveBeenSent}: TrackedOrder): string {
	return mayHaveBeenSent ? '; whether it has accepted the order is not known' : '; the order was not sent';
}

type SendAttempt = {readonly order: TrackedOrder; readonly heads: readonly TrackedOrder[]; readonly epoch: number; readonly nowMs: number};

function trySend(state: OrdersState, attempt: SendAttempt, effects: OrdersEffect[]): void {
	const {order, epoch, nowMs} = attempt;
	const engine = state.engines.get(order.upstream);
	if (!engine) {
		return;
	}

	if (bytesToLoad(order.order!) > 0 && !state.weightStoreBytesPerS) {
		failOrder(order, 'the configuration names no weight store to load from', nowMs);
		return;
	}

	order.waitsFor = weightStoreWaitReason(state, attempt) ?? poolWaitReason(state, engine, attempt);
	if (order.waitsFor !== undefined) {
		if (nowMs - order.phaseStartedMs >= state.options.capacityWaitTimeoutMs) {
			failOrder(order, `not sent, since ${order.waitsFor}`, nowMs);
		}

		return;
	}

	order.sentMs = nowMs;
	order.mayHaveBeenSent = true;
	order.silentSinceMs = nowMs;
	enterPhase(order, 'sent', nowMs);
	effects.push({type: 'count', metric: 'orders_sent_total'}, {
		type: 'orders/send', orderId: order.orderId, address: engine.spec.address, epoch, order: order.order!, sentMs: nowMs, heldUntilMs: state.heldUntilMs,
	});
}

/**
Returns why the order must wait for the weight store, or undefined if it need not wait. Model and adapter loads run one after another, each at
the full rate of the weight store. While it is not known whether a load has started, no other load may start.
*/
function weightStoreWaitReason(state: OrdersState, {order, heads, nowMs}: SendAttempt): string | undefined {
	if (bytesToLoad(order.order!) === 0) {
		return undefined;
	}

	const unconfirmed = heads.find(other => other !== order && mayHaveStartedLoading(other));
	if (unconfirmed) {
		return `it is not yet known whether the load on ${unconfirmed.upstream} has started`;
	}

	return nowMs < state.weightStoreFreeMs ? 'the weight store is serving other loads' : undefined;
}

function mayHaveStartedLoading({order, mayHaveBeenSent, phase}: TrackedOrder): boolean {
	return mayHaveBeenSent && order !== undefined && bytesToLoad(order) > 0 && (phase === 'queued' || phase === 'reading' || phase === 'sent');
}

function poolWaitReason(state: OrdersState, engine: EngineStatus, {order, heads, nowMs}: SendAttempt): string | undefined {
	const pool = poolOf(state, engine.spec.service);
	const busy = new Set(heads.filter(({mayHaveBeenSent}) => mayHaveBeenSent).map(({upstream}) => upstream));
	return capacityWaitReason({
		engine, order: order.order!, pool, busy, maxReportAgeMs: reportLifetimeIntervals * pollIntervalMs(state, pool.length), decodeHeadroomFactor: state.options.decodeHeadroomFactor, nowMs,
	});
}

function poolOf(state: OrdersState, service: string): EngineStatus[] {
	return [...state.engines.values()].filter(({spec}) => spec.service === service);
}

function pollIntervalMs({options}: OrdersState, engineCount: number): number {
	return Math.max(options.enginePollIntervalMs, engineCount * pollSpacingPerEngineMs);
}

/** Polls the engine of each order in phase `reading` or `running`, and all engines in the pool of each order in phase `ready`. */
function pollEngines(state: OrdersState, heads: readonly TrackedOrder[], nowMs: number, effects: OrdersEffect[]): void {
	const due = new Map<EngineStatus, number>();
	for (const {upstream, phase} of heads) {
		const engine = state.engines.get(upstream);
		if (engine && phase === 'ready') {
			const pool = poolOf(state, engine.spec.service);
			for (const member of pool) {
				due.set(member, due.get(member) ?? pollIntervalMs(state, pool.length));
			}
		} else if (engine && (phase === 'reading' || phase === 'running')) {
			due.set(engine, state.options.enginePollIntervalMs);
		}
	}

	for (const [engine, intervalMs] of due) {
		if (!engine.isPollPending && nowMs - engine.polledMs >= intervalMs) {
			engine.isPollPending = true;
			engine.polledMs = nowMs;
			effects.push({
				type: 'orders/ask', engine: engine.spec.name, address: engine.spec.address, polledMs: nowMs,
			});
		}
	}
}
