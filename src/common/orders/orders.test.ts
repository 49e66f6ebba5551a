import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {LoadReply, Order, OrderState} from '../upstreams/engine-api.js';
import {createOrders, reduceOrders} from './orders.js';
import {capacityWaitReason} from './pool-capacity.js';
import {makeEngineSpec, makeLoadReply, weightStoreBytesPerS} from './simulation.js';
import type {
	EngineStatus, EngineSpec, OrdersEffect, OrdersEvent,
} from './types.js';

const loadModelOrder: Order = {
	kind: 'load-model', model: 'm', version: '1', bytes: 1000,
};
const setPrefillRoleOrder: Order = {kind: 'set-role', role: 'prefill'};

function makeOrderState(changes: Partial<OrderState> = {}): OrderState {
	return {
		highestFencing: 0, models: [], adapters: [], role: 'both', loading: false, ...changes,
	};
}

function makeEngineStatus(spec: Partial<EngineSpec> & {name: string}, reported: Partial<LoadReply> = {}): EngineStatus {
	return {
		spec: makeEngineSpec(spec.name, spec),
		polledMs: 0,
		isPollPending: false,
		load: {...makeLoadReply(), ...reported},
		loadPolledMs: 0,
		state: makeOrderState({role: spec.role === 'plain' ? 'both' : spec.role ?? 'both'}),
	};
}

/** Returns a process that holds the lease with epoch 1 and has just read the given orders. Its effects are collected in `effects`. */
function makeHolder(orders: ReadonlyArray<{upstream?: string; order?: unknown}>, engines = [makeEngineSpec('e1'), makeEngineSpec('e2')]) {
	const state = createOrders();
	const effects: OrdersEffect[] = [];
	const holder = {
		state, effects, nowMs: 0,
		dispatch(event: Record<string, unknown> & {type: OrdersEvent['type']}) {
			effects.push(...reduceOrders(state, {...event, nowMs: holder.nowMs} as unknown as OrdersEvent));
		},
		/** Answers all pending polls; polls of `silent` engines fail. */
		answerPolls(reported: Partial<OrderState> = {}, silent: readonly string[] = []) {
			for (const [engine, {polledMs, isPollPending}] of state.engines) {
				if (isPollPending) {
					const isSilent = silent.includes(engine);
					holder.dispatch({
						type: 'orders/engine', engine, polledMs, load: isSilent ? undefined : makeLoadReply(), state: isSilent ? undefined : makeOrderState(reported),
					});
				}
			}
		},
		advance(ms: number, respond = () => {
			holder.answerPolls();
		}) {
			for (const endMs = holder.nowMs + ms; holder.nowMs < endMs;) {
				holder.nowMs += 250;
				holder.dispatch({type: 'orders/tick'});
				respond();
			}
		},
		dispatchListing() {
			const records = orders.map(({upstream = 'e1', order = loadModelOrder}, i) => ({
				orderId: `o${i}`, upstream, order, status: 'submitted', submittedMs: 0,
			}));
			holder.dispatch({type: 'orders/listed', epoch: 1, records});
		},
		effectsOfType: <T extends OrdersEffect['type']>(type: T) => effects.filter((effect): effect is Extract<OrdersEffect, {type: T}> => effect.type === type),
	};
	holder.dispatch({type: 'orders/configure', engines, weightStoreBytesPerS});
	holder.dispatch({type: 'orders/lease', epoch: 1, heldUntilMs: Infinity});
	holder.dispatchListing();
	return holder;
}

function outcomesOf({effectsOfType}: ReturnType<typeof makeHolder>): string[] {
	return effectsOfType('orders/settle').map(({outcome}) => `${outcome.status}: ${outcome.detail ?? ''}`);
}

test('a process sends no order and reads nothing once its lease may have expired', () => {
	const holder = makeHolder([{}]);
	holder.dispatch({type: 'orders/lease', epoch: 1, heldUntilMs: 6000});
	holder.effects.length = 0;
	holder.nowMs = 6000;
	holder.advance(20_000);
	assert.deepEqual(holder.effects, []);
	holder.dispatch({type: 'orders/lease', epoch: 1, heldUntilMs: Infinity});
	holder.advance(2000);
	assert.equal(holder.effectsOfType('orders/send').length, 1);
});

test('a settled order that an outdated listing shows as submitted is not carried out again', () => {
	const holder = makeHolder([{order: {kind: 'set-role', role: 'both'}}]);
	holder.advance(9000);
	const {sentMs} = holder.effectsOfType('orders/send')[0]!;
	holder.dispatch({
		type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result: {kind: 'accepted', state: makeOrderState({lastOrderId: 'o0'})},
	});
	holder.dispatch({
		type: 'orders/settled', orderId: 'o0', epoch: 1, result: 'recorded',
	});
	holder.dispatchListing();
	holder.advance(10_000);
	assert.deepEqual([holder.effectsOfType('orders/send').length, outcomesOf(holder)], [1, ['done: ']]);
});

test('an engine state read before an order was accepted does not fail the order', () => {
	const holder = makeHolder([{}]);
	holder.advance(9000);
	const {sentMs} = holder.effectsOfType('orders/send')[0]!;
	const engine = holder.state.engines.get('e1')!;
	engine.isPollPending = true;
	engine.polledMs = sentMs;
	holder.nowMs += 250;
	holder.dispatch({
		type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result: {kind: 'accepted', state: makeOrderState({lastOrderId: 'o0', loading: true})},
	});
	holder.answerPolls();
	assert.deepEqual(outcomesOf(holder), []);
});

test('an engine that ignores fencing tokens gets no order while an order from an earlier lease holder could still arrive', () => {
	const holder = makeHolder([], [makeEngineSpec('e1'), makeEngineSpec('e2', {service: 'briefs'}), makeEngineSpec('e3', {service: 'briefs', checksFencing: false})]);
	const record = (upstream: string) => ({
		orderId: upstream, upstream, order: {kind: 'set-role', role: 'both'}, status: 'submitted', submittedMs: 0,
	});
	holder.dispatch({type: 'orders/listed', epoch: 1, records: [record('e2'), record('e3')]});
	const sentTo = () => [...new Set(holder.effectsOfType('orders/send').map(({orderId}) => orderId))];
	holder.advance(6750);
	assert.deepEqual(sentTo(), ['e2']);
	holder.advance(2000);
	assert.deepEqual(sentTo(), ['e2', 'e3']);
});

test('an answer to a send under an earlier epoch does not settle the order under the current epoch', () => {
	const holder = makeHolder([{}]);
	holder.advance(9000);
	const {sentMs} = holder.effectsOfType('orders/send')[0]!;
	holder.dispatch({type: 'orders/lease', epoch: 3, heldUntilMs: Infinity});
	holder.dispatch({
		type: 'orders/listed', epoch: 3, records: [{
			orderId: 'o0', upstream: 'e1', order: loadModelOrder, status: 'submitted', submittedMs: 0,
		}],
	});
	holder.dispatch({
		type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result: {kind: 'stale', highest: 2},
	});
	assert.deepEqual(outcomesOf(holder), []);
	holder.advance(9000);
	assert.deepEqual(holder.effectsOfType('orders/send').map(({epoch}) => epoch), [1, 3]);
});

test('an order that cannot be carried out fails with a reason and is not sent', () => {
	const engines = [makeEngineSpec('e1'), makeEngineSpec('desk', {role: 'plain'})];
	const cases: Array<[Parameters<typeof makeHolder>[0][number], RegExp, string[]?]> = [
		[{order: {kind: 'dance'}}, /does not fit its schema/],
		[{upstream: 'gone'}, /no upstream "gone"; whether it has accepted the order is not known/],
		[{upstream: 'desk'}, /is not an engine/],
		[{}, /not sent, since no other prefill engine of the service is in service/],
		[{}, /has not answered for 60 s; whether it has accepted the order is not known/, ['e1']],
	];
	for (const [order, pattern, silent] of cases) {
		const holder = makeHolder([order], engines);
		holder.advance(700_000, () => {
			holder.answerPolls({}, silent);
		});
		assert.match(outcomesOf(holder)[0]!, pattern);
		assert.equal(holder.effectsOfType('orders/send').length, 0);
	}
});

test('a model load without a configured weight store, a refused order, and an accepted order without a visible effect fail with a reason', () => {
	const withoutStore = makeHolder([{}]);
	withoutStore.state.weightStoreBytesPerS = undefined;
	withoutStore.advance(9000);
	assert.match(outcomesOf(withoutStore)[0]!, /names no weight store/);
	for (const [result, pattern] of [
		[{kind: 'stale', highest: 9}, /fencing number 9, which is higher than 1/],
		[{kind: 'refused', detail: 'status 400'}, /refused the order: status 400/],
		[{kind: 'accepted', state: makeOrderState({lastOrderId: 'o0'})}, /does not show its effect/],
		[{kind: 'accepted', state: makeOrderState()}, /may have restarted/],
	] as const) {
		const holder = makeHolder([{}]);
		holder.advance(9000);
		const {sentMs} = holder.effectsOfType('orders/send')[0]!;
		holder.dispatch({
			type: 'orders/answer', orderId: 'o0', epoch: 1, sentMs, result,
		});
		assert.match(outcomesOf(holder)[0]!, pattern);
	}
});

test('recording an outcome is retried at intervals, but not after another process has taken the lease', () => {
	const holder = makeHolder([{order: {kind: 'dance'}}]);
	const dispatchSettled = (result: string) => {
		holder.dispatch({
			type: 'orders/settled', orderId: 'o0', epoch: 1, result,
		});
	};

	dispatchSettled('unknown');
	assert.equal(outcomesOf(holder).length, 1);
	holder.advance(1000);
	assert.equal(outcomesOf(holder).length, 2);
	dispatchSettled('stale');
	holder.effects.length = 0;
	holder.advance(10_000);
	assert.deepEqual(holder.effects, []);
});

test('an order fails if its own model load or an earlier load on the engine never ends', () => {
	const holder = makeHolder([{}]);
	holder.advance(700_000, () => {
		holder.answerPolls({loading: true});
	});
	assert.match(outcomesOf(holder)[0]!, /still carries out an earlier order/);
	const ownLoad = makeHolder([{}]);
	ownLoad.advance(100_000, () => {
		ownLoad.answerPolls({lastOrderId: 'o0', loading: true});
	});
	assert.match(outcomesOf(ownLoad)[0]!, /still loads; it may yet finish/);
});

test('concurrent orders do not take all engines of a pool out of service', () => {
	const engines = ['e1', 'e2', 'e3'].map(name => makeEngineSpec(name));
	const holder = makeHolder(engines.map(({name}) => ({upstream: name, order: {kind: 'load-adapter', adapter: 'a', bytes: 0}})), engines);
	holder.advance(9000);
	assert.equal(holder.effectsOfType('orders/send').length, 2);
});

test('an order waits while the rest of its pool lacks the capacity for the traffic', () => {
	const waitReason = (order: Order, pool: EngineStatus[], nowMs = 0, busy: string[] = []) => capacityWaitReason({
		engine: pool[0]!, order, pool, busy: new Set(busy), maxReportAgeMs: 3000, decodeHeadroomFactor: 1.25, nowMs,
	});
	const makeDecodeStatus = (name: string, reported: Partial<LoadReply> = {}, spec: Partial<EngineSpec> = {}) => makeEngineStatus({name, role: 'decode', ...spec}, reported);
	assert.equal(waitReason(loadModelOrder, [makeDecodeStatus('a', {activeDecodes: 8}), makeDecodeStatus('b', {activeDecodes: 8})]), undefined);
	assert.match(waitReason(loadModelOrder, [makeDecodeStatus('a', {activeDecodes: 9}), makeDecodeStatus('b', {activeDecodes: 8})])!, /20 slots for 17 requests, which need 22/);
	assert.match(waitReason(loadModelOrder, [makeDecodeStatus('a'), makeDecodeStatus('b', {slots: 0, activeDecodes: 1})])!, /0 slots/);
	for (const other of [
		makeEngineStatus({name: 'b', role: 'prefill'}),
		makeDecodeStatus('b', {leaving: true}),
		makeDecodeStatus('b', {}, {isDrained: true}),
		{...makeDecodeStatus('b'), load: undefined},
		{...makeDecodeStatus('b'), state: undefined},
		{...makeDecodeStatus('b'), state: makeOrderState({loading: true})},
		{...makeDecodeStatus('b'), state: makeOrderState({role: 'prefill'})},
	]) {
		assert.match(waitReason(loadModelOrder, [makeDecodeStatus('a'), other])!, /no other decode engine/);
	}

	assert.match(waitReason(loadModelOrder, [makeDecodeStatus('a'), makeDecodeStatus('b')], 0, ['b'])!, /no other decode engine/);
	assert.match(waitReason(loadModelOrder, [makeDecodeStatus('a'), makeDecodeStatus('b')], 4000)!, /no other decode engine/);
	assert.match(waitReason(setPrefillRoleOrder, [makeEngineStatus({name: 'a'}), makeEngineStatus({name: 'b', role: 'prefill'})])!, /no other decode engine/);
	assert.equal(waitReason({kind: 'set-role', role: 'both'}, [makeDecodeStatus('a')]), undefined);
	assert.equal(waitReason(loadModelOrder, [makeDecodeStatus('a', {}, {isDrained: true})]), undefined);
	assert.match(waitReason(loadModelOrder, [{...makeDecodeStatus('a'), load: undefined}, makeDecodeStatus('b')])!, /has not reported its load/);
});
