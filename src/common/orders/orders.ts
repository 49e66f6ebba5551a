/**
Carries out operators' orders to engines while this process holds the lease `orders`: one order at a time per engine, oldest first.
The engine is asked for its last accepted order before each send, so an order whose answer was lost is not carried out twice.
*/
import type {OrderRecord} from '../control/messages.js';
import {orderSchema} from '../upstreams/engine-api.js';
import type {OrderState} from '../upstreams/engine-api.js';
import {loadBytes, outcomeOf} from './outcome.js';
import {missingRoom} from './room.js';
import type {
	EngineStatus, OrderOutcome, OrderPhase, OrdersEffect, OrdersEvent, OrdersOptions, OrdersState, TrackedOrder,
} from './types.js';

/** Time per engine between questions, so that asking costs the same for every pool size, in milliseconds. */
const askSpacingMs = 20;
/** A load report counts for this many ask intervals. */
const freshIntervals = 3;
/** Shortest interval between attempts to record an outcome, in milliseconds. */
const settleEveryMs = 1000;
/** Longest detail of an outcome that the replicated state takes, in characters. */
const maxDetail = 1000;

const defaults: OrdersOptions = {
	leaseMs: 2000,
	// Requests are abandoned after 1 s; the rest covers bytes that are still in the buffers of a network path.
	orderTimeoutMs: 5000,
	silenceMs: 60_000,
	roomWaitMs: 600_000,
	// Views are at most 3 s old while they are served.
	unknownUpstreamMs: 10_000,
	loadMarginMs: 60_000,
	// The listing has up to 1,000 records, most of them settled, and costs the leader a read-index.
	listEveryMs: 5000,
	askEveryMs: 1000,
	// Load reports lag, and arrivals go on while an engine is out.
	headroom: 1.25,
};

export function createOrders(options: Partial<OrdersOptions> = {}): OrdersState {
	return {
		options: {...defaults, ...options},
		engines: new Map(),
		weightRate: undefined,
		epoch: undefined,
		heldUntilMs: -Infinity,
		takenMs: 0,
		hasListed: false,
		isListing: false,
		listedMs: -Infinity,
		orders: new Map(),
		settled: new Set(),
		storeFreeMs: -Infinity,
	};
}

export function reduceOrders(state: OrdersState, event: OrdersEvent): OrdersEffect[] {
	const effects: OrdersEffect[] = [];
	switch (event.type) {
		case 'orders/lease': {
			takeLease(state, event, effects);
			break;
		}

		case 'orders/configure': {
			configure(state, event);
			break;
		}

		case 'orders/listed': {
			takeListing(state, event);
			break;
		}

		case 'orders/engine': {
			takeReport(state, event);
			break;
		}

		case 'orders/answer': {
			takeAnswer(state, event);
			break;
		}

		case 'orders/settled': {
			takeSettled(state, event, effects);
			break;
		}

		case 'orders/tick': {
			break;
		}
	}

	// Every start of work is here, behind the one check of the lease.
	if (state.epoch !== undefined && event.nowMs < state.heldUntilMs) {
		work(state, state.epoch, event.nowMs, effects);
	}

	return effects;
}

type EventOf<T extends OrdersEvent['type']> = Extract<OrdersEvent, {type: T}>;

function takeLease(state: OrdersState, {epoch, heldUntilMs, nowMs}: EventOf<'orders/lease'>, effects: OrdersEffect[]): void {
	state.heldUntilMs = epoch === undefined ? -Infinity : heldUntilMs;
	if (epoch === undefined || epoch === state.epoch) {
		return;
	}

	state.epoch = epoch;
	state.takenMs = nowMs;
	state.hasListed = false;
	state.isListing = false;
	state.listedMs = -Infinity;
	state.orders.clear();
	state.settled.clear();
	state.storeFreeMs = -Infinity;
	effects.push({
		type: 'log', level: 'info', message: 'carries out orders to engines', fields: {epoch},
	});
}

function configure(state: OrdersState, {engines, weightRate}: EventOf<'orders/configure'>): void {
	state.weightRate = weightRate;
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
				spec, askedMs: -Infinity, isAsked: false, load: undefined, loadMs: -Infinity, state: undefined,
			});
		}
	}
}

function takeListing(state: OrdersState, {epoch, records, nowMs}: EventOf<'orders/listed'>): void {
	if (epoch !== state.epoch) {
		return;
	}

	state.isListing = false;
	if (!records) {
		return;
	}

	const submitted = records.filter(({status}) => status === 'submitted');
	const ids = new Set(submitted.map(({orderId}) => orderId));
	for (const orderId of state.settled) {
		if (!ids.has(orderId)) {
			state.settled.delete(orderId);
		}
	}

	const upstreams = new Set<string>();
	for (const record of submitted) {
		if (!state.orders.has(record.orderId) && !state.settled.has(record.orderId)) {
			state.orders.set(record.orderId, track(state, record, !state.hasListed && !upstreams.has(record.upstream), nowMs));
		}

		upstreams.add(record.upstream);
	}

	state.hasListed = true;
}

/**
A predecessor may have sent the first listed order of each engine. Such an order, and any order to an engine that ignores fencing,
waits until nothing of the predecessor can arrive; an engine that checks fencing refuses other late orders itself.
*/
function track(state: OrdersState, record: OrderRecord, maybeSent: boolean, nowMs: number): TrackedOrder {
	const {orderId, upstream} = record;
	const parsed = orderSchema.safeParse(record.order);
	const mustWait = maybeSent || !state.engines.get(upstream)?.spec.checksFencing;
	return {
		orderId,
		upstream,
		order: parsed.data,
		readyMs: mustWait ? arrivalEndMs(state) : nowMs,
		maybeSent,
		phase: 'queued',
		sinceMs: nowMs,
		heardMs: nowMs,
		sentMs: undefined,
		waitsFor: undefined,
		outcome: undefined,
		isProposed: false,
		proposedMs: -Infinity,
	};
}

/** From then on no order of a predecessor can arrive. */
function arrivalEndMs({takenMs, options}: OrdersState): number {
	return takenMs + options.leaseMs + options.orderTimeoutMs;
}

function takeReport(state: OrdersState, event: EventOf<'orders/engine'>): void {
	const engine = state.engines.get(event.engine);
	if (engine?.askedMs !== event.askedMs) {
		return;
	}

	engine.isAsked = false;
	if (event.load) {
		engine.load = event.load;
		engine.loadMs = event.askedMs;
	}

	if (event.state) {
		engine.state = event.state;
		const order = headOf(state, event.engine);
		// An answer to a question from before the phase began may show an older state.
		if (order?.order && event.askedMs >= order.sinceMs) {
			takeEngineState(state, order, event.state, event.nowMs);
		}
	}
}

function takeEngineState(state: OrdersState, order: TrackedOrder, reported: OrderState, nowMs: number): void {
	if (order.phase !== 'reading' && order.phase !== 'running') {
		return;
	}

	order.heardMs = nowMs;
	if (order.phase === 'running') {
		const outcome = outcomeOf(order.orderId, order.order!, reported);
		if (outcome) {
			finish(order, outcome, nowMs);
		}
	} else if (reported.lastOrderId === order.orderId) {
		accept(state, order, reported, nowMs);
	} else if (!reported.loading) {
		order.maybeSent = false;
		enter(order, 'ready', nowMs);
	}
}

function takeAnswer(state: OrdersState, {orderId, epoch, sentMs, result, nowMs}: EventOf<'orders/answer'>): void {
	const order = state.orders.get(orderId);
	if (epoch !== state.epoch || order?.phase !== 'sent' || order.sentMs !== sentMs) {
		return;
	}

	switch (result.kind) {
		case 'accepted': {
			accept(state, order, result.state, nowMs);
			break;
		}

		case 'stale': {
			finish(order, {status: 'failed', detail: `the engine has seen fencing number ${result.highest}, which is higher than ${epoch}`}, nowMs);
			break;
		}

		case 'refused': {
			finish(order, {status: 'failed', detail: `the engine refused the order: ${result.detail}`}, nowMs);
			break;
		}

		case 'not-sent': {
			order.maybeSent = false;
			enter(order, 'reading', nowMs);
			break;
		}

		case 'unknown': {
			break;
		}
	}
}

function accept(state: OrdersState, order: TrackedOrder, reported: OrderState, nowMs: number): void {
	order.maybeSent = true;
	order.heardMs = nowMs;
	enter(order, 'running', nowMs);
	const engine = state.engines.get(order.upstream);
	if (engine) {
		engine.state = reported;
	}

	const outcome = outcomeOf(order.orderId, order.order!, reported);
	if (outcome) {
		finish(order, outcome, nowMs);
	}

	state.storeFreeMs = Math.max(state.storeFreeMs, nowMs) + loadMs(state, order);
}

/** Time that the order's load takes at the full rate of the weight store, in milliseconds. */
function loadMs({weightRate}: OrdersState, {order}: TrackedOrder): number {
	return order && weightRate ? loadBytes(order) / weightRate * 1000 : 0;
}

function takeSettled(state: OrdersState, {orderId, epoch, result}: EventOf<'orders/settled'>, effects: OrdersEffect[]): void {
	const order = state.orders.get(orderId);
	if (epoch !== state.epoch || !order) {
		return;
	}

	order.isProposed = false;
	if (result === 'unknown') {
		return;
	}

	if (result === 'stale') {
		state.heldUntilMs = -Infinity;
		return;
	}

	state.orders.delete(orderId);
	state.settled.add(orderId);
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

function enter(order: TrackedOrder, phase: OrderPhase, nowMs: number): void {
	order.phase = phase;
	order.sinceMs = nowMs;
	order.waitsFor = undefined;
}

function finish(order: TrackedOrder, outcome: OrderOutcome, nowMs: number): void {
	order.outcome = {...outcome, ...(outcome.detail !== undefined && {detail: outcome.detail.slice(0, maxDetail)})};
	enter(order, 'settling', nowMs);
}

function fail(order: TrackedOrder, detail: string, nowMs: number): void {
	finish(order, {status: 'failed', detail}, nowMs);
}

/** The one order of each engine that is carried out, oldest first. */
function heads(state: OrdersState): TrackedOrder[] {
	const found = new Map<string, TrackedOrder>();
	for (const order of state.orders.values()) {
		if (!found.has(order.upstream)) {
			found.set(order.upstream, order);
		}
	}

	return [...found.values()];
}

function headOf(state: OrdersState, upstream: string): TrackedOrder | undefined {
	return heads(state).find(order => order.upstream === upstream);
}

function work(state: OrdersState, epoch: number, nowMs: number, effects: OrdersEffect[]): void {
	if (!state.isListing && nowMs - state.listedMs >= state.options.listEveryMs) {
		state.isListing = true;
		state.listedMs = nowMs;
		effects.push({type: 'orders/list', epoch});
	}

	const current = heads(state);
	for (const order of current) {
		advance(state, order, current, nowMs);
		if (order.phase === 'ready') {
			tryToSend(state, {
				order, current, epoch, nowMs,
			}, effects);
		}

		if (order.phase === 'settling' && !order.isProposed && nowMs - order.proposedMs >= settleEveryMs) {
			order.isProposed = true;
			order.proposedMs = nowMs;
			effects.push({
				type: 'orders/settle', orderId: order.orderId, epoch, outcome: order.outcome!,
			});
		}
	}

	askEngines(state, current, nowMs, effects);
}

/** Applies time limits. */
function advance(state: OrdersState, order: TrackedOrder, current: readonly TrackedOrder[], nowMs: number): void {
	const {options} = state;
	const spec = state.engines.get(order.upstream)?.spec;
	if (order.phase === 'settling') {
		return;
	}

	if (!order.order) {
		fail(order, 'the order does not fit its schema', nowMs);
	} else if (spec?.role === 'plain') {
		fail(order, `upstream "${order.upstream}" is not an engine`, nowMs);
	} else if (!spec) {
		if (nowMs - order.sinceMs >= options.unknownUpstreamMs) {
			fail(order, `the configuration has no upstream "${order.upstream}"${unknownFate(order)}`, nowMs);
		}
	} else if (order.phase === 'queued') {
		if (nowMs >= order.readyMs) {
			order.heardMs = nowMs;
			enter(order, 'reading', nowMs);
		}
	} else if (order.phase === 'sent') {
		if (nowMs - order.sentMs! >= options.orderTimeoutMs) {
			enter(order, 'reading', nowMs);
		}
	} else if (order.phase !== 'ready' && nowMs - order.heardMs >= options.silenceMs) {
		fail(order, `the engine has not answered for ${options.silenceMs / 1000} s${unknownFate(order)}`, nowMs);
	} else if (order.phase === 'reading' && nowMs - order.sinceMs >= options.roomWaitMs) {
		fail(order, `the engine still carries out an earlier order${unknownFate(order)}`, nowMs);
	} else if (order.phase === 'running' && nowMs - order.sinceMs >= (2 * loadMs(state, order)) + options.loadMarginMs) {
		fail(order, 'the engine accepted the order but still loads; it may yet finish', nowMs);
	}
}

function unknownFate({maybeSent}: TrackedOrder): string {
	return maybeSent ? '; whether it has accepted the order is not known' : '; the order was not sent';
}

type Attempt = {readonly order: TrackedOrder; readonly current: readonly TrackedOrder[]; readonly epoch: number; readonly nowMs: number};

function tryToSend(state: OrdersState, attempt: Attempt, effects: OrdersEffect[]): void {
	const {order, epoch, nowMs} = attempt;
	const engine = state.engines.get(order.upstream);
	if (!engine) {
		return;
	}

	if (loadBytes(order.order!) > 0 && !state.weightRate) {
		fail(order, 'the configuration names no weight store to load from', nowMs);
		return;
	}

	order.waitsFor = missingStore(state, attempt) ?? missingPoolRoom(state, engine, attempt);
	if (order.waitsFor !== undefined) {
		if (nowMs - order.sinceMs >= state.options.roomWaitMs) {
			fail(order, `not sent, since ${order.waitsFor}`, nowMs);
		}

		return;
	}

	order.sentMs = nowMs;
	order.maybeSent = true;
	order.heardMs = nowMs;
	enter(order, 'sent', nowMs);
	effects.push({type: 'count', metric: 'orders_sent_total'}, {
		type: 'orders/send', orderId: order.orderId, address: engine.spec.address, epoch, order: order.order!, sentMs: nowMs, heldUntilMs: state.heldUntilMs,
	});
}

/** Loads follow each other at the rate of the weight store; one whose start is not known for sure counts as running. */
function missingStore(state: OrdersState, {order, current, nowMs}: Attempt): string | undefined {
	if (loadBytes(order.order!) === 0) {
		return undefined;
	}

	const unclear = current.find(other => other !== order && mayStartLoading(other));
	if (unclear) {
		return `it is not known yet whether the load on ${unclear.upstream} has started`;
	}

	return nowMs < state.storeFreeMs ? 'other loads use the weight store' : undefined;
}

function mayStartLoading({order, maybeSent, phase}: TrackedOrder): boolean {
	return maybeSent && order !== undefined && loadBytes(order) > 0 && (phase === 'queued' || phase === 'reading' || phase === 'sent');
}

function missingPoolRoom(state: OrdersState, engine: EngineStatus, {order, current, nowMs}: Attempt): string | undefined {
	const pool = poolOf(state, engine.spec.service);
	const busy = new Set(current.filter(({maybeSent}) => maybeSent).map(({upstream}) => upstream));
	return missingRoom({
		engine, order: order.order!, pool, busy, freshMs: freshIntervals * askEveryMs(state, pool.length), headroom: state.options.headroom, nowMs,
	});
}

function poolOf(state: OrdersState, service: string): EngineStatus[] {
	return [...state.engines.values()].filter(({spec}) => spec.service === service);
}

function askEveryMs({options}: OrdersState, engines: number): number {
	return Math.max(options.askEveryMs, engines * askSpacingMs);
}

/** Asks the engines whose answer an order waits for, and the pools of orders that are ready. */
function askEngines(state: OrdersState, current: readonly TrackedOrder[], nowMs: number, effects: OrdersEffect[]): void {
	const due = new Map<EngineStatus, number>();
	for (const {upstream, phase} of current) {
		const engine = state.engines.get(upstream);
		if (engine && phase === 'ready') {
			const pool = poolOf(state, engine.spec.service);
			for (const member of pool) {
				due.set(member, due.get(member) ?? askEveryMs(state, pool.length));
			}
		} else if (engine && (phase === 'reading' || phase === 'running')) {
			due.set(engine, state.options.askEveryMs);
		}
	}

	for (const [engine, everyMs] of due) {
		if (!engine.isAsked && nowMs - engine.askedMs >= everyMs) {
			engine.isAsked = true;
			engine.askedMs = nowMs;
			effects.push({
				type: 'orders/ask', engine: engine.spec.name, address: engine.spec.address, askedMs: nowMs,
			});
		}
	}
}
