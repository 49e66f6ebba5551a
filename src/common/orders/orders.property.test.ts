import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SeededRandom} from '../core/random.js';
import type {Order} from '../upstreams/engine-api.js';
import {makeEngineSpec, OrdersSimulation} from './simulation.js';

const specs = [
	makeEngineSpec('checks-1'),
	makeEngineSpec('checks-2', {service: 'briefs'}),
	makeEngineSpec('checks-3', {service: 'briefs'}),
	makeEngineSpec('ignores-1', {checksFencing: false}),
	makeEngineSpec('ignores-2', {checksFencing: false}),
];

function makeOrder(random: SeededRandom, i: number): Order {
	return random.next() < 0.3
		? {kind: 'set-role', role: 'both'}
		: {
			kind: 'load-model', model: `model-${i}`, version: '1', bytes: random.integer(100, 3000),
		};
}

function simulate(seed: number): OrdersSimulation {
	const random = new SeededRandom(seed);
	const simulation = new OrdersSimulation(random, specs);
	for (let i = 0; i < 12; i++) {
		simulation.submit(random.pick(specs).name, makeOrder(random, i));
		simulation.runUntil(simulation.nowMs + random.integer(0, 8000));
	}

	simulation.runUntil(90_000);
	simulation.faultsEndMs = simulation.nowMs;
	simulation.runUntil(240_000);
	return simulation;
}

test('each engine runs its orders once, in the sequence of submission and with fencing tokens that never decrease, although processes are suspended, orders delayed and answers lost', () => {
	fc.assert(fc.property(fc.integer(), seed => {
		const {records, engines} = simulate(seed);
		assert.deepEqual(records.filter(({status}) => status !== 'done'), []);
		for (const [name, {accepted}] of engines) {
			const submitted = records.filter(({upstream}) => upstream === name).map(({orderId}) => orderId);
			assert.deepEqual(accepted.map(({orderId}) => orderId), submitted, name);
			const fencing = accepted.map(order => order.fencing);
			assert.deepEqual(fencing, [...fencing].sort((a, b) => a - b), name);
		}
	}), {seed: 20_261, numRuns: 60});
});

test('model loads of several engines do not overlap, so that together they do not exceed the rate of the weight store', () => {
	fc.assert(fc.property(fc.integer(), seed => {
		const loads = [...simulate(seed).engines.values()].flatMap(engine => engine.loads).sort((a, b) => a.fromMs - b.fromMs);
		for (const [i, {toMs}] of loads.entries()) {
			assert.ok((loads[i + 1]?.fromMs ?? Infinity) >= toMs, `load ${i + 1} starts before load ${i} has ended`);
		}
	}), {seed: 20_262, numRuns: 60});
});
