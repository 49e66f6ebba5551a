import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {MemoryBudget} from '../memory/memory-budget.js';
import type {UpstreamCandidate} from './load-balancing.js';
import {chooseUpstream} from './load-balancing.js';
import {ConcurrencyLimit} from './concurrency-limit.js';
import {consecutiveFailuresToEject, minProbeDelayMs, OutlierEjection} from './outlier-ejection.js';
import {RetryBudget} from './retry-budget.js';

function candidate(name: string, fields: Partial<UpstreamCandidate> = {}): UpstreamCandidate {
	return {
		name, zone: 'z1', inFlight: 0, maxInFlight: 10, isUsable: true, ...fields,
	};
}

function observedChoices(candidates: readonly UpstreamCandidate[], tried: readonly string[] = []): Set<string> {
	const random = new SeededRandom(4);
	return new Set(Array.from({length: 100}, () => {
		const choice = chooseUpstream(candidates, 'z1', new Set(tried), random);
		return choice.kind === 'chosen' ? choice.name : choice.code;
	}));
}

test('the less loaded of two upstreams is chosen, and upstreams in other zones only if the local zone has no capacity', () => {
	assert.deepEqual(observedChoices([candidate('a'), candidate('b', {inFlight: 9}), candidate('c', {zone: 'z2'})]), new Set(['a']));
	assert.deepEqual(observedChoices([candidate('a', {inFlight: 10}), candidate('c', {zone: 'z2'})]), new Set(['c']));
	assert.deepEqual(observedChoices([candidate('a'), candidate('c', {zone: 'z2'})], ['a']), new Set(['c']), 'a retry chooses an upstream that the request has not tried');
});

test('a request is refused as overloaded if all upstreams are full, and as no-upstream if none is usable', () => {
	assert.deepEqual(observedChoices([candidate('a', {inFlight: 10})]), new Set(['overloaded']));
	assert.deepEqual(observedChoices([candidate('a', {isUsable: false})]), new Set(['no-upstream']));
});

test('a customer that queued many requests first does not delay the first request of another customer', () => {
	const limit = new ConcurrencyLimit(6);
	const releases = Array.from({length: 6}, () => limit.tryAcquire()!);
	const servedCustomers: string[] = [];
	for (const customer of ['big', 'big', 'big', 'small']) {
		limit.enqueue(customer, release => {
			servedCustomers.push(customer);
			release!();
		});
	}

	releases[0]!();
	releases[0]!();
	assert.deepEqual(servedCustomers, ['big', 'small', 'big', 'big']);
	assert.equal(limit.inFlight, 5, 'a second release of the same slot has no effect');
});

test('a customer that fills the queue cannot keep out a customer with fewer queued requests', () => {
	const limit = new ConcurrencyLimit(3);
	const releases = [1, 2, 3].map(() => limit.tryAcquire()!);
	const outcomes: string[] = [];
	const enqueue = (name: string, customer: string) => limit.enqueue(customer, release => outcomes.push(`${name} ${release ? 'runs' : 'displaced'}`));
	for (const name of ['big1', 'big2', 'big3']) {
		enqueue(name, 'big');
	}

	assert.equal(enqueue('big4', 'big'), undefined);
	enqueue('small1', 'small');
	assert.equal(enqueue('small2', 'small'), undefined, 'a request is not displaced if its tenant would then have fewer queued requests than the other tenant');
	for (const release of releases) {
		release();
	}

	assert.deepEqual(outcomes, ['big3 displaced', 'big1 runs', 'small1 runs', 'big2 runs']);
});

test('a full queue accepts no request, and a request that left the queue gets no slot', () => {
	const limit = new ConcurrencyLimit(1);
	const release = limit.tryAcquire()!;
	assert.equal(limit.tryAcquire(), undefined);
	const leaveQueue = limit.enqueue('t', () => {
		assert.fail('the waiter was called after it left the queue');
	})!;
	assert.equal(limit.enqueue('t', () => undefined), undefined);
	leaveQueue();
	release();
	assert.equal(limit.inFlight, 0);
});

test('retries do not exceed the retry share of all requests', () => {
	const budget = new RetryBudget(0.1, 0);
	let retries = 0;
	for (let i = 0; i < 1000; i++) {
		budget.deposit();
		retries += budget.tryTake() ? 1 : 0;
	}

	assert.equal(retries, 100);
	assert.equal(new RetryBudget(0).tryTake(), false);
});

test('consecutive failures eject an upstream, a failed probe lengthens the ejection, and a successful probe ends it', () => {
	const ejection = new OutlierEjection();
	const fail = () => ejection.recordFailure(0);
	fail();
	ejection.recordSuccess();
	const hasEjected = Array.from({length: consecutiveFailuresToEject}, fail);
	assert.deepEqual(hasEjected, [false, false, true]);
	assert.equal(ejection.isProbeDue(minProbeDelayMs - 1), false);
	assert.equal(ejection.isProbeDue(minProbeDelayMs), true);
	ejection.recordProbe(false, minProbeDelayMs);
	assert.equal(ejection.isProbeDue(2 * minProbeDelayMs), false);
	assert.equal(ejection.recordProbe(true, 3 * minProbeDelayMs), true);
	assert.equal(ejection.isEjected, false);
});

test('one customer cannot exhaust the memory for request bodies', () => {
	const memory = new MemoryBudget({totalBytes: 100, maxOwnerShare: 0.25});
	const big = memory.open('body', 'big', 0);
	const small = memory.open('body', 'small', 0);
	assert.equal(memory.resize(big, 25, 0).outcome, 'granted');
	assert.equal(memory.resize(big, 26, 0).outcome, 'refused');
	assert.equal(memory.resize(memory.open('body', 'big', 0), 1, 0).outcome, 'refused');
	assert.equal(memory.resize(small, 25, 0).outcome, 'granted');
	memory.release(big);
	assert.equal(memory.usedBytes, 25);
});
