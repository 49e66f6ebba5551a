import assert from 'node:assert/strict';
import {test} from 'node:test';
import {SeededRandom} from '../core/random.js';
import {announcedCapacity, sampleEntryPoints} from './entry-point-sample.js';
import type {MemberRecord} from './types.js';

type Size = {readonly capacity?: number; readonly zone?: string; readonly isControl?: boolean};

function buildMembers(sizes: readonly Size[]): MemberRecord[] {
	return sizes.map(({capacity, zone = 'z1', isControl = false}, i) => ({
		vm: `vm-${i}`,
		incarnation: 1,
		revision: 0,
		status: 'alive',
		zone,
		roles: isControl ? ['entry', 'control'] : ['entry'],
		peerAddress: `10.0.0.${i}:1`,
		isDraining: false,
		load: 0,
		...(capacity !== undefined && {capacity}),
	}));
}

/** Returns the expected number of callers that pick each member, for one caller per answer who picks any VM of it. Asserts the bounds of each answer. */
function measureShares(members: readonly MemberRecord[], zone: string, answers = 8000): number[] {
	const random = new SeededRandom(11);
	const shares = new Map(members.map(({vm}) => [vm, 0]));
	for (let i = 0; i < answers; i++) {
		const answer = sampleEntryPoints(members, {zone, maxCount: 64, random: () => random.next()});
		assert.ok(answer.length >= Math.min(3, members.length) && answer.length <= 64);
		assert.equal(new Set(answer).size, answer.length);
		for (const {vm} of answer) {
			shares.set(vm, shares.get(vm)! + (1 / answer.length / answers));
		}
	}

	return [...shares.values()];
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Asserts that the shares are proportional to the weights: within 3% for all members of a weight together, and, since a member alone is drawn less often, within 15% for each. */
function assertProportional(shares: readonly number[], weights: readonly number[]): void {
	const ratios = shares.map((share, i) => (share / sum(shares)) / (weights[i]! / sum(weights)));
	assert.ok(ratios.every(ratio => Math.abs(ratio - 1) < 0.15), ratios.join(' '));
	for (const weight of new Set(weights)) {
		const ofWeight = ratios.filter((_, i) => weights[i] === weight);
		const mean = sum(ofWeight) / ofWeight.length;
		assert.ok(Math.abs(mean - 1) < 0.03, `weight ${weight}: ${mean}`);
	}
}

test('callers reach VMs in proportion to their capacity, whether the answer has room for all of them or not', () => {
	for (const count of [12, 60, 83, 220]) {
		const capacities = Array.from({length: count}, (_, i) => [243, 486, 810][i % 3]!);
		assertProportional(measureShares(buildMembers(capacities.map(capacity => ({capacity}))), 'z1'), capacities);
	}
});

test('with more VMs than an answer has room for, those in the caller\'s zone are named first and share in proportion', () => {
	const sizes = Array.from({length: 83}, (_, i) => ({capacity: i % 2 === 0 ? 300 : 600, zone: `z${i % 3}`}));
	const members = buildMembers(sizes);
	const shares = measureShares(members, 'z0');
	for (const isOwnZone of [true, false]) {
		const group = sizes.map((size, i) => ({...size, share: shares[i]!})).filter(({zone}) => (zone === 'z0') === isOwnZone);
		assertProportional(group.map(({share}) => share), group.map(({capacity}) => capacity));
	}

	const answer = sampleEntryPoints(members, {zone: 'z0', maxCount: 64, random: () => 0.5});
	const lastOwn = answer.findLastIndex(({zone}) => zone === 'z0');
	assert.ok(answer.slice(0, lastOwn + 1).every(({zone}) => zone === 'z0'));
});

test('VMs that count alike are named as without capacities: all that the answer has room for, the caller\'s zone first', () => {
	const sizes = Array.from({length: 83}, (_, i) => ({zone: `z${i % 3}`}));
	const named = (members: readonly MemberRecord[]) => sampleEntryPoints(members, {zone: 'z1', maxCount: 64, random: () => assert.fail('not drawn')}).map(({vm}) => vm);
	const expected = buildMembers(sizes).sort((a, b) => Number(b.zone === 'z1') - Number(a.zone === 'z1')).slice(0, 64).map(({vm}) => vm);
	assert.deepEqual(named(buildMembers(sizes)), expected);
	assert.deepEqual(named(buildMembers(sizes.map(size => ({...size, capacity: 324})))), expected);
	assert.deepEqual(named(buildMembers(sizes.map((size, i) => i === 5 ? size : {...size, capacity: 324 + i}))), expected, 'one announces no capacity');
	const largerControl = sizes.map((size, i) => i < 6 ? {...size, capacity: 864, isControl: true} : {...size, capacity: 324});
	assert.deepEqual(named(buildMembers(largerControl)), expected, 'larger control VMs need the rest for control work');
});

test('a control VM that is smaller than the others counts as what it is', () => {
	const capacities = [200, 200, 200, ...Array.from({length: 17}, () => 800)];
	assertProportional(measureShares(buildMembers(capacities.map((capacity, i) => ({capacity, isControl: i < 3}))), 'z1'), capacities);
});

test('the capacity is that of the processor or, if that is slower, of the link', () => {
	assert.equal(announcedCapacity({processorCores: 0.243, linkBitsPerSecond: 5_250_000}), 243);
	assert.equal(announcedCapacity({processorCores: 2, linkBitsPerSecond: 10_000_000}), 500);
	assert.equal(announcedCapacity({processorCores: 0.0001, linkBitsPerSecond: 10_000_000}), 1);
});
