import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseEntryPoints} from './entry-points.js';
import {makeLocalMember} from './fixtures.js';
import type {MemberRecord} from './types.js';

const zones = ['z1', 'z2', 'z3'];

function makeMembers(count: number, overrides: Partial<MemberRecord> = {}): MemberRecord[] {
	return Array.from({length: count}, (_, i) => ({
		...makeLocalMember(`vm-${i}`, {zone: zones[i % 3]!, callerAddress: `10.0.0.${i}:80`}), status: 'alive', revision: 0, load: 0, ...overrides,
	}));
}

const addressesOf = (key: string, zone: string | undefined, candidates: readonly MemberRecord[]) => chooseEntryPoints({key, zone, candidates}).map(({address}) => address);

test('a customer keeps its other entry VMs when one of them is removed, and the customers together use all entry VMs', () => {
	const members = makeMembers(12);
	const before = new Map(Array.from({length: 60}, (_, i) => [`t${i}`, addressesOf(`t${i}`, undefined, members)]));
	const removed = members[4]!;
	for (const [customer, subset] of before) {
		assert.equal(new Set(subset).size, 3);
		const after = addressesOf(customer, undefined, members.filter(member => member !== removed));
		const kept = subset.filter(address => address !== removed.callerAddress);
		assert.deepEqual(after.filter(address => kept.includes(address)).sort(), kept.sort());
	}

	const useCounts = new Map<string, number>();
	for (const address of [...before.values()].flat()) {
		useCounts.set(address, (useCounts.get(address) ?? 0) + 1);
	}

	assert.equal(useCounts.size, 12);
	assert.ok(Math.max(...useCounts.values()) < 40, 'tenants are spread over all VMs');
});

test('an answer lists VMs of the caller\'s zone first, by ascending load, and then one VM of another zone', () => {
	const members = makeMembers(12);
	for (let i = 0; i < 20; i++) {
		const answer = chooseEntryPoints({key: `t${i}`, zone: 'z2', candidates: members});
		assert.deepEqual(answer.map(({zone}) => zone === 'z2'), [true, true, false]);
	}

	const subset = addressesOf('t1', 'z2', members);
	const membersWithLoad = members.map(member => member.callerAddress === subset[0] ? {...member, load: 90} : member);
	assert.deepEqual(addressesOf('t1', 'z2', membersWithLoad), [subset[1], subset[0], subset[2]]);
	assert.equal(addressesOf('t1', 'z2', members.filter(({zone}) => zone === 'z2')).length, 3, 'if all entry VMs are in one zone, they fill the whole answer');
});
