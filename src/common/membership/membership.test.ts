import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {SimulatedFleet} from './fixtures.js';
import {entryProcesses} from './membership.js';
import {maxPageRecords, maxUpdates} from './messages.js';

/** Time within which all members must know each other after a start with two seeds, in milliseconds. */
const convergenceLimitMs = 15_000;
/** Time within which all members must learn of a death, in milliseconds. It covers direct and indirect probes, 2 s of suspicion, and dissemination. */
const deathDetectionLimitMs = 10_000;

function makeConvergedFleet(size: number, seed = 1): SimulatedFleet {
	const fleet = new SimulatedFleet(size, seed);
	fleet.advanceUntil(() => fleet.hasConverged(), convergenceLimitMs);
	return fleet;
}

test('all members discover each other, declare no member dead while no message is lost, and learn of a death within 10 s', () => {
	fc.assert(fc.property(fc.integer({min: 3, max: 40}), fc.nat(1e6), (size, seed) => {
		const fleet = makeConvergedFleet(size, seed);
		fleet.advance(20_000);
		assert.deepEqual(fleet.deathDeclarations, []);
		const victim = `vm-${seed % size}`;
		fleet.down.add(victim);
		fleet.advanceUntil(() => fleet.hasAgreementOn(victim, record => record?.status === 'dead'), deathDetectionLimitMs);
		assert.ok(fleet.deathDeclarations.every(({vm}) => vm === victim));
	}), {seed: 3, numRuns: 15});
});

test('a member whose seed was unreachable at the first attempt joins within 500 ms after the seed becomes reachable', () => {
	const fleet = new SimulatedFleet(2, 1);
	fleet.dropMessages(() => true);
	fleet.advance(1000);
	fleet.dropMessages(() => false);
	fleet.advance(500);
	assert.ok(fleet.hasConverged());
});

/** Returns the fraction of the given members that a running member lists as alive or suspect, averaged over the running members. */
function liveShare(fleet: SimulatedFleet, vms: readonly string[]): number {
	const running = [...fleet.members.keys()].filter(observer => !fleet.down.has(observer));
	const pairs = running.flatMap(observer => vms.filter(vm => vm !== observer).map(vm => (fleet.recordOf(observer, vm)?.status ?? 'dead') !== 'dead'));
	return pairs.filter(Boolean).length / pairs.length;
}

test('in a cluster of 400, members know on average at least 98% of the others 15 s after a cold start, and at least 95% of the failures 15 s after one member in seven has failed', () => {
	const fleet = new SimulatedFleet(400, 1);
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
	assert.ok(fleet.deathDeclarations.every(({vm}) => lost.includes(vm)));
});

test('a member that is unreachable for a short time refutes the suspicion and is not declared dead', () => {
	const fleet = makeConvergedFleet(10);
	fleet.dropMessages((from, to) => from === 'vm-4' || to === 'vm-4');
	fleet.advanceUntil(() => [...fleet.members.keys()].some(observer => fleet.recordOf(observer, 'vm-4')?.status === 'suspect'), 10_000);
	fleet.dropMessages(() => false);
	fleet.advance(10_000);
	assert.deepEqual(fleet.deathDeclarations, []);
	assert.ok(fleet.hasAgreementOn('vm-4', record => record?.status === 'alive' && record.revision > 0));
});

test('a member that only one other member cannot reach acknowledges indirect probes and is not suspected', () => {
	const fleet = makeConvergedFleet(8);
	fleet.dropMessages((from, to) => from === 'vm-2' && to === 'vm-5');
	const suspicions: unknown[] = [];
	fleet.observeMessages(message => {
		suspicions.push(...message.updates.filter(({status}) => status !== 'alive'));
	});

	fleet.advance(20_000);
	assert.deepEqual(suspicions, []);
});

test('both sides of a partition declare each other dead and merge again after the partition ends', () => {
	const fleet = makeConvergedFleet(12);
	const sideOf = (vm: string) => Number(vm.slice(3)) % 2;
	fleet.dropMessages((from, to) => sideOf(from) !== sideOf(to));
	fleet.advanceUntil(() => fleet.recordOf('vm-0', 'vm-1')?.status === 'dead' && fleet.recordOf('vm-1', 'vm-0')?.status === 'dead', 30_000);
	fleet.advance(20_000);
	fleet.dropMessages(() => false);
	fleet.advanceUntil(() => fleet.hasConverged(), 40_000);
});

test('a restarted process replaces its previous incarnation, which the other members still list as dead', () => {
	const fleet = makeConvergedFleet(6);
	fleet.down.add('vm-3');
	fleet.advanceUntil(() => fleet.hasAgreementOn('vm-3', record => record?.status === 'dead'), deathDetectionLimitMs);
	assert.deepEqual(entryProcesses(fleet.members.get('vm-0')!).dead, [{vm: 'vm-3', incarnation: 1}]);
	fleet.down.delete('vm-3');
	fleet.addMember('vm-3', {incarnation: 2});
	fleet.advanceUntil(() => fleet.hasAgreementOn('vm-3', record => record?.status === 'alive' && record.incarnation === 2), convergenceLimitMs);
	assert.deepEqual(entryProcesses(fleet.members.get('vm-0')!).dead, []);
});

test('a process that announces its end is listed as dead by all members within 2 s, and does not refute its own announcement', () => {
	const fleet = makeConvergedFleet(20);
	fleet.dispatch('vm-7', {type: 'membership/leave'});
	fleet.advance(50);
	fleet.down.add('vm-7');
	fleet.advanceUntil(() => fleet.hasAgreementOn('vm-7', record => record?.status === 'dead'), 2000);
	const respondingFleet = makeConvergedFleet(5);
	respondingFleet.dispatch('vm-2', {type: 'membership/leave'});
	respondingFleet.advance(10_000);
	assert.ok(respondingFleet.hasAgreementOn('vm-2', record => record?.status === 'dead'), 'a leaving process that still answers stays dead');
	assert.equal(respondingFleet.members.get('vm-2')!.self.revision, 1, 'the leaving process does not refute its own announcement');
});

test('a change of the draining flag or of the load reaches every member, but a change of load is not gossiped if it is small or follows the previous one within 5 s', () => {
	const fleet = makeConvergedFleet(20);
	fleet.advance(5000);
	fleet.dispatch('vm-7', {type: 'membership/self', isDraining: true, load: 50});
	fleet.advanceUntil(() => fleet.hasAgreementOn('vm-7', record => record?.isDraining === true && record.load === 50), 5000);
	const {revision} = fleet.members.get('vm-7')!.self;
	fleet.dispatch('vm-7', {type: 'membership/self', load: 90});
	fleet.advance(6000);
	fleet.dispatch('vm-7', {type: 'membership/self', load: 55});
	assert.equal(fleet.members.get('vm-7')!.self.revision, revision);
});

test('the message rate per member does not grow with the number of members, and the number of records in a message is bounded', () => {
	const messagesPerMemberPerS = [10, 100].map(size => {
		const fleet = makeConvergedFleet(size);
		let messages = 0;
		fleet.observeMessages(message => {
			messages++;
			assert.ok(message.updates.length <= (message.type === 'membership.members' ? maxPageRecords : maxUpdates));
		});

		fleet.advance(20_000);
		return messages / size / 20;
	});
	assert.ok(messagesPerMemberPerS[1]! <= messagesPerMemberPerS[0]! * 1.2, `messages per second: ${messagesPerMemberPerS.join(', ')}`);
	assert.ok(messagesPerMemberPerS[1]! <= 6);
});

test('each probe pass covers every member once, so that the time to detect a death is bounded', () => {
	const fleet = makeConvergedFleet(10);
	const probeCounts = new Map<string, number>();
	fleet.observeMessages((message, from, to) => {
		if (message.type === 'membership.ping' && message.onBehalfOf === '') {
			probeCounts.set(`${from} ${to}`, (probeCounts.get(`${from} ${to}`) ?? 0) + 1);
		}
	});
	fleet.advance(9 * 500 * 3);
	assert.equal(probeCounts.size, 90);
	assert.ok([...probeCounts.values()].every(count => count >= 2 && count <= 4));
});

test('a member listed as dead that sends a message after dissemination has ended receives its own record in the reply, so that it can refute', () => {
	const fleet = makeConvergedFleet(4);
	fleet.down.add('vm-3');
	fleet.advance(30_000);
	assert.equal(fleet.members.get('vm-0')!.updates.size, 0);
	const receivedRecords: string[] = [];
	fleet.observeMessages(message => {
		receivedRecords.push(...message.updates.map(({vm, status}) => `${message.type} ${vm} ${status}`));
	});
	const message = {
		type: 'membership.ping' as const, sequence: 1, onBehalfOf: '', updates: [],
	};
	fleet.dispatch('vm-0', {type: 'membership/message', from: {vm: 'vm-3', incarnation: 1}, message});
	assert.ok(receivedRecords.includes('membership.ack vm-3 dead'));
});

test('a member that is cut off for 6 s declares no other member dead, neither during that time nor after it reconnects', () => {
	for (let seed = 1; seed <= 40; seed++) {
		const fleet = makeConvergedFleet(8, seed);
		fleet.dropMessages((from, to) => from === 'vm-4' || to === 'vm-4');
		fleet.advance(6000);
		fleet.dropMessages(() => false);
		fleet.advanceUntil(() => fleet.hasConverged(), 30_000);
		assert.deepEqual([...new Set(fleet.deathDeclarations.map(({vm}) => vm))], ['vm-4'], `seed ${seed}`);
	}
});

test('in a cluster of two, a member declares the other dead although it receives no messages at all and may thus itself be cut off', () => {
	const fleet = makeConvergedFleet(2);
	fleet.down.add('vm-1');
	fleet.advanceUntil(() => fleet.recordOf('vm-0', 'vm-1')?.status === 'dead', 15_000);
});

test('the update queue becomes empty, because each update is sent a limited number of times only', () => {
	const fleet = makeConvergedFleet(10);
	fleet.advance(20_000);
	assert.ok([...fleet.members.values()].every(({updates}) => updates.size === 0));
});

test('a dead member is removed from the list after the retention period', () => {
	const fleet = makeConvergedFleet(4);
	fleet.down.add('vm-3');
	fleet.advance(330_000);
	assert.equal(fleet.recordOf('vm-0', 'vm-3'), undefined);
});

/** Time after which no answer may name a member that was lost, in milliseconds. */
const namedLimitMs = 7000;

/** Returns the members that some running member would name in an entry-point answer although they are down. */
function namedLostMembers(fleet: SimulatedFleet): string[] {
	return [...fleet.members.keys()].filter(vm => fleet.down.has(vm) && !fleet.hasAgreementOn(vm, record => record?.status !== 'alive'));
}

test('7 s after a zone with a third of the members is lost, no member lists any of them as alive', () => {
	for (let seed = 1; seed <= 3; seed++) {
		const fleet = makeConvergedFleet(83, seed);
		for (const vm of [...fleet.members.keys()].filter((_, i) => i % 3 === 2)) {
			fleet.down.add(vm);
		}

		fleet.advance(namedLimitMs);
		assert.deepEqual(namedLostMembers(fleet), [], `seed ${seed}`);
	}
});

test('a member that was suspended or cut off lists no member as alive, 4 s after it returns, that was lost meanwhile', () => {
	for (let seed = 1; seed <= 6; seed++) {
		const fleet = makeConvergedFleet(40, seed);
		fleet.advance(seed * 700);
		fleet.down.add('vm-5');
		fleet.advance(2000);
		for (const vm of ['vm-7', 'vm-8', 'vm-9']) {
			fleet.down.add(vm);
		}

		// Long enough that nobody gossips about the lost members any more.
		fleet.advance(30_000);
		fleet.down.delete('vm-5');
		fleet.advance(4000);
		assert.deepEqual(namedLostMembers(fleet), [], `seed ${seed}`);
	}
});
