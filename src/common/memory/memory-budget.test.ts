import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {MemoryBudget} from './memory-budget.js';
import type {Holder, HolderKind} from './memory-budget.js';

const stalledMs = 1000;

function createBudget(totalBytes = 100): MemoryBudget {
	return new MemoryBudget({totalBytes, maxOwnerShare: 0.5});
}

function hold(budget: MemoryBudget, owner: string, bytes: number, {kind = 'body', movedAtMs = 0, isClosable = true}: {kind?: HolderKind; movedAtMs?: number; isClosable?: boolean} = {}): Holder {
	const holder = budget.open(kind, owner, movedAtMs);
	assert.equal(budget.resize(holder, bytes, movedAtMs).outcome, 'granted');
	budget.recordMove(holder, isClosable, movedAtMs);
	return holder;
}

test('work that needs more memory than is left is refused while no peer has stalled', () => {
	const budget = createBudget();
	for (const owner of ['a', 'b', 'c']) {
		hold(budget, owner, 30);
	}

	assert.deepEqual(budget.resize(budget.open('body', 'd', 0), 20, stalledMs - 1), {outcome: 'refused', limit: 'process', victims: []});
	assert.equal(budget.usedBytes, 90);
});

test('of the owner that holds most, the holder that has stalled longest is closed', () => {
	const budget = createBudget();
	hold(budget, 'small', 20, {movedAtMs: 0});
	hold(budget, 'big', 20, {movedAtMs: 20});
	const longest = hold(budget, 'big', 20, {movedAtMs: 10});
	hold(budget, 'busy', 30, {movedAtMs: stalledMs});
	const decision = budget.resize(budget.open('body', 'new', stalledMs), 30, stalledMs + 20);
	assert.deepEqual(decision.victims, [longest]);
	assert.equal(decision.outcome, 'granted');
	assert.equal(budget.usedBytes, 100);
});

test('an owner over its share makes room among its own holders only', () => {
	const budget = createBudget();
	hold(budget, 'other', 10);
	const own = hold(budget, 'a', 40, {movedAtMs: 5});
	const holder = budget.open('body', 'a', 5);
	assert.deepEqual(budget.resize(holder, 20, 6), {outcome: 'refused', limit: 'owner', victims: []});
	assert.deepEqual(budget.resize(holder, 20, stalledMs + 5), {outcome: 'granted', limit: 'owner', victims: [own]});
});

test('a request that runs, or a body that is whole, is not closed', () => {
	const budget = createBudget();
	hold(budget, 'a', 50, {isClosable: false});
	hold(budget, 'b', 50, {kind: 'request', isClosable: false});
	assert.equal(budget.resize(budget.open('body', 'c', 0), 1, 10 * stalledMs).outcome, 'refused');
});

test('an unread answer makes room for another answer without having stalled, but not for a body', () => {
	const budget = createBudget();
	const unread = hold(budget, 'a', 50, {kind: 'answer'});
	hold(budget, 'b', 50, {isClosable: false});
	assert.equal(budget.resize(budget.open('body', 'c', 0), 10, 1).outcome, 'refused');
	assert.deepEqual(budget.resize(budget.open('answer', 'c', 0), 10, 1).victims, [unread]);
});

test('running requests are bounded by themselves', () => {
	const budget = new MemoryBudget({totalBytes: 100, maxOwnerShare: 0.5, maxRequestBytes: 20});
	const first = budget.open('request', undefined, 0);
	assert.equal(budget.resize(first, 20, 0).outcome, 'granted');
	assert.deepEqual(budget.resize(budget.open('request', undefined, 0), 1, 0), {outcome: 'refused', limit: 'requests', victims: []});
	assert.equal(budget.resize(budget.open('body', 'a', 0), 50, 0).outcome, 'granted');
	budget.release(first);
	assert.equal(budget.resize(budget.open('request', undefined, 0), 20, 0).outcome, 'granted');
});

test('a request whose body has stalled makes room for another request, one that runs does not', () => {
	const budget = new MemoryBudget({totalBytes: 100, maxOwnerShare: 0.5, maxRequestBytes: 20});
	const open = (bytes: number, nowMs: number, isClosable: boolean) => {
		const holder = budget.open('request', undefined, nowMs);
		assert.equal(budget.resize(holder, bytes, nowMs).outcome, 'granted');
		budget.recordMove(holder, isClosable, nowMs);
		return holder;
	};

	open(8, 0, false);
	const late = open(6, 500, true);
	const early = open(6, 0, true);
	assert.equal(budget.resize(budget.open('request', undefined, stalledMs - 1), 5, stalledMs - 1).outcome, 'refused');
	assert.deepEqual(budget.resize(budget.open('request', undefined, 1400), 5, 1400), {outcome: 'granted', limit: 'requests', victims: [early]});
	assert.deepEqual(budget.resize(budget.open('request', undefined, 1500), 6, 1500), {outcome: 'granted', limit: 'requests', victims: [late]});
	assert.equal(budget.resize(budget.open('request', undefined, 9000), 6, 9000).outcome, 'refused');
});

test('requests that make room for another request make enough for the limit of the process, too', () => {
	const budget = new MemoryBudget({totalBytes: 100, maxOwnerShare: 1, maxRequestBytes: 20});
	const stalled = [12, 4].map(bytes => {
		const holder = budget.open('request', undefined, 0);
		budget.resize(holder, bytes, 0);
		budget.recordMove(holder, true, 0);
		return holder;
	});
	hold(budget, 'a', 84, {isClosable: false});
	assert.deepEqual(budget.resize(budget.open('request', undefined, 2000), 14, 2000).victims, stalled);
	assert.equal(budget.usedBytes, 98);
	assert.equal(budget.resize(budget.open('request', undefined, 4000), 7, 4000).outcome, 'refused');
});

test('the limits rise so that one owner may hold the largest body', () => {
	const budget = createBudget();
	assert.equal(budget.resize(budget.open('body', 'a', 0), 80, 0).outcome, 'refused');
	budget.ensureShare(80);
	assert.equal(budget.resize(budget.open('body', 'a', 0), 80, 0).outcome, 'granted');
});

test('the memory held never exceeds the total or an owner\'s share, and is 0 when all holders are released', () => {
	const step = fastCheck.record({
		holder: fastCheck.nat(11), bytes: fastCheck.nat(60), waitMs: fastCheck.nat(900), isClosable: fastCheck.boolean(), isReleased: fastCheck.boolean(),
	});
	fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 80}), steps => {
		const budget = createBudget();
		const kinds: HolderKind[] = ['body', 'answer', 'request'];
		const holders = Array.from({length: 12}, (_, i) => budget.open(kinds[i % 3]!, `owner-${i % 4}`, 0));
		let nowMs = 0;
		for (const {holder, bytes, waitMs, isClosable, isReleased} of steps) {
			nowMs += waitMs;
			budget.resize(holders[holder]!, bytes, nowMs);
			budget.recordMove(holders[holder]!, isClosable, nowMs);
			if (isReleased) {
				budget.release(holders[holder]!);
			}

			const sum = (owner?: string) => holders.filter(candidate => owner === undefined || candidate.owner === owner).reduce((total, candidate) => total + candidate.bytes, 0);
			assert.equal(budget.usedBytes, sum());
			assert.ok(budget.usedBytes <= 100);
			assert.ok(holders.every(({owner}) => sum(owner) <= 50));
		}

		for (const holder of holders) {
			budget.release(holder);
		}

		assert.equal(budget.usedBytes, 0);
	}), {seed: 11});
});
