import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LoadReply, Order, OrderState} from '../upstreams/engine-api.js';
import {createOrders, reduceOrders} from './orders.js';
import {missingRoom} from './room.js';
import {makeEngine, makeLoad, weightRate} from './simulation.js';
import type {
	EngineStatus, OrderEngine, OrdersEffect, OrdersEvent,
} from './types.js';

const load: Order = {
	kind: 'load-model', model: 'm', version: '1', bytes: 1000,
};
const toPrefill: Order = {kind: 'set-role', role: 'prefill'};

function makeState(changes: Partial<OrderState> = {}): OrderState {
	return {
		highestFencing: 0, models: [], adapters: [], role: 'both', loading: false, ...changes,
	};
}

function makeStatus(spec: Partial<OrderEngine> & {name: string}, reported: Partial<LoadReply> = {}): EngineStatus {
	return {
		spec: makeEngine(spec.name, spec), askedMs: 0, isAsked: false, load: {...makeLoad(), ...reported}, loadMs: 0, state: makeState({role: spec.role === 'plain' ? 'both' : spec.role ?? 'both'}),
	};
}

/** A holder of epoch 1 whose wait for a predecessor is over, with every effect so far. */
function setUp(orders: ReadonlyArray<{upstream?: string; order?: unknown}>, engines = [makeEngine('e1'), makeEngine('e2')]) {
	const state = createOrders();
	const effects: OrdersEffect[] = [];
	const holder = {
		state, effects, nowMs: 0,
		dispatch(event: Record<string, unknown> & {type: OrdersEvent['type']}) {
			effects.push(...reduceOrders(state, {...event, nowMs: holder.nowMs} as unknown as OrdersEvent));
		},
		/** Answers every open question of the engines; `silent` engines do not answer. */
		answer(reported: Partial<OrderState> = {}, silent: readonly string[] = []) {
			for (const [engine, {askedMs, isAsked}] of state.engines) {
				if (isAsked) {
					const isSilent = silent.includes(engine);
					holder.dispatch({
						type: 'orders/engine', engine, askedMs, load: isSilent ? undefined : makeLoad(), state: isSilent ? undefined : makeState(reported),
					});
				}
			}
		},
		advance(ms: number, answer = () => {
			holder.answer();
		}) {
			for (const endMs = holder.nowMs + ms; holder.nowMs < endMs;) {
				holder.nowMs += 250;
				holder.dispatch({type: 'orders/tick'});
				answer();
			}
		},
		list() {
			const records = orders.map(({upstream = 'e1', order = load}, i) => ({
				orderId: `o${i}`, upstream, order, status: 'submitted', submittedMs: 0,
			}));
			holder.dispatch({type: 'orders/listed', epoch: 1, records});
		},
		ofType: <T extends OrdersEffect['type']>(type: T) => effects.filter((effect): effect is Extract<OrdersEffect, {type: T}> => effect.type === type),
	};
	holder.dispatch({type: 'orders/configure', engines, weightRate});
	holder.dispatch({type: 'orders/lease', epoch: 1, heldUntilMs: Infinity});
	holder.list();
	return holder;
}

function outcomes({ofType}: ReturnType<typeof setUp>): string[] {
	return ofType('orders/settle').map(({outcome}) => `${outcome.status}: ${outcome.detail ?? ''}`);
}

test('guards against work after the lease is no longer surely held', () => {
	const holder = setUp([{}]);
	holder.dispatch({type: 'orders/lease', epoch: 1, heldUntilMs: 6000});
	holder.effects.length = 0;
	holder.nowMs = 6000;
	holder.advance(20_000);
	assert.deepEqual(holder.effects, []);
	holder.dispatch({type: 'orders/lease', epoch: 1, heldUntilMs: Infinity});
	holder.advance(2000);
	assert.equal(holder.ofType('orders/send').length, 1);
});

test('guards against a second run of a settled order that a late listing shows as submitted', () => {
	const holder = setUp([{order: {kind: 'set-role', role: 'both'}}]);
	holder.advance(9000);
	const {sentMs} = holder.ofType('orders/send')[0]!;
	holder.dispatch({
		type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result: {kind: 'accepted', state: makeState({lastOrderId: 'o0'})},
	});
	holder.dispatch({
		type: 'orders/settled', orderId: 'o0', epoch: 1, result: 'recorded',
	});
	holder.list();
	holder.advance(10_000);
	assert.deepEqual([holder.ofType('orders/send').length, outcomes(holder)], [1, ['done: ']]);
});

test('guards against an accepted order that counts as failed because of an engine state read before', () => {
	const holder = setUp([{}]);
	holder.advance(9000);
	const {sentMs} = holder.ofType('orders/send')[0]!;
	const engine = holder.state.engines.get('e1')!;
	engine.isAsked = true;
	engine.askedMs = sentMs;
	holder.nowMs += 250;
	holder.dispatch({
		type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result: {kind: 'accepted', state: makeState({lastOrderId: 'o0', loading: true})},
	});
	holder.answer();
	assert.deepEqual(outcomes(holder), []);
});

test('guards against an order to an engine that ignores fencing before a predecessor\'s last order has arrived', () => {
	const holder = setUp([], [makeEngine('e1'), makeEngine('e2', {service: 'briefs'}), makeEngine('e3', {service: 'briefs', checksFencing: false})]);
	const record = (upstream: string) => ({
		orderId: upstream, upstream, order: {kind: 'set-role', role: 'both'}, status: 'submitted', submittedMs: 0,
	});
	holder.dispatch({type: 'orders/listed', epoch: 1, records: [record('e2'), record('e3')]});
	const sentTo = () => [...new Set(holder.ofType('orders/send').map(({orderId}) => orderId))];
	holder.advance(6750);
	assert.deepEqual(sentTo(), ['e2']);
	holder.advance(2000);
	assert.deepEqual(sentTo(), ['e2', 'e3']);
});

test('guards against a refusal under an earlier epoch that ends the order of the present one', () => {
	const holder = setUp([{}]);
	holder.advance(9000);
	const {sentMs} = holder.ofType('orders/send')[0]!;
	holder.dispatch({type: 'orders/lease', epoch: 3, heldUntilMs: Infinity});
	holder.dispatch({
		type: 'orders/listed', epoch: 3, records: [{
			orderId: 'o0', upstream: 'e1', order: load, status: 'submitted', submittedMs: 0,
		}],
	});
	holder.dispatch({
		type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result: {kind: 'stale', highest: 2},
	});
	assert.deepEqual(outcomes(holder), []);
	holder.advance(9000);
	assert.deepEqual(holder.ofType('orders/send').map(({epoch}) => epoch), [1, 3]);
});

test('an order that cannot be done fails with the reason', () => {
	const engines = [makeEngine('e1'), makeEngine('desk', {role: 'plain'})];
	const cases: Array<[Parameters<typeof setUp>[0][number], RegExp, string[]?]> = [
		[{order: {kind: 'dance'}}, /does not fit its schema/],
		[{upstream: 'gone'}, /no upstream "gone"; whether it has accepted the order is not known/],
		[{upstream: 'desk'}, /is not an engine/],
		[{}, /not sent, since no other prefill engine of the service is in service/],
		[{}, /has not answered for 60 s; whether it has accepted the order is not known/, ['e1']],
	];
	for (const [order, pattern, silent] of cases) {
		const holder = setUp([order], engines);
		holder.advance(700_000, () => {
			holder.answer({}, silent);
		});
		assert.match(outcomes(holder)[0]!, pattern);
		assert.equal(holder.ofType('orders/send').length, 0);
	}
});

test('a load without a weight store, a refusal and a load without effect fail with the reason', () => {
	const withoutStore = setUp([{}]);
	withoutStore.state.weightRate = undefined;
	withoutStore.advance(9000);
	assert.match(outcomes(withoutStore)[0]!, /names no weight store/);
	for (const [result, pattern] of [
		[{kind: 'stale', highest: 9}, /fencing number 9, which is higher than 1/],
		[{kind: 'refused', detail: 'status 400'}, /refused the order: status 400/],
		[{kind: 'accepted', state: makeState({lastOrderId: 'o0'})}, /does not show its effect/],
		[{kind: 'accepted', state: makeState()}, /may have restarted/],
	] as const) {
		const holder = setUp([{}]);
		holder.advance(9000);
		const {sentMs} = holder.ofType('orders/send')[0]!;
		holder.dispatch({
			type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result,
		});
		assert.match(outcomes(holder)[0]!, pattern);
	}
});

test('guards against outcomes proposed without pause, or again after the lease has passed on', () => {
	const holder = setUp([{order: {kind: 'dance'}}]);
	const settled = (result: string) => {
		holder.dispatch({
			type: 'orders/settled', orderId: 'o0', epoch: 1, result,
		});
	};

	settled('unknown');
	assert.equal(outcomes(holder).length, 1);
	holder.advance(1000);
	assert.equal(outcomes(holder).length, 2);
	settled('stale');
	holder.effects.length = 0;
	holder.advance(10_000);
	assert.deepEqual(holder.effects, []);
});

test('guards against an engine whose load never ends, of this order or of an earlier one', () => {
	const holder = setUp([{}]);
	holder.advance(700_000, () => {
		holder.answer({loading: true});
	});
	assert.match(outcomes(holder)[0]!, /still carries out an earlier order/);
	const own = setUp([{}]);
	own.advance(100_000, () => {
		own.answer({lastOrderId: 'o0', loading: true});
	});
	assert.match(outcomes(own)[0]!, /still loads; it may yet finish/);
});

test('guards against orders that together take all engines of a pool out of service', () => {
	const engines = ['e1', 'e2', 'e3'].map(name => makeEngine(name));
	const holder = setUp(engines.map(({name}) => ({upstream: name, order: {kind: 'load-adapter', adapter: 'a', bytes: 0}})), engines);
	holder.advance(9000);
	assert.equal(holder.ofType('orders/send').length, 2);
});

test('guards against a pool left without room for its traffic', () => {
	const missing = (order: Order, pool: EngineStatus[], nowMs = 0, busy: string[] = []) => missingRoom({
		engine: pool[0]!, order, pool, busy: new Set(busy), freshMs: 3000, headroom: 1.25, nowMs,
	});
	const decode = (name: string, reported: Partial<LoadReply> = {}, spec: Partial<OrderEngine> = {}) => makeStatus({name, role: 'decode', ...spec}, reported);
	assert.equal(missing(load, [decode('a', {activeDecodes: 8}), decode('b', {activeDecodes: 8})]), undefined);
	assert.match(missing(load, [decode('a', {activeDecodes: 9}), decode('b', {activeDecodes: 8})])!, /20 slots for 17 requests, which need 22/);
	assert.match(missing(load, [decode('a'), decode('b', {slots: 0, activeDecodes: 1})])!, /0 slots/);
	for (const rest of [
		makeStatus({name: 'b', role: 'prefill'}),
		decode('b', {leaving: true}),
		decode('b', {}, {isDrained: true}),
		{...decode('b'), load: undefined},
		{...decode('b'), state: undefined},
		{...decode('b'), state: makeState({loading: true})},
		{...decode('b'), state: makeState({role: 'prefill'})},
	]) {
		assert.match(missing(load, [decode('a'), rest])!, /no other decode engine/);
	}

	assert.match(missing(load, [decode('a'), decode('b')], 0, ['b'])!, /no other decode engine/);
	assert.match(missing(load, [decode('a'), decode('b')], 4000)!, /no other decode engine/);
	assert.match(missing(toPrefill, [makeStatus({name: 'a'}), makeStatus({name: 'b', role: 'prefill'})])!, /no other decode engine/);
	assert.equal(missing({kind: 'set-role', role: 'both'}, [decode('a')]), undefined);
	assert.equal(missing(load, [decode('a', {}, {isDrained: true})]), undefined);
	assert.match(missing(load, [{...decode('a'), load: undefined}, decode('b')])!, /has not reported its load/);
});
