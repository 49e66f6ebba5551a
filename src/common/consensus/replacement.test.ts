import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import type {VmId} from '../core/types.js';
import {TestCluster} from './test-cluster.js';

/** Time, in ms, after which a VM that took the place of another must be able to stand in for a further loss. */
const catchUpMs = 4000;
/** Time, in ms, for which a process runs on after it was asked to stop; longer than an election takes. */
const stopMs = 2500;
/** Time, in ms, from the loss of a VM to the start of the one that takes its place. */
const replacementDelayMs = 1000;
/** Time, in ms, in which a heartbeat tells all members what is committed. */
const settleMs = 500;
/** Time, in ms, within which a command must be committed once a quorum is healthy. */
const recoveryMs = 10_000;

/** Starts a cluster that admits and removes members by itself, and that bears the loss of `losses` of its members. */
function managedCluster({size = 3, losses = 1, seed = 7} = {}): TestCluster {
	const cluster = new TestCluster({
		size, seed, managesMembers: true, minVoters: (2 * losses) + 1,
	});
	cluster.elect();
	cluster.run(300);
	return cluster;
}

function voterNames(cluster: TestCluster): VmId[] {
	return cluster.members().filter(({role}) => role === 'voter').map(({vm}) => vm).sort();
}

/** Loses the VM for good; another one starts with an empty disk a while later. */
function replace(cluster: TestCluster, vm: VmId): void {
	cluster.discard(vm);
	cluster.runWithLoad(replacementDelayMs);
	cluster.addVm();
}

/** Starts a VM with an empty disk for each of `vms`, then stops these for good. */
function replaceAsPlanned(cluster: TestCluster, vms: readonly VmId[]): void {
	for (const _ of vms) {
		cluster.addVm();
	}

	cluster.runWithLoad(catchUpMs);
	const stopping = vms.filter(vm => cluster.canDiscard(vm));
	for (const vm of stopping) {
		cluster.dispatch(vm, {type: 'consensus/leave'});
		cluster.dispatch(vm, {type: 'consensus/step-down'});
	}

	cluster.runWithLoad(stopMs);
	for (const vm of stopping) {
		if (cluster.canDiscard(vm)) {
			cluster.discard(vm);
		}
	}
}

// Guards against replaced VMs that stay voters until they are the majority, so that nothing is committed any more.
for (const isPlanned of [true, false]) {
	test(`the log outlives all of its first members when they are replaced one after another, ${isPlanned ? 'as planned' : 'without warning'}`, () => {
		const cluster = managedCluster();
		for (const vm of [...cluster.vms, 'vm4', 'vm5']) {
			if (isPlanned) {
				replaceAsPlanned(cluster, [vm]);
			} else {
				replace(cluster, vm);
			}

			cluster.runWithLoad(catchUpMs);
			assert.equal(voterNames(cluster).length, 3);
			assert.equal(voterNames(cluster).includes(vm), false);
		}

		cluster.commitCommand(recoveryMs);
	});
}

test('a planned replacement leaves a cluster that bears the loss of another member at once', () => {
	const cluster = managedCluster();
	const leader = cluster.leader()!;
	replaceAsPlanned(cluster, [leader]);
	assert.deepEqual(voterNames(cluster), cluster.vms);
	cluster.replaceDisk(cluster.vms[0]!);
	cluster.commitCommand(recoveryMs);
});

test('two members that are replaced at once leave no voter behind', () => {
	for (const isPlanned of [true, false]) {
		const cluster = managedCluster({size: 6, losses: 2});
		const lost = cluster.vms.slice(0, 2);
		if (isPlanned) {
			replaceAsPlanned(cluster, lost);
		} else {
			for (const vm of lost) {
				cluster.discard(vm);
			}

			cluster.runWithLoad(replacementDelayMs);
			cluster.addVm();
			cluster.addVm();
		}

		cluster.runWithLoad(2 * catchUpMs);
		assert.deepEqual(voterNames(cluster), cluster.vms);
	}
});

test('no voter is removed without a replacement, however long it is silent', () => {
	const cluster = managedCluster();
	const silent = cluster.vms.find(vm => vm !== cluster.leader())!;
	cluster.isolate(silent);
	cluster.runWithLoad(20_000);
	assert.equal(voterNames(cluster).length, 3);
});

test('a member that was removed while it was cut off becomes a voter again with its disk', () => {
	const cluster = managedCluster();
	cluster.addVm();
	cluster.runWithLoad(catchUpMs);
	const silent = cluster.vms.find(vm => vm !== cluster.leader())!;
	const {diskId} = cluster.state(silent);
	cluster.isolate(silent);
	cluster.runWithLoad(catchUpMs);
	assert.equal(voterNames(cluster).includes(silent), false);
	cluster.heal();
	cluster.runWithLoad(catchUpMs);
	assert.equal(cluster.members().find(({vm}) => vm === silent)?.role, 'voter');
	assert.equal(cluster.state(silent).diskId, diskId);
});

// Guards against a leader that takes its own pause for the silence of others.
test('a leader that was paused removes no member, although the others have been silent to it for longer than the limit', () => {
	const cluster = managedCluster();
	cluster.addVm();
	cluster.runWithLoad(catchUpMs);
	const leader = cluster.leader()!;
	const [first, ...others] = cluster.vms.filter(vm => vm !== leader);
	// All pause, so that no other leader is elected: first one member, then the leader within a heartbeat, so that only the replies of
	// the others wait for it.
	cluster.pause(first!);
	cluster.onSend = (from, _to, {type}) => {
		if (from === leader && type === 'consensus/append') {
			cluster.pause(leader);
		}
	};

	cluster.run(150);
	cluster.onSend = undefined;
	for (const vm of others) {
		cluster.pause(vm);
	}

	cluster.run(catchUpMs);
	for (const vm of [leader, ...others, first!]) {
		cluster.resume(vm);
		cluster.run(50);
	}

	cluster.run(1000);
	assert.equal(cluster.effects.some(({effect}) => effect.type === 'log' && effect.fields?.change === 'remove'), false);
	assert.equal(voterNames(cluster).length, 4);
});

/** Disturbances of a VM; `other` is a second one, or the same. */
const disturbances = {
	replace(cluster, vm) {
		if (cluster.canDiscard(vm)) {
			replace(cluster, vm);
		}
	},
	replaceAsPlanned(cluster, vm) {
		replaceAsPlanned(cluster, [vm]);
	},
	replaceTwoAsPlanned(cluster, vm, other) {
		replaceAsPlanned(cluster, vm === other ? [vm] : [vm, other]);
	},
	wipe(cluster, vm) {
		if (cluster.canDiscard(vm)) {
			cluster.replaceDisk(vm);
		}
	},
	cut(cluster, vm) {
		cluster.isolate(vm);
	},
	cutIncoming(cluster, vm) {
		cluster.isolate(vm, 'in');
	},
	cutOutgoing(cluster, vm) {
		cluster.isolate(vm, 'out');
	},
	crash(cluster, vm) {
		cluster.crash(vm);
	},
	restart(cluster, vm) {
		cluster.restart(vm);
	},
	pause(cluster, vm) {
		cluster.pause(vm);
	},
	stopAndStart(cluster, vm) {
		cluster.dispatch(vm, {type: 'consensus/leave'});
		cluster.runWithLoad(stopMs);
		cluster.restart(vm);
	},
	heal(cluster) {
		cluster.heal();
	},
} satisfies Record<string, (cluster: TestCluster, vm: VmId, other: VmId) => void>;

/** A disturbance, followed by `durationMs` of proposals and reads. `vm` and `other` select VMs by number. */
const stepArbitrary = fc.record({
	kind: fc.constantFrom(...Object.keys(disturbances) as Array<keyof typeof disturbances>),
	vm: fc.nat(9),
	other: fc.nat(9),
	durationMs: fc.integer({min: 1, max: 4500}),
});

/** Ends all disturbances, then checks that exactly the VMs that exist are voters, and that the cluster bears the loss of `losses` of them. */
function checkTolerance(cluster: TestCluster, losses: number): void {
	cluster.heal();
	cluster.commitCommand(recoveryMs);
	cluster.runUntil(() => {
		const members = cluster.members();
		const isIntact = members.every(({vm, diskId, role}) => role === 'voter' && cluster.disks.get(vm)?.diskId === diskId);
		return isIntact && members.length >= (2 * losses) + 1;
	}, recoveryMs);
	// Lets every member learn that this membership is committed.
	cluster.run(settleMs);
	for (const vm of voterNames(cluster).slice(0, losses)) {
		assert.equal(cluster.canDiscard(vm), true);
		cluster.discard(vm);
	}

	cluster.commitCommand(recoveryMs);
}

for (const {size, losses, seed, numRuns} of [{
	size: 3, losses: 1, seed: 61, numRuns: 80,
}, {
	size: 6, losses: 2, seed: 62, numRuns: 40,
}]) {
	test(`${size} members are replaced, wiped, cut off, restarted and paused in any order without a loss, and bear ${losses} more loss(es) afterwards`, () => {
		fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 3, maxLength: 12}), fc.integer(), (steps, clusterSeed) => {
			const cluster = managedCluster({size, losses, seed: clusterSeed});
			for (const {kind, vm, other, durationMs} of steps) {
				const disturb: (cluster: TestCluster, vm: VmId, other: VmId) => void = disturbances[kind];
				disturb(cluster, cluster.vms[vm % cluster.vms.length]!, cluster.vms[other % cluster.vms.length]!);
				cluster.runWithLoad(durationMs);
			}

			checkTolerance(cluster, losses);
		}), {seed, numRuns, includeErrorInReport: true});
	});
}
