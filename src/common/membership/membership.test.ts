import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {Fleet} from './fixtures.js';
import {entryProcesses} from './membership.js';
import {maxPageRecords, maxUpdates} from './messages.js';

/** Bound on the time until all members know all others, from a start with two seeds. */
const joinBoundMs = 15_000;
/** Bound on the time until all members know of a death: probes and confirmation, 2 s of suspicion, and spreading. */
const deathBoundMs = 10_000;

function makeFleet(size: number, seed = 1): Fleet {
	const fleet = new Fleet(size, seed);
	fleet.until(() => fleet.hasConverged(), joinBoundMs);
	return fleet;
}

test('members find each other, nobody is declared dead without loss, and a death is known everywhere within the bound', () => {
	fc.assert(fc.property(fc.integer({min: 3, max: 40}), fc.nat(1e6), (size, seed) => {
		const fleet = makeFleet(size, seed);
		fleet.advance(20_000);
		assert.deepEqual(fleet.deaths, []);
		const victim = `vm-${seed % size}`;
		fleet.down.add(victim);
		fleet.until(() => fleet.agree(victim, record => record?.status === 'dead'), deathBoundMs);
		assert.ok(fleet.deaths.every(({vm}) => vm === victim));
	}), {seed: 3, numRuns: 15});
});

test('guards against a member that waits seconds to be found because its seed was not up at its first attempt', () => {
	const fleet = new Fleet(2, 1);
	fleet.lose(() => true);
	fleet.advance(1000);
	fleet.lose(() => false);
	fleet.advance(500);
	assert.ok(fleet.hasConverged());
});

/** Share of the given members that the running members count as live. */
function liveShare(fleet: Fleet, vms: readonly string[]): number {
	const running = [...fleet.members.keys()].filter(by => !fleet.down.has(by));
	const pairs = running.flatMap(by => vms.filter(vm => vm !== by).map(vm => (fleet.recordOf(by, vm)?.status ?? 'dead') !== 'dead'));
	return pairs.filter(Boolean).length / pairs.length;
}

test('at the target size 98% of the list is known 15 s after a cold start, and 95% of the deaths 15 s after a zone is lost', () => {
	const fleet = new Fleet(400, 1);
	fleet.advance(15_000);
	const known = liveShare(fleet, [...fleet.members.keys()]);
	assert.ok(known >= 0.98, `${known}`);
	const lost = [...fleet.members.keys()].filter((_, i) => i % 7 === 3);
	for (const vm of lost) {
		fleet.down.add(vm);
	}

	fleet.advance(15_000);
	const stillLive = liveShare(fleet, lost);
	assert.ok(stillLive <= 0.05, `${stillLive}`);
	assert.ok(fleet.deaths.every(({vm}) => lost.includes(vm)));
});

test('a member that pauses is suspected, refutes in time and is not declared dead', () => {
	const fleet = makeFleet(10);
	fleet.lose((from, to) => from === 'vm-4' || to === 'vm-4');
	fleet.until(() => [...fleet.members.keys()].some(by => fleet.recordOf(by, 'vm-4')?.status === 'suspect'), 10_000);
	fleet.lose(() => false);
	fleet.advance(10_000);
	assert.deepEqual(fleet.deaths, []);
	assert.ok(fleet.agree('vm-4', record => record?.status === 'alive' && record.revision > 0));
});

test('a member that one other cannot reach is confirmed through third members', () => {
	const fleet = makeFleet(8);
	fleet.lose((from, to) => from === 'vm-2' && to === 'vm-5');
	const suspicions: unknown[] = [];
	fleet.watch(message => {
		suspicions.push(...message.updates.filter(({status}) => status !== 'alive'));
	});

	fleet.advance(20_000);
	assert.deepEqual(suspicions, []);
});

test('a partition ends in deaths on both sides, and heals when it is over', () => {
	const fleet = makeFleet(12);
	const side = (vm: string) => Number(vm.slice(3)) % 2;
	fleet.lose((from, to) => side(from) !== side(to));
	fleet.until(() => fleet.recordOf('vm-0', 'vm-1')?.status === 'dead' && fleet.recordOf('vm-1', 'vm-0')?.status === 'dead', 30_000);
	fleet.advance(20_000);
	fleet.lose(() => false);
	fleet.until(() => fleet.hasConverged(), 40_000);
});

test('a restarted process replaces its former run, whose death others still know', () => {
	const fleet = makeFleet(6);
	fleet.down.add('vm-3');
	fleet.until(() => fleet.agree('vm-3', record => record?.status === 'dead'), deathBoundMs);
	assert.deepEqual(entryProcesses(fleet.members.get('vm-0')!).dead, [{vm: 'vm-3', incarnation: 1}]);
	fleet.down.delete('vm-3');
	fleet.add('vm-3', {incarnation: 2});
	fleet.until(() => fleet.agree('vm-3', record => record?.status === 'alive' && record.incarnation === 2), joinBoundMs);
	assert.deepEqual(entryProcesses(fleet.members.get('vm-0')!).dead, []);
});

test('a process that leaves is known as dead without suspicion, sooner than a crash can be found', () => {
	const fleet = makeFleet(20);
	fleet.send('vm-7', {type: 'membership/leave'});
	fleet.advance(50);
	fleet.down.add('vm-7');
	fleet.until(() => fleet.agree('vm-7', record => record?.status === 'dead'), 2000);
	const slow = makeFleet(5);
	slow.send('vm-2', {type: 'membership/leave'});
	slow.advance(10_000);
	assert.ok(slow.agree('vm-2', record => record?.status === 'dead'), 'not even while the process still answers');
	assert.equal(slow.members.get('vm-2')!.self.revision, 1, 'it does not contradict what it said itself');
});

test('draining and load reach every member; small changes of load are not spread', () => {
	const fleet = makeFleet(20);
	fleet.advance(5000);
	fleet.send('vm-7', {type: 'membership/self', isDraining: true, load: 50});
	fleet.until(() => fleet.agree('vm-7', record => record?.isDraining === true && record.load === 50), 5000);
	const {revision} = fleet.members.get('vm-7')!.self;
	fleet.send('vm-7', {type: 'membership/self', load: 90});
	fleet.advance(6000);
	fleet.send('vm-7', {type: 'membership/self', load: 55});
	assert.equal(fleet.members.get('vm-7')!.self.revision, revision);
});

test('the cost per member does not grow with the fleet, and messages are bounded', () => {
	const perMember = [10, 100].map(size => {
		const fleet = makeFleet(size);
		let messages = 0;
		fleet.watch(message => {
			messages++;
			assert.ok(message.updates.length <= (message.type === 'membership.members' ? maxPageRecords : maxUpdates));
		});

		fleet.advance(20_000);
		return messages / size / 20;
	});
	assert.ok(perMember[1]! <= perMember[0]! * 1.2, `messages per second: ${perMember.join(', ')}`);
	assert.ok(perMember[1]! <= 6);
});

test('each pass probes every member once, so that no death is overlooked by chance', () => {
	const fleet = makeFleet(10);
	const probes = new Map<string, number>();
	fleet.watch((message, from, to) => {
		if (message.type === 'membership.ping' && message.onBehalfOf === '') {
			probes.set(`${from} ${to}`, (probes.get(`${from} ${to}`) ?? 0) + 1);
		}
	});
	fleet.advance(9 * 500 * 3);
	assert.equal(probes.size, 90);
	assert.ok([...probes.values()].every(count => count >= 2 && count <= 4));
});

test('a member is told that it counts as dead long after that was spread, so that it can refute', () => {
	const fleet = makeFleet(4);
	fleet.down.add('vm-3');
	fleet.advance(30_000);
	assert.equal(fleet.members.get('vm-0')!.updates.size, 0);
	const told: string[] = [];
	fleet.watch(message => {
		told.push(...message.updates.map(({vm, status}) => `${message.type} ${vm} ${status}`));
	});
	const message = {
		type: 'membership.ping' as const, sequence: 1, onBehalfOf: '', updates: [],
	};
	fleet.send('vm-0', {type: 'membership/message', from: {vm: 'vm-3', incarnation: 1}, message});
	assert.ok(told.includes('membership.ack vm-3 dead'));
});

test('a member that was cut off declares nobody dead on its return', () => {
	for (let seed = 1; seed <= 40; seed++) {
		const fleet = makeFleet(8, seed);
		fleet.lose((from, to) => from === 'vm-4' || to === 'vm-4');
		fleet.advance(6000);
		fleet.lose(() => false);
		fleet.until(() => fleet.hasConverged(), 30_000);
		assert.deepEqual([...new Set(fleet.deaths.map(({vm}) => vm))], ['vm-4'], `seed ${seed}`);
	}
});

test('a member alone with one other does declare it dead', () => {
	const fleet = makeFleet(2);
	fleet.down.add('vm-1');
	fleet.until(() => fleet.recordOf('vm-0', 'vm-1')?.status === 'dead', 15_000);
});

test('updates are sent a limited number of times', () => {
	const fleet = makeFleet(10);
	fleet.advance(20_000);
	assert.ok([...fleet.members.values()].every(({updates}) => updates.size === 0));
});

test('long-dead members are forgotten', () => {
	const fleet = makeFleet(4);
	fleet.down.add('vm-3');
	fleet.advance(330_000);
	assert.equal(fleet.recordOf('vm-0', 'vm-3'), undefined);
});
