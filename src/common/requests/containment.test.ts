import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import type {Candidate} from './choice.js';
import {chooseUpstream} from './choice.js';
import {ConcurrencyLimit} from './concurrency.js';
import {failuresToEject, minProbeDelayMs, OutlierEjection} from './ejection.js';
import {RetryBudget} from './retry-budget.js';
import {BodyMemory} from './body-memory.js';

function candidate(name: string, fields: Partial<Candidate> = {}): Candidate {
	return {
		name, zone: 'z1', inFlight: 0, limit: 10, isUsable: true, ...fields,
	};
}

function choices(candidates: readonly Candidate[], tried: readonly string[] = []): Set<string> {
	const random = new SeededRandom(4);
	return new Set(Array.from({length: 100}, () => {
		const choice = chooseUpstream(candidates, 'z1', new Set(tried), random);
		return choice.kind === 'chosen' ? choice.name : choice.code;
	}));
}

test('the busiest upstream is never chosen, nor one of another zone while the own zone has room', () => {
	assert.deepEqual(choices([candidate('a'), candidate('b', {inFlight: 9}), candidate('c', {zone: 'z2'})]), new Set(['a']));
	assert.deepEqual(choices([candidate('a', {inFlight: 10}), candidate('c', {zone: 'z2'})]), new Set(['c']));
	assert.deepEqual(choices([candidate('a'), candidate('c', {zone: 'z2'})], ['a']), new Set(['c']), 'a retry goes elsewhere');
});

test('full upstreams mean overload, unusable ones that there is none', () => {
	assert.deepEqual(choices([candidate('a', {inFlight: 10})]), new Set(['overloaded']));
	assert.deepEqual(choices([candidate('a', {isUsable: false})]), new Set(['no-upstream']));
});

test('tenants take turns for places, whoever came first', () => {
	const limit = new ConcurrencyLimit(6);
	const held = Array.from({length: 6}, () => limit.acquire()!);
	const order: string[] = [];
	for (const tenant of ['big', 'big', 'big', 'small']) {
		limit.enqueue(tenant, release => {
			order.push(tenant);
			release!();
		});
	}

	held[0]!();
	held[0]!();
	assert.deepEqual(order, ['big', 'small', 'big', 'big']);
	assert.equal(limit.inFlight, 5, 'giving a place up twice frees it once');
});

test('a tenant with few waiting requests displaces one of the tenant with most', () => {
	const limit = new ConcurrencyLimit(3);
	const held = [1, 2, 3].map(() => limit.acquire()!);
	const outcomes: string[] = [];
	const wait = (name: string, tenant: string) => limit.enqueue(tenant, release => outcomes.push(`${name} ${release ? 'runs' : 'displaced'}`));
	for (const name of ['big1', 'big2', 'big3']) {
		wait(name, 'big');
	}

	assert.equal(wait('big4', 'big'), undefined);
	wait('small1', 'small');
	assert.equal(wait('small2', 'small'), undefined, 'equal shares stay as they are');
	for (const release of held) {
		release();
	}

	assert.deepEqual(outcomes, ['big3 displaced', 'big1 runs', 'small1 runs', 'big2 runs']);
});

test('the queue for places is bounded, and a waiter that left gets none', () => {
	const limit = new ConcurrencyLimit(1);
	const release = limit.acquire()!;
	assert.equal(limit.acquire(), undefined);
	const leave = limit.enqueue('t', () => {
		assert.fail('left the queue');
	})!;
	assert.equal(limit.enqueue('t', () => undefined), undefined);
	leave();
	release();
	assert.equal(limit.inFlight, 0);
});

test('retries stay within their share of requests', () => {
	const budget = new RetryBudget(0.1, 0);
	let retries = 0;
	for (let i = 0; i < 1000; i++) {
		budget.earn();
		retries += budget.take() ? 1 : 0;
	}

	assert.equal(retries, 100);
	assert.equal(new RetryBudget(0).take(), false);
});

test('an upstream that fails in a row is ejected and readmitted by a probe; failed probes wait longer', () => {
	const ejection = new OutlierEjection();
	const fail = () => ejection.recordFailure(0);
	fail();
	ejection.recordSuccess();
	const results = Array.from({length: failuresToEject}, fail);
	assert.deepEqual(results, [false, false, true]);
	assert.equal(ejection.isProbeDue(minProbeDelayMs - 1), false);
	assert.equal(ejection.isProbeDue(minProbeDelayMs), true);
	ejection.recordProbe(false, minProbeDelayMs);
	assert.equal(ejection.isProbeDue(2 * minProbeDelayMs), false);
	assert.equal(ejection.recordProbe(true, 3 * minProbeDelayMs), true);
	assert.equal(ejection.isEjected, false);
});

test('one tenant cannot take the memory for bodies from the others', () => {
	const memory = new BodyMemory(100);
	assert.equal(memory.take('big', 25), true);
	assert.equal(memory.take('big', 1), false);
	assert.equal(memory.take('small', 25), true);
	memory.give('big', 25);
	assert.equal(memory.used, 25);
});
