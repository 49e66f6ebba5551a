import assert from 'node:assert/strict';
import {test} from 'node:test';
import {encode} from 'cbor-x';
import type {VmId, UntimedEvent} from '../core/types.js';
import type {ConsensusMessage, MessageOf} from './messages.js';
import type {
	ConsensusEffect, ConsensusEvent, LogEntry, StoredState,
} from './types.js';
import {consensusMessageSchema} from './messages.js';
import {reduceConsensus} from './reducer.js';
import {
	confirmationSequence, createConsensusState, defaultLimits, isVoter,
} from './state.js';
import {TestCluster} from './test-cluster.js';

/** Creates a cluster and runs it until a leader is elected; `others` are the remaining VMs. */
function electedCluster(size = 3, options: Partial<ConstructorParameters<typeof TestCluster>[0]> = {}): {cluster: TestCluster; leader: VmId; others: VmId[]} {
	const cluster = new TestCluster({size, seed: 7, ...options});
	const leader = cluster.elect();
	cluster.run(300);
	return {cluster, leader, others: cluster.vms.filter(vm => vm !== leader)};
}

/** Returns an array to which every message of the given type is added when it is sent from now on. */
function recordMessages<Type extends ConsensusMessage['type']>(cluster: TestCluster, type: Type): Array<{from: VmId; to: VmId; message: MessageOf<Type>}> {
	const recorded: Array<{from: VmId; to: VmId; message: MessageOf<Type>}> = [];
	cluster.onSend = (from, to, message) => {
		if (message.type === type) {
			recorded.push({from, to, message: message as MessageOf<Type>});
		}
	};

	return recorded;
}

/** Proposes `count` commands one after the other and advances the clock so that they can be committed. */
function commitCommands(cluster: TestCluster, leader: VmId, count: number): void {
	for (let i = 0; i < count; i++) {
		cluster.propose(leader);
		cluster.run(5);
	}

	cluster.run(300);
}

function digests(cluster: TestCluster): Set<number> {
	return new Set(cluster.vms.map(vm => cluster.processes.get(vm)!.stateMachine.digest));
}

for (const size of [1, 3, 5]) {
	test(`${size} members form a cluster, elect a leader and commit proposed commands`, () => {
		const {cluster, leader} = electedCluster(size);
		const tokens = Array.from({length: 100}, () => cluster.propose(leader));
		cluster.run(500);
		assert.equal(tokens.every(token => cluster.acknowledgedTokens.has(token)), true);
		assert.equal(digests(cluster).size, 1);
	});
}

test('a member that returns after a partition does not depose the leader, because it asks for pre-votes first', () => {
	const {cluster, leader, others: [follower]} = electedCluster();
	const {term} = cluster.state(leader).hardState;
	cluster.isolate(follower!);
	cluster.run(5000);
	cluster.blockedLinks.clear();
	cluster.run(2000);
	assert.equal(cluster.leader(), leader);
	assert.equal(cluster.state(follower!).hardState.term, term);
});

test('a vote request in a new term deposes no leader and does not move members that hear the leader into that term', () => {
	const {cluster, leader, others: [follower, other]} = electedCluster();
	const {hardState, log, diskId} = cluster.state(other!);
	const vote = {
		type: 'consensus/vote', cluster: hardState.cluster, disk: diskId, term: hardState.term + 1, lastIndex: log.lastIndex, lastTerm: log.lastTerm,
	};
	cluster.dispatch(follower!, {type: 'consensus/message', from: other!, message: vote});
	cluster.dispatch(leader, {type: 'consensus/message', from: other!, message: vote});
	cluster.run(1000);
	assert.equal(cluster.leader(), leader);
	assert.equal(cluster.state(follower!).hardState.term, hardState.term);
});

for (const {name, change} of [
	{name: 'a second candidate in the same term', change: {disk: 'other-disk', from: 'vm9'}},
	{name: 'a replacement disk of the same VM in the same term', change: {disk: 'other-disk', from: undefined}},
	{name: 'a candidate with a shorter log', change: {lastIndex: 1, from: undefined}},
]) {
	test(`a member refuses its vote to ${name}`, () => {
		const {cluster, leader, others: [follower, other]} = electedCluster();
		commitCommands(cluster, leader, 3);
		cluster.crash(leader);
		cluster.crash(other!);
		const {hardState, log} = cluster.state(follower!);
		cluster.run(600);
		const replies = recordMessages(cluster, 'consensus/vote-reply');
		const term = cluster.state(follower!).hardState.term + 5;
		const vote = {
			type: 'consensus/vote', cluster: hardState.cluster, disk: cluster.state(other!).diskId, term, lastIndex: log.lastIndex, lastTerm: log.lastTerm,
		};
		const isFirstVoteGranted = !('lastIndex' in change);
		if (isFirstVoteGranted) {
			cluster.dispatch(follower!, {type: 'consensus/message', from: other!, message: vote});
		}

		const {from, ...fields} = change;
		cluster.dispatch(follower!, {type: 'consensus/message', from: from ?? other!, message: {...vote, ...fields}});
		cluster.run(50);
		assert.deepEqual(replies.map(({message}) => message.granted), isFirstVoteGranted ? [true, false] : [false]);
	});
}

test('a leader without contact with a quorum steps down and fails pending proposals and reads', () => {
	const {cluster, leader, others} = electedCluster();
	cluster.isolate(leader, 'in');
	const token = cluster.propose(leader);
	const read = cluster.read(leader);
	cluster.run(700);
	assert.notEqual(cluster.state(leader).role, 'leader');
	assert.deepEqual(cluster.answers(token), ['consensus/dropped']);
	assert.deepEqual(cluster.answers(read), ['consensus/read-failed']);
	cluster.run(1500);
	assert.equal(others.includes(cluster.leader()!), true);
});

test('a partitioned leader that does not know of its successor answers no reads', () => {
	const {cluster, leader, others} = electedCluster();
	cluster.isolate(leader);
	// An infinite contact time keeps the old leader from stepping down while the others elect a leader and commit entries.
	for (const progress of cluster.state(leader).progress.values()) {
		progress.lastContactMs = Number.POSITIVE_INFINITY;
	}

	cluster.runUntil(() => others.includes(cluster.leader()!));
	commitCommands(cluster, cluster.leader()!, 3);
	assert.equal(cluster.state(leader).role, 'leader');
	const read = cluster.read(leader);
	cluster.run(1000);
	assert.deepEqual(cluster.answers(read), []);
});

test('a read waits for a heartbeat round that starts after its arrival', () => {
	const {cluster, leader} = electedCluster();
	// The second read arrives while the heartbeat round of the first read is pending, so that round confirms only the first read.
	const first = cluster.read(leader);
	const second = cluster.read(leader);
	cluster.run(3);
	assert.deepEqual(cluster.answers(first), ['consensus/read-ready']);
	assert.deepEqual(cluster.answers(second), []);
	cluster.run(3);
	assert.deepEqual(cluster.answers(second), ['consensus/read-ready']);
});

test('reads that may wait are confirmed by the regular heartbeats and start no heartbeat rounds of their own', () => {
	const {cluster, leader} = electedCluster();
	const roundBefore = cluster.state(leader).heartbeatRound;
	const heartbeats = 5;
	const {heartbeatMs} = cluster.state(leader).timings;
	const tokens: number[] = [];
	for (let elapsedMs = 0; elapsedMs < heartbeats * heartbeatMs; elapsedMs += 5) {
		tokens.push(cluster.read(leader, true));
		cluster.run(5);
	}

	cluster.run(2 * heartbeatMs);
	assert.ok(cluster.state(leader).heartbeatRound - roundBefore <= heartbeats + 3, `${cluster.state(leader).heartbeatRound - roundBefore} rounds`);
	for (const token of tokens) {
		assert.deepEqual(cluster.answers(token), ['consensus/read-ready']);
	}

	// A read that may not wait starts a heartbeat round. That round also confirms the reads that wait.
	const waiting = cluster.read(leader, true);
	const immediate = cluster.read(leader);
	cluster.run(3);
	assert.deepEqual([cluster.answers(waiting), cluster.answers(immediate)], [['consensus/read-ready'], ['consensus/read-ready']]);
});

test('a new leader answers no read before an entry of its own term is committed', () => {
	const {cluster, leader, others} = electedCluster();
	commitCommands(cluster, leader, 3);
	cluster.crash(leader);
	// Slows down all writes, so that heartbeats are confirmed at once but no entry of the new term is committed for a while.
	cluster.onSend = (_, __, message) => {
		if (message.type === 'consensus/vote') {
			for (const disk of cluster.disks.values()) {
				disk.latencyMs = 300;
			}
		}
	};

	cluster.runUntil(() => others.includes(cluster.leader()!));
	const read = cluster.read(cluster.leader()!);
	cluster.run(200);
	assert.deepEqual(cluster.answers(read), []);
	cluster.run(600);
	assert.deepEqual(cluster.answers(read), ['consensus/read-ready']);
});

test('a leader commits entries of earlier terms only together with an entry of its own term', () => {
	const {cluster, leader, others: [first, second]} = electedCluster();
	cluster.isolate(leader, 'out');
	cluster.propose(leader);
	cluster.run(20);
	const uncommittedIndex = cluster.state(leader).log.lastIndex;
	cluster.crash(leader);
	cluster.crash(first!);
	cluster.crash(second!);
	cluster.blockedLinks.clear();
	// The old leader restarts with its uncommitted entry, leads again and replicates that entry, but not the entry of its new term.
	cluster.restart(leader);
	cluster.restart(first!);
	cluster.runUntil(() => cluster.leader() === leader);
	const {diskId, hardState} = cluster.state(leader);
	const {diskId: followerDisk} = cluster.state(first!);
	assert.equal(cluster.state(leader).termStartIndex > uncommittedIndex, true);
	cluster.blockedLinks.add(`${first!}>${leader}`);
	const reply = {
		type: 'consensus/append-reply', cluster: hardState.cluster, disk: followerDisk, toDisk: diskId, term: hardState.term, ok: true, match: uncommittedIndex, hint: 0, round: 0,
	};
	cluster.run(10);
	cluster.dispatch(leader, {type: 'consensus/message', from: first!, message: reply});
	assert.equal(cluster.state(leader).hardState.commit < uncommittedIndex, true);
});

test('a leader with a slow disk accepts proposals and commits them through the disks of the other members', () => {
	const {cluster, leader} = electedCluster();
	cluster.disks.get(leader)!.latencyMs = 800;
	const tokens = [cluster.propose(leader), cluster.propose(leader), cluster.propose(leader)];
	cluster.run(100);
	assert.equal(tokens.every(token => cluster.acknowledgedTokens.has(token)), true);
});

test('entries that are proposed during an fsync are written together by the next fsync', () => {
	const {cluster, leader} = electedCluster(1);
	cluster.disks.get(leader)!.latencyMs = 50;
	const before = cluster.effects.length;
	for (let i = 0; i < 100; i++) {
		cluster.propose(leader);
	}

	cluster.run(200);
	const persists = cluster.effects.slice(before).filter(({effect}) => effect.type === 'consensus/persist');
	assert.equal(persists.length, 2);
});

test('a leader whose disk hangs steps down and acknowledges no entries until its write completes', () => {
	const {cluster, leader} = electedCluster();
	cluster.disks.get(leader)!.latencyMs = 6000;
	cluster.propose(leader);
	cluster.run(4000);
	assert.notEqual(cluster.leader(), leader);
	assert.equal(cluster.state(leader).role, 'follower');
	const replies = recordMessages(cluster, 'consensus/append-reply');
	cluster.run(500);
	assert.equal(replies.every(({from}) => from !== leader), true);
	cluster.disks.get(leader)!.latencyMs = 1;
	cluster.run(5000);
	assert.equal(digests(cluster).size, 1);
});

test('a leader that steps down helps to elect another leader only after an election timeout, because reads that it confirmed may still be in use', () => {
	const {cluster, leader} = electedCluster();
	cluster.disks.get(leader)!.latencyMs = 6000;
	cluster.propose(leader);
	const state = cluster.state(leader);
	while (state.role === 'leader') {
		cluster.run(10);
	}

	assert.equal(cluster.nowMs - state.lastLeaderContactMs < state.timings.electionTimeoutMinMs, true);
});

test('after a step-down request another member becomes leader, or the same one if the cluster has no other', () => {
	const {cluster, leader, others} = electedCluster();
	cluster.dispatch(leader, {type: 'consensus/step-down'});
	cluster.run(2000);
	assert.equal(others.includes(cluster.leader()!), true);
	const singleMember = electedCluster(1);
	singleMember.cluster.dispatch(singleMember.leader, {type: 'consensus/step-down'});
	singleMember.cluster.run(6000);
	assert.equal(singleMember.cluster.leader(), singleMember.leader);
});

test('a follower whose disk hangs neither acknowledges entries, votes nor campaigns', () => {
	const {cluster, leader, others: [follower]} = electedCluster();
	cluster.disks.get(follower!)!.latencyMs = 20_000;
	cluster.propose(leader);
	cluster.run(1500);
	const acknowledgements = recordMessages(cluster, 'consensus/append-reply');
	cluster.run(500);
	assert.equal(acknowledgements.every(({from}) => from !== follower), true);
	cluster.crash(leader);
	const replies = recordMessages(cluster, 'consensus/pre-vote-reply');
	cluster.run(3000);
	assert.equal(cluster.state(follower!).role, 'follower');
	assert.equal(replies.length > 0, true);
	assert.equal(replies.every(({from, message}) => from === follower && !message.granted), true);
});

// Guards against a member that acknowledges what it loaded from the cache of the operating system, and loses it with the next power cut.
test('a restarted member acknowledges nothing and votes for nobody before the storage has confirmed what it loaded', () => {
	const {cluster, leader, others: [follower]} = electedCluster();
	commitCommands(cluster, leader, 3);
	cluster.crash(follower!);
	cluster.disks.get(follower!)!.isRefusing = true;
	const replies = recordMessages(cluster, 'consensus/append-reply');
	cluster.restart(follower!);
	cluster.run(500);
	assert.equal(replies.some(({from}) => from === follower), false);
	cluster.disks.get(follower!)!.isRefusing = false;
	cluster.run(500);
	assert.equal(replies.some(({from, message}) => from === follower && message.match >= 4), true);
});

/** Lets the disk refuse writes for a while, with commands before, meanwhile and after. */
function refuseWrites(cluster: TestCluster, vm: VmId, forMs: number): void {
	cluster.disks.get(vm)!.isRefusing = true;
	cluster.runWithLoad(forMs);
	cluster.disks.get(vm)!.isRefusing = false;
}

// Guards against disks that were full one after another and leave the replicated log without a majority.
for (const {title, gapMs, forMs} of [{title: 'long pauses', gapMs: 9500, forMs: 4500}, {title: 'short pauses', gapMs: 1500, forMs: 900}]) {
	test(`disks that refuse writes one after another, that of the leader too, with ${title} in between leave a log that commits`, () => {
		const {cluster} = electedCluster();
		for (let turn = 0; turn < 9; turn++) {
			const leader = cluster.elect();
			refuseWrites(cluster, turn % 2 === 0 ? leader : cluster.vms.find(vm => vm !== leader)!, forMs);
			cluster.runWithLoad(gapMs);
		}

		cluster.commitCommand();
		assert.equal([...cluster.processes.values()].some(({state}) => state.role === 'halted'), false);
	});
}

test('a disk that refuses writes while its VM is a learner, and that of the leader during a change of the members, delay the change only', () => {
	const {cluster, leader} = electedCluster();
	cluster.restart('vm4');
	cluster.disks.get('vm4')!.isRefusing = true;
	cluster.changeMembers(leader, {kind: 'add', vm: 'vm4', diskId: cluster.disks.get('vm4')!.diskId});
	refuseWrites(cluster, leader, 3000);
	const isVoterNow = () => cluster.members().some(({vm, role}) => vm === 'vm4' && role === 'voter');
	assert.equal(isVoterNow(), false);
	cluster.disks.get('vm4')!.isRefusing = false;
	cluster.runUntil(isVoterNow);
	cluster.commitCommand();
});

test('members that start on disks that refuse writes form the cluster once the disks accept them', () => {
	const cluster = new TestCluster({size: 3, seed: 5});
	for (const disk of cluster.disks.values()) {
		disk.isRefusing = true;
	}

	const introductions = recordMessages(cluster, 'consensus/introduce');
	cluster.run(3000);
	assert.deepEqual(introductions, []);
	for (const disk of cluster.disks.values()) {
		disk.isRefusing = false;
	}

	cluster.commitCommand();
});

test('a member whose storage fails halts and sends no messages', () => {
	const {cluster, leader, others} = electedCluster();
	cluster.mayHalt = true;
	const token = cluster.propose(leader);
	cluster.dispatch(leader, {type: 'consensus/storage-failed', reason: 'ENOSPC'});
	assert.equal(cluster.state(leader).role, 'halted');
	assert.deepEqual(cluster.answers(token), ['consensus/dropped']);
	const refused = cluster.propose(leader);
	assert.deepEqual(cluster.answers(refused), ['consensus/dropped']);
	const senders: VmId[] = [];
	cluster.onSend = from => {
		senders.push(from);
	};

	cluster.run(3000);
	assert.equal(others.includes(cluster.leader()!), true);
	assert.equal(!senders.includes(leader), true);
});

test('proposals above the limits on pending proposals, on their bytes or on the size of a command are refused', () => {
	const {cluster, leader} = electedCluster(3, {limits: {maxProposals: 10, maxProposalBytes: 50_000, maxCommandBytes: 20_000}});
	const reasonOf = (token: number) => cluster.effects.flatMap(({effect}) => effect.type === 'consensus/dropped' && effect.token === token ? [effect.reason] : []);
	cluster.blockedLinks.add(`${leader}>none`);
	assert.deepEqual(reasonOf(cluster.propose(leader, 'x'.repeat(10_000))), ['too-large']);
	const large = Array.from({length: 5}, () => cluster.propose(leader, 'x'.repeat(5000)));
	assert.deepEqual(large.map(token => reasonOf(token)), [[], [], [], ['overloaded'], ['overloaded']]);
	const small = Array.from({length: 9}, () => cluster.propose(leader, 1));
	assert.deepEqual(small.flatMap(token => reasonOf(token)), ['overloaded', 'overloaded']);
	cluster.run(200);
	assert.deepEqual(reasonOf(cluster.propose(leader, 1)), []);
});

test('message sizes are bounded, and so is the number of unacknowledged messages to an unresponsive follower', () => {
	const {cluster, leader, others: [follower]} = electedCluster(3, {limits: {...defaultLimits, snapshotIntervalEntries: 1_000_000}});
	let largest = 0;
	let appendMessages = 0;
	cluster.onSend = (_, to, message) => {
		largest = Math.max(largest, encode(message).length);
		appendMessages += to === follower && message.type === 'consensus/append' && message.entries.length > 0 ? 1 : 0;
	};

	cluster.blockedLinks.add(`${follower!}>${leader}`);
	for (let i = 0; i < 40; i++) {
		cluster.propose(leader, 'x'.repeat(100_000));
		cluster.run(5);
	}

	assert.ok(appendMessages <= defaultLimits.maxInFlightMessages, `${appendMessages} messages`);
	cluster.blockedLinks.clear();
	cluster.run(3000);
	assert.equal(digests(cluster).size, 1);
	assert.ok(largest < 600_000, `${largest} bytes`);
});

test('a follower that lacks entries removed from the log catches up by a snapshot in chunks, even if it restarts during the transfer', () => {
	const {cluster, leader, others: [follower]} = electedCluster();
	cluster.crash(follower!);
	commitCommands(cluster, leader, 100);
	const chunks = recordMessages(cluster, 'consensus/snapshot');
	cluster.restart(follower!);
	cluster.runUntil(() => chunks.some(({message}) => message.offset > 0));
	cluster.restart(follower!);
	cluster.run(1000);
	assert.equal(chunks.every(({message}) => message.data.length <= 512), true);
	assert.equal(chunks.filter(({message}) => message.offset === 0).length >= 2, true);
	assert.equal(digests(cluster).size, 1);
	assert.equal(cluster.state(follower!).snapshot?.index, cluster.state(leader).snapshot?.index);
});

test('a member that installs a snapshot discards the conflicting entries of its log', () => {
	const {cluster, leader, others} = electedCluster();
	cluster.isolate(leader);
	for (let i = 0; i < 60; i++) {
		cluster.propose(leader);
	}

	cluster.runUntil(() => others.includes(cluster.leader()!));
	commitCommands(cluster, cluster.leader()!, 40);
	cluster.blockedLinks.clear();
	cluster.run(2000);
	cluster.crash(leader);
	cluster.restart(leader);
	cluster.run(2000);
	assert.equal(digests(cluster).size, 1);
});

test('a member with an emptied disk becomes a voter again, and the cluster then survives the loss of another member', () => {
	const {cluster, leader, others: [first, second]} = electedCluster();
	commitCommands(cluster, leader, 50);
	cluster.replaceDisk(first!);
	const roles: string[] = [];
	cluster.runUntil(() => {
		const role = cluster.members().find(({vm, diskId}) => vm === first && diskId === cluster.disks.get(first)!.diskId)?.role;
		roles.push(...(role && roles.at(-1) !== role ? [role] : []));
		return role === 'voter';
	});
	assert.equal(roles.includes('voter'), true);
	cluster.run(200);
	cluster.crash(second!);
	const token = cluster.propose(leader);
	cluster.run(300);
	assert.equal(cluster.acknowledgedTokens.has(token), true);
	assert.equal(cluster.processes.get(first!)!.stateMachine.digest, cluster.processes.get(leader)!.stateMachine.digest);
});

test('a voter that restarts with an empty disk no longer counts in quorums', () => {
	const {cluster, leader, others: [first, second]} = electedCluster();
	cluster.crash(second!);
	cluster.replaceDisk(first!);
	const token = cluster.propose(leader);
	cluster.run(5000);
	assert.equal(cluster.leader(), undefined);
	assert.equal(!cluster.acknowledgedTokens.has(token), true);
	assert.equal(cluster.state(first!).role, 'learner');
	assert.equal(isVoter(cluster.state(leader), first!, cluster.state(first!).diskId), false);
});

test('votes and acknowledgements from a disk other than the admitted one do not count', () => {
	const {cluster, leader, others: [first, second]} = electedCluster();
	cluster.isolate(leader, 'in');
	cluster.propose(leader);
	cluster.run(10);
	const {hardState, diskId, log} = cluster.state(leader);
	const replyFields = {
		cluster: hardState.cluster, disk: 'other-disk', toDisk: diskId, term: hardState.term,
	};
	cluster.dispatch(leader, {
		type: 'consensus/message', from: first!, message: {
			...replyFields, type: 'consensus/append-reply', ok: true, match: log.lastIndex, hint: 0, round: 0,
		},
	});
	assert.equal(cluster.state(leader).hardState.commit < log.lastIndex, true);
	cluster.crash(second!);
	cluster.crash(first!);
	cluster.runUntil(() => cluster.state(leader).role === 'candidate');
	cluster.dispatch(leader, {
		type: 'consensus/message', from: first!, message: {
			...replyFields, type: 'consensus/pre-vote-reply', term: hardState.term + 1, granted: true,
		},
	});
	cluster.run(50);
	assert.equal(cluster.state(leader).hardState.term, hardState.term);
});

test('a second process that claims the VM of a live member is not admitted', () => {
	const {cluster, leader, others: [follower]} = electedCluster();
	const {hardState} = cluster.state(leader);
	const join = {
		type: 'consensus/join', cluster: undefined, disk: 'other-disk', term: 0,
	};
	cluster.dispatch(leader, {type: 'consensus/message', from: follower!, message: join});
	cluster.run(300);
	assert.equal(!cluster.members().some(({diskId}) => diskId === 'other-disk'), true);
	assert.equal(cluster.state(leader).hardState.term, hardState.term);
	assert.equal(cluster.state(leader).joinRequests.get(follower!), 'other-disk');
});

test('a member whose disk was rolled back halts before it may vote', () => {
	const {cluster, leader, others: [follower, other]} = electedCluster();
	commitCommands(cluster, leader, 5);
	const disk = cluster.disks.get(follower!)!;
	const oldDiskContents = {...disk};
	commitCommands(cluster, leader, 5);
	cluster.crash(follower!);
	Object.assign(disk, oldDiskContents);
	cluster.mayHalt = true;
	const votes = recordMessages(cluster, 'consensus/pre-vote-reply');
	cluster.restart(follower!);
	// A pre-vote request arrives before the leader's next heartbeat, so the member does not know yet that its disk lost entries.
	const {hardState, diskId} = cluster.state(other!);
	const preVote = {
		type: 'consensus/pre-vote', cluster: hardState.cluster, disk: diskId, term: hardState.term + 1, lastIndex: 1000, lastTerm: hardState.term,
	};
	cluster.dispatch(follower!, {type: 'consensus/message', from: other!, message: preVote});
	cluster.run(300);
	assert.deepEqual(votes.map(({message}) => message.granted), [false]);
	assert.equal(cluster.state(follower!).role, 'halted');
});

test('a membership change is refused while another change is pending or the leader has committed no entry of its term', () => {
	const {cluster, leader} = electedCluster();
	for (const vm of ['vm4', 'vm5']) {
		cluster.restart(vm);
	}

	const add = (vm: VmId) => cluster.changeMembers(leader, {kind: 'add', vm, diskId: cluster.disks.get(vm)!.diskId});
	const first = add('vm4');
	const second = add('vm5');
	assert.deepEqual(cluster.answers(second), ['consensus/dropped']);
	cluster.run(50);
	assert.equal(cluster.answers(first)[0], 'consensus/members-committed');
	cluster.run(2000);
	add('vm5');
	cluster.run(2000);
	assert.deepEqual(cluster.members().map(({role}) => role), Array.from({length: 5}, () => 'voter'));
	cluster.crash(leader);
	cluster.runUntil(() => cluster.leader() !== undefined);
	const successor = cluster.leader()!;
	assert.equal(cluster.state(successor).hardState.commit < cluster.state(successor).termStartIndex, true);
	const early = cluster.changeMembers(successor, {kind: 'remove', vm: leader});
	assert.deepEqual(cluster.answers(early), ['consensus/dropped']);
	cluster.run(500);
	const late = cluster.changeMembers(successor, {kind: 'remove', vm: leader});
	cluster.run(500);
	assert.equal(cluster.answers(late)[0], 'consensus/members-committed');
	assert.equal(cluster.members().length, 4);
});

test('a membership change that leaves no quorum of reachable voters is refused', () => {
	const {cluster, leader, others: [first, second]} = electedCluster();
	cluster.run(500);
	cluster.crash(first!);
	cluster.run(600);
	const token = cluster.changeMembers(leader, {kind: 'remove', vm: second!});
	assert.deepEqual(cluster.answers(token), ['consensus/dropped']);
});

test('a member whose removal is not committed still campaigns, because only it may have the latest entries', () => {
	const {cluster, leader, others} = electedCluster(5);
	const [removedMember, ...otherFollowers] = others as [VmId, ...VmId[]];
	for (const vm of otherFollowers.slice(0, 2)) {
		cluster.crash(vm);
	}

	cluster.propose(leader);
	cluster.run(20);
	cluster.crash(otherFollowers[2]!);
	const token = cluster.changeMembers(leader, {kind: 'remove', vm: removedMember});
	cluster.run(20);
	assert.deepEqual(cluster.answers(token), []);
	cluster.crash(leader);
	for (const vm of otherFollowers) {
		cluster.restart(vm);
	}

	// Three of the four remaining voters are running, but only the removed member has stored the entry with its removal.
	cluster.runUntil(() => cluster.leader() !== undefined);
	assert.equal(cluster.leader(), removedMember);
	cluster.runUntil(() => cluster.members().length === 4 && cluster.state(removedMember).role === 'learner');
});

test('a learner does not count in quorums and becomes a voter only once it has caught up', () => {
	const {cluster, leader} = electedCluster();
	commitCommands(cluster, leader, 100);
	cluster.restart('vm4');
	cluster.blockedLinks.add(`vm4>${leader}`);
	const token = cluster.changeMembers(leader, {kind: 'add', vm: 'vm4', diskId: cluster.disks.get('vm4')!.diskId});
	cluster.run(3000);
	assert.equal(cluster.answers(token)[0], 'consensus/members-committed');
	assert.equal(cluster.members().find(({vm}) => vm === 'vm4')?.role, 'learner');
	const wasCaughtUpAtPromotion: boolean[] = [];
	cluster.blockedLinks.clear();
	cluster.onSend = (_, __, message) => {
		const isPromoting = message.type === 'consensus/append' && message.entries.some(({payload}) => payload.kind === 'members' && payload.members.filter(({role}) => role === 'voter').length === 4);
		if (isPromoting) {
			wasCaughtUpAtPromotion.push(cluster.state('vm4').log.lastIndex + 64 >= cluster.state(leader).hardState.commit);
		}
	};

	cluster.run(2000);
	assert.equal(wasCaughtUpAtPromotion[0], true);
	assert.equal(cluster.members().find(({vm}) => vm === 'vm4')?.role, 'voter');
});

test('a leader that is removed commits its removal, then steps down', () => {
	const {cluster, leader, others} = electedCluster();
	const token = cluster.changeMembers(leader, {kind: 'remove', vm: leader});
	// Runs for less than a heartbeat interval: followers acknowledge entries at once, even to a leader that is no longer a member.
	cluster.run(20);
	assert.equal(cluster.answers(token)[0], 'consensus/members-committed');
	assert.equal(cluster.state(leader).role, 'learner');
	cluster.run(3000);
	assert.equal(others.includes(cluster.leader()!), true);
	assert.equal(cluster.members().length, 2);
});

test('the cluster forms only once every initial VM has accepted it, and a VM does not accept a second cluster', () => {
	const cluster = new TestCluster({size: 3, seed: 3});
	cluster.crash('vm3');
	cluster.run(5000);
	assert.deepEqual(cluster.members(), []);
	// The founder loses its disk and introduces a new cluster. `vm2`, which has accepted the founder's first cluster, must refuse it.
	cluster.replaceDisk('vm1');
	cluster.restart('vm3');
	cluster.run(5000);
	assert.deepEqual(cluster.members(), []);
	assert.equal(cluster.state('vm2').hardState.cluster, 'disk-1');
});

test('a member ignores messages from another cluster, messages for another disk and invalid messages', () => {
	const {cluster, leader, others: [follower]} = electedCluster();
	const {diskId, hardState} = cluster.state(leader);
	const append = {
		type: 'consensus/append', cluster: hardState.cluster, disk: diskId, term: hardState.term + 10, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, round: 0, acknowledged: 0,
	};
	for (const fields of [{cluster: 'other'}, {toDisk: 'other'}, {commit: -1}, {type: 'consensus/unknown'}]) {
		cluster.dispatch(follower!, {type: 'consensus/message', from: leader, message: {...append, ...fields}});
	}

	assert.equal(cluster.state(follower!).hardState.term, hardState.term);
	assert.equal(consensusMessageSchema.safeParse(append).success, true);
});

test('a restarted member restores its snapshot, then applies the stored entries that are known to be committed', () => {
	const stored: StoredState = {
		diskId: 'disk-1',
		hardState: {
			term: 2, votedFor: undefined, votedForDisk: undefined, cluster: 'disk-1', commit: 6,
		},
		snapshot: {
			index: 5, term: 2, members: [{vm: 'vm1', diskId: 'disk-1', role: 'voter'}], data: 'state',
		},
		entries: [6, 7].map(index => ({index, term: 2, payload: {kind: 'command', command: index}})),
	};
	const state = createConsensusState({
		vm: 'vm1', stored, initialVms: ['vm1'], seed: 1,
	});
	const effects = reduceConsensus(state, {type: 'consensus/tick', nowMs: 0});
	assert.deepEqual(effects.filter(({type}) => type !== 'consensus/role'), [
		{type: 'consensus/install', index: 5, data: 'state'},
		{
			type: 'consensus/committed', index: 6, command: 6, token: undefined,
		},
	]);
});

/**
Creates a follower `vm1` that has the committed entries 1 to `last` of term 1 and the entries in `uncommitted` on its disk,
and functions that dispatch events and messages to it. Messages come from leader `vm2` by default.
*/
function singleFollower(last: number, uncommitted: readonly LogEntry[] = []) {
	const members = ['vm1', 'vm2', 'vm3'].map(vm => ({vm, diskId: vm, role: 'voter' as const}));
	const state = createConsensusState({
		vm: 'vm1',
		stored: {
			diskId: 'vm1',
			hardState: {
				term: 1, votedFor: undefined, votedForDisk: undefined, cluster: 'vm1', commit: last,
			},
			snapshot: undefined,
			entries: [{index: 1, term: 1, payload: {kind: 'members', members}}, ...commandEntries(2, last, 1), ...uncommitted],
		},
		initialVms: ['vm1', 'vm2', 'vm3'],
		seed: 1,
		limits: {snapshotIntervalEntries: 30},
	});
	const dispatch = (event: UntimedEvent<ConsensusEvent>, nowMs = 1) => reduceConsensus(state, {...event, nowMs});
	const receive = (term: number, fields: Record<string, unknown>, from = 'vm2') => dispatch({
		type: 'consensus/message', from, message: {
			cluster: 'vm1', disk: from, toDisk: 'vm1', term, round: 0, ...fields,
		},
	});
	const append = (term: number, previousIndex: number, fields: Record<string, unknown>) => receive(term, {
		type: 'consensus/append', prevIndex: previousIndex, prevTerm: 1, commit: 0, acknowledged: 0, ...fields,
	});
	const confirmation = dispatch({type: 'consensus/persisted', sequence: confirmationSequence});
	return {
		state, members, confirmation, dispatch, receive, append,
	};
}

function commandEntries(from: number, to: number, term: number): LogEntry[] {
	return Array.from({length: to - from + 1}, (_, i) => ({index: from + i, term, payload: {kind: 'command', command: from + i}}));
}

function typesOf(effects: readonly ConsensusEffect[]): string[] {
	return effects.map(({type}) => type);
}

test('a write that completes after its entries were overwritten does not make the new entries durable', () => {
	const {dispatch, append} = singleFollower(4);
	append(1, 4, {entries: commandEntries(5, 8, 1)});
	append(2, 4, {entries: commandEntries(5, 5, 2)});
	dispatch({type: 'consensus/persisted', sequence: 1});
	dispatch({type: 'consensus/persisted', sequence: 2});
	const effects = append(2, 5, {prevTerm: 2, entries: commandEntries(6, 6, 2)});
	const matches = effects.flatMap(effect => effect.type === 'send' ? [effect.message.match] : []);
	assert.deepEqual(matches, [5]);
});

test('a member takes a snapshot only once all applied entries are on its own disk', () => {
	const {dispatch, append} = singleFollower(4);
	const effects = append(1, 4, {entries: commandEntries(5, 40, 1), commit: 40});
	assert.equal(typesOf(effects).includes('consensus/take-snapshot'), false);
	assert.equal(typesOf(dispatch({type: 'consensus/persisted', sequence: 1})).includes('consensus/take-snapshot'), true);
});

test('a snapshot that a member has taken itself does not replace a newer snapshot that is being installed', () => {
	const {members, confirmation, dispatch, receive} = singleFollower(40);
	assert.equal(typesOf(confirmation).includes('consensus/take-snapshot'), true);
	const data = encode('state');
	const installing = receive(1, {
		type: 'consensus/snapshot', index: 50, entryTerm: 1, members, offset: 0, total: data.length, data,
	});
	assert.equal(typesOf(installing).includes('consensus/save-snapshot'), true);
	const taken = dispatch({type: 'consensus/snapshot-taken', index: 40, data: 'state'});
	assert.equal(typesOf(taken).includes('consensus/save-snapshot'), false);
});

test('a candidate whose removal is not committed does not count its own vote', () => {
	const remaining = ['vm2', 'vm3'].map(vm => ({vm, diskId: vm, role: 'voter' as const}));
	const {state, dispatch, receive} = singleFollower(4, [{index: 5, term: 1, payload: {kind: 'members', members: remaining}}]);
	dispatch({type: 'consensus/tick'});
	dispatch({type: 'consensus/tick'}, 2000);
	receive(2, {type: 'consensus/pre-vote-reply', granted: true});
	assert.equal(state.hardState.term, 1);
	receive(2, {type: 'consensus/pre-vote-reply', granted: true}, 'vm3');
	assert.equal(state.hardState.term, 2);
	dispatch({type: 'consensus/persisted', sequence: 1});
	receive(2, {type: 'consensus/vote-reply', granted: true});
	assert.equal(state.role, 'candidate');
	receive(2, {type: 'consensus/vote-reply', granted: true}, 'vm3');
	assert.equal(state.role, 'leader');
});

test('a single member becomes leader only once its own vote is on disk', () => {
	const cluster = new TestCluster({size: 1, seed: 1});
	cluster.disks.get('vm1')!.latencyMs = 100;
	// `TestCluster` fails the test if the vote is not on disk when the member becomes leader.
	assert.equal(cluster.elect(), 'vm1');
});

test('the last voter cannot be removed', () => {
	const {cluster, leader} = electedCluster(1);
	const token = cluster.changeMembers(leader, {kind: 'remove', vm: leader});
	assert.deepEqual(cluster.answers(token), ['consensus/dropped']);
});

test('a member whose term is newer than the leader\'s rejoins the cluster', () => {
	const {cluster, leader, others: [follower]} = electedCluster();
	cluster.isolate(follower!, 'in');
	cluster.run(700);
	const {hardState} = cluster.state(follower!);
	const vote = {
		type: 'consensus/vote', cluster: hardState.cluster, disk: 'other-disk', term: hardState.term + 5, lastIndex: 0, lastTerm: 0,
	};
	cluster.dispatch(follower!, {type: 'consensus/message', from: 'vm9', message: vote});
	cluster.blockedLinks.clear();
	cluster.run(3000);
	cluster.propose(cluster.leader() ?? leader);
	cluster.run(300);
	assert.equal(digests(cluster).size, 1);
});

test('a VM with an emptied disk rejoins the old cluster, even if it has accepted the new cluster of a founder with an emptied disk', () => {
	const {cluster} = electedCluster(5);
	cluster.crash('vm1');
	cluster.crash('vm2');
	cluster.run(3000);
	cluster.isolate('vm2', 'in');
	cluster.blockedLinks.delete('vm1>vm2');
	cluster.replaceDisk('vm2');
	cluster.replaceDisk('vm1');
	cluster.run(600);
	assert.equal(cluster.state('vm2').hardState.cluster, cluster.state('vm1').diskId);
	cluster.blockedLinks.clear();
	cluster.run(5000);
	assert.equal(digests(cluster).size, 1);
	assert.equal(cluster.members().filter(({role}) => role === 'voter').length, 5);
});

test('a new VM becomes a voter without an operator only if the cluster admits new VMs', () => {
	for (const managesMembers of [true, false]) {
		const {cluster, leader} = electedCluster(3, {managesMembers});
		commitCommands(cluster, leader, 3);
		cluster.restart('vm4');
		cluster.run(5000);
		const added = cluster.members().find(({vm}) => vm === 'vm4');
		assert.equal(added?.role, managesMembers ? 'voter' : undefined);
	}
});

test('VMs that receive the list of initial VMs after their start form one cluster', () => {
	const cluster = new TestCluster({size: 3, seed: 11, startsWithoutInitialVms: true});
	cluster.run(2000);
	assert.equal(cluster.members().length, 0);
	for (const vm of cluster.vms) {
		cluster.dispatch(vm, {type: 'consensus/peers', initialVms: cluster.vms, knownVms: cluster.vms});
	}

	const leader = cluster.elect();
	commitCommands(cluster, leader, 3);
	assert.equal(cluster.members().filter(({role}) => role === 'voter').length, 3);
});
