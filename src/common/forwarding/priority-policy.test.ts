import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {ForwardCustomer} from '../configuration/forwarding.js';
import {buildForwarding, buildRoute} from './fixtures.js';
import {RequestPriority} from './priority-policy.js';
import type {RequestPriorityOptions} from './priority-policy.js';
import {priorityLevel, PriorityRanks} from './priority-ranks.js';
import {keptTokens, reservedTokens} from './reservation.js';
import {RoomShortage} from './room-shortage.js';

const engine = {
	slots: 32, cacheTokens: 43_707, handleTtlMs: 500, holdTtlMs: 2000,
};
const engineCount = 12;
const services = [{
	name: 'desk', healthPath: '/healthz', maxConnections: 100, engine,
}];
const plain: ForwardCustomer = {
	name: 'acme', keys: ['k'], unit: 'tokens', defaultCost: 1,
};

function buildRanks(priorities: readonly number[], customers: ReadonlyArray<number | undefined> = [undefined], isOpen = false): PriorityRanks {
	return new PriorityRanks(buildForwarding({
		services, routes: priorities.map(priority => buildRoute({priority, isOpen})), tenants: customers.map(priority => ({...plain, ...(priority !== undefined && {priority})})),
	}));
}

function buildPriority(rank: number, shortage: RoomShortage, changes: Partial<RequestPriorityOptions> = {}): RequestPriority {
	return new RequestPriority({
		service: 'desk', priority: {rank, ranks: 3}, shortage, fullPoolRetryAfterMs: 3000, isCallerRetry: false, waitMs: 14_000, random: 0.9,
		readyEngines: () => engineCount, sizeShare: 0.12, ...changes,
	});
}

// Guards deployments without different priorities, which must be served as before.
test('requests have a rank only if requests of their model service can have different priorities', () => {
	assert.equal(buildRanks([3, 3]).rankOf('desk', {priority: 3}, {}), undefined);
	assert.equal(buildRanks([1, 2], [4, 4]).rankOf('desk', {priority: 1}, {priority: 4}), undefined);
	assert.equal(new PriorityRanks(buildForwarding({routes: [buildRoute({priority: 0}), buildRoute({priority: 1})]})).rankOf('desk', {priority: 1}, {}), undefined);
	assert.deepEqual(buildRanks([7, 2, 2]).rankOf('desk', {priority: 7}, {}), {rank: 1, ranks: 2});
});

test('a customer\'s priority goes before that of its route, except on open routes, whose callers are not known', () => {
	const ranks = buildRanks([2, 1], [0, undefined]);
	assert.deepEqual(ranks.rankOf('desk', {priority: 2}, {priority: 0}), {rank: 0, ranks: 3});
	assert.deepEqual(ranks.rankOf('desk', {priority: 2}, {}), {rank: 2, ranks: 3});
	assert.deepEqual(buildRanks([2, 1], [0], true).rankOf('desk', {priority: 1}, undefined), {rank: 0, ranks: 2});
});

test('any number of priorities maps to the ten levels of the engines in order', () => {
	const ranks = buildRanks(Array.from({length: 25}, (_, i) => i - 5));
	const levels = Array.from({length: 25}, (_, i) => priorityLevel(ranks.rankOf('desk', {priority: i - 5}, {})!));
	assert.deepEqual([levels[0], levels[24]], [0, 9]);
	assert.deepEqual(levels, levels.toSorted((a, b) => a - b));
	assert.deepEqual([0, 1, 2].map(rank => priorityLevel({rank, ranks: 3})), [0, 3, 6]);
});

test('while memory is short, a less urgent request must leave more of it, asks fewer engines and is told to come back later, but before its deadline', () => {
	const shortage = new RoomShortage();
	assert.deepEqual([0, 1, 2].map(rank => buildPriority(rank, shortage).planRound(0, false).isSpareFirst), [true, true, true]);
	buildPriority(2, shortage).recordRefusedRound(buildPriority(2, shortage).planRound(0, false), engineCount, 0);
	const rounds = [0, 1, 2].map(rank => buildPriority(rank, shortage).planRound(100, false));
	assert.deepEqual(rounds.map(({isSpareFirst}) => isSpareFirst), [false, false, false]);
	assert.deepEqual(rounds.map(({keptRatio}) => keptRatio), [0, 1, 2]);
	assert.ok(rounds[0]!.maxEngines === Infinity && rounds[1]!.maxEngines < 20);
	assert.deepEqual(rounds.map(({fullPoolRetryAfterMs}) => fullPoolRetryAfterMs), [3000, 4667, 4667]);
	assert.equal(buildPriority(2, shortage, {waitMs: 4000}).planRound(100, false).fullPoolRetryAfterMs, 3000);
	assert.equal(buildPriority(2, shortage).planRound(5000, false).keptRatio, 0);
});

test('a refusal of a request that had to leave room shows a shortage of its own rank only, and a grant at the first engine ends those of its and more urgent ranks', () => {
	const shortage = new RoomShortage();
	const keptRatios = () => [0, 1, 2].map(rank => buildPriority(rank, shortage).planRound(0, false).keptRatio);
	buildPriority(1, shortage).recordRefusedRound({...buildPriority(1, shortage).planRound(0, false), keptRatio: 1}, 8, 0);
	assert.deepEqual(keptRatios(), [0, 0, 1]);
	shortage.recordFullPool('desk', 0);
	const lucky = buildPriority(0, shortage);
	lucky.planRound(0, false);
	lucky.recordGranted(3);
	assert.deepEqual(keptRatios(), [0, 1, 2]);
	lucky.recordGranted(0);
	assert.deepEqual(keptRatios(), [0, 0, 1]);
});

// Guards against a request that waits for memory on the few engines that it may use, or for much memory, holding up all others.
test('a pool is full for all ranks only if most of its engines refused a reservation of usual size', () => {
	const shortRanks = (refusals: number, sizeShare: number) => {
		const shortage = new RoomShortage();
		const priority = buildPriority(1, shortage, {sizeShare});
		priority.recordRefusedRound(priority.planRound(0, false), refusals, 0);
		return [0, 1, 2].filter(rank => shortage.isShort('desk', rank, 0));
	};

	assert.deepEqual(shortRanks(engineCount, 0.12), [0, 1, 2]);
	assert.deepEqual(shortRanks(engineCount / 3, 0.12), [1]);
	assert.deepEqual(shortRanks(engineCount, 0.4), [1]);
});

test('a grant to a request that yielded to none, since it was promoted or has begun, shows no room for less urgent requests', () => {
	for (const [random, hasBegun] of [[0.1, false], [0.9, true]] as const) {
		const shortage = new RoomShortage();
		shortage.recordFullPool('desk', 0);
		const priority = buildPriority(2, shortage, {random});
		priority.planRound(0, hasBegun);
		priority.recordGranted(0);
		assert.deepEqual([0, 1, 2].filter(rank => shortage.isShort('desk', rank, 0)), [1, 2]);
	}
});

// Guards against large requests that could never be placed beside room of several times their size.
test('a large request leaves only as much room as an engine that is half empty has', () => {
	const sizeOf = (promptTokens: number) => reservedTokens({
		model: 'm', promptTokens, maxOutputTokens: 0, expectedOutputTokens: undefined,
	});
	assert.deepEqual([5200, 16_000, 30_000].map(promptTokens => keptTokens(sizeOf(promptTokens), 2.5, 44_000)), [13_000, 6000, 0]);
});

test('callers that were refused together are told to come back at different times, also where their deadline limits these', () => {
	const shortage = new RoomShortage();
	shortage.recordFullPool('desk', 0);
	const [early, late] = [3000, 4500].map(fullPoolRetryAfterMs => buildPriority(2, shortage, {fullPoolRetryAfterMs}).planRound(0, false).fullPoolRetryAfterMs);
	assert.ok(late! - early! >= 1500);
	assert.ok(late! <= 7000);
});

test('a caller\'s retry goes after first attempts of its rank and before less urgent first attempts; streams that have begun and promoted requests yield to none', () => {
	const shortage = new RoomShortage();
	assert.equal(buildPriority(0, shortage, {isCallerRetry: true}).planRound(0, false).keptRatio, 0);
	shortage.recordFullPool('desk', 0);
	const retry = buildPriority(0, shortage, {isCallerRetry: true}).planRound(0, false).keptRatio;
	assert.ok(retry > 0 && retry < buildPriority(1, shortage).planRound(0, false).keptRatio);
	assert.equal(buildPriority(2, shortage, {isCallerRetry: true}).planRound(0, true).keptRatio, 0);
	assert.equal(buildPriority(2, shortage, {random: 0.1}).planRound(0, false).keptRatio, 0);
});

test('shortages of services that are no longer used are forgotten', () => {
	const shortage = new RoomShortage();
	for (let i = 0; i < 1000; i++) {
		shortage.recordFullPool(`service-${i}`, i * 3000);
	}

	assert.ok(Object.values(shortage).every((services: unknown) => !(services instanceof Map) || services.size <= 64));
});
