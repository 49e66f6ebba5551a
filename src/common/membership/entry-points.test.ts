import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseEntryPoints} from './entry-points.js';
import {makeSelf} from './fixtures.js';
import type {MemberRecord} from './types.js';

const zones = ['z1', 'z2', 'z3'];

function makeMembers(count: number, overrides: Partial<MemberRecord> = {}): MemberRecord[] {
	return Array.from({length: count}, (_, i) => ({
		...makeSelf(`vm-${i}`, {zone: zones[i % 3]!, callerAddress: `10.0.0.${i}:80`}), status: 'alive', revision: 0, load: 0, ...overrides,
	}));
}

const addresses = (key: string, zone: string | undefined, candidates: readonly MemberRecord[]) => chooseEntryPoints({key, zone, candidates}).map(({address}) => address);

test('a tenant always gets the same few VMs, and only its own change when one goes', () => {
	const members = makeMembers(12);
	const before = new Map(Array.from({length: 60}, (_, i) => [`t${i}`, addresses(`t${i}`, undefined, members)]));
	const gone = members[4]!;
	for (const [tenant, subset] of before) {
		assert.equal(new Set(subset).size, 3);
		const after = addresses(tenant, undefined, members.filter(member => member !== gone));
		const kept = subset.filter(address => address !== gone.callerAddress);
		assert.deepEqual(after.filter(address => kept.includes(address)).sort(), kept.sort());
	}

	const used = new Map<string, number>();
	for (const address of [...before.values()].flat()) {
		used.set(address, (used.get(address) ?? 0) + 1);
	}

	assert.equal(used.size, 12);
	assert.ok(Math.max(...used.values()) < 40, 'tenants spread over the VMs');
});

test('the caller\'s zone comes first, one VM is in another zone, and the least loaded leads', () => {
	const members = makeMembers(12);
	for (let i = 0; i < 20; i++) {
		const answer = chooseEntryPoints({key: `t${i}`, zone: 'z2', candidates: members});
		assert.deepEqual(answer.map(({zone}) => zone === 'z2'), [true, true, false]);
	}

	const subset = addresses('t1', 'z2', members);
	const loaded = members.map(member => member.callerAddress === subset[0] ? {...member, load: 90} : member);
	assert.deepEqual(addresses('t1', 'z2', loaded), [subset[1], subset[0], subset[2]]);
	assert.equal(addresses('t1', 'z2', members.filter(({zone}) => zone === 'z2')).length, 3, 'one zone is enough when it is the only one');
});
