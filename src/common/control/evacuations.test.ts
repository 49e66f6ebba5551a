/** Evacuations on a replicated log whose members, disks and links fail. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {VmId} from '../core/types.js';
import {TestCluster} from '../consensus/test-cluster.js';
import {applyCommand} from './apply.js';
import type {Command} from './messages.js';
import {createReplicatedState} from './state.js';

let changes = 0;

function evacuate(name: string, draining: boolean): Command {
	return {
		type: 'drain.set', changeId: `c${changes++}`, target: 'zone', name, draining,
	};
}

/** Returns the evacuated zones by the entries that the member has applied. */
function evacuatedZones(cluster: TestCluster, vm: VmId): string[] {
	const commands = new Map<number, Command>();
	for (const {vm: applier, effect} of cluster.effects) {
		if (applier === vm && effect.type === 'consensus/committed') {
			commands.set(effect.index, effect.command as Command);
		}
	}

	const state = createReplicatedState();
	for (const [, command] of [...commands].sort(([a], [b]) => a - b)) {
		applyCommand(state, command);
	}

	return [...state.drains.values()].map(({name}) => name).sort();
}

/** Proposes a command to the leader and advances virtual time until it is acknowledged. */
function acknowledge(cluster: TestCluster, command: Command): void {
	const token = cluster.propose(cluster.elect(), command);
	cluster.runUntil(() => cluster.acknowledgedTokens.has(token));
}

test('an evacuation is in force everywhere although its leader is lost, with its disk, as soon as it has acknowledged it', () => {
	for (let seed = 1; seed <= 20; seed++) {
		const cluster = new TestCluster({size: 3, seed});
		const leader = cluster.elect();
		acknowledge(cluster, evacuate('z1', true));
		cluster.crash(leader);
		cluster.replaceDisk(leader);
		cluster.runUntil(() => cluster.vms.every(vm => evacuatedZones(cluster, vm).includes('z1')), 30_000);
		acknowledge(cluster, evacuate('z1', false));
		cluster.runUntil(() => cluster.vms.every(vm => evacuatedZones(cluster, vm).length === 0), 30_000);
	}
});

test('an evacuation survives the loss of all processes at the moment of its acknowledgement', () => {
	for (let seed = 1; seed <= 20; seed++) {
		const cluster = new TestCluster({size: 5, seed});
		acknowledge(cluster, evacuate('z1', true));
		for (const vm of cluster.vms) {
			cluster.crash(vm);
		}

		cluster.run(1000);
		for (const vm of cluster.vms) {
			cluster.restart(vm);
		}

		cluster.runUntil(() => cluster.vms.every(vm => evacuatedZones(cluster, vm).includes('z1')), 30_000);
	}
});

test('a leader that is cut off acknowledges no evacuation, and the order that the others acknowledge meanwhile stays', () => {
	for (let seed = 1; seed <= 20; seed++) {
		const cluster = new TestCluster({size: 5, seed});
		const leader = cluster.elect();
		acknowledge(cluster, evacuate('z1', true));
		cluster.isolate(leader);
		const token = cluster.propose(leader, evacuate('z2', true));
		cluster.runUntil(() => ![undefined, leader].includes(cluster.leader()), 30_000);
		acknowledge(cluster, evacuate('z1', false));
		acknowledge(cluster, evacuate('z3', true));
		assert.equal(cluster.acknowledgedTokens.has(token), false);
		cluster.heal();
		cluster.runUntil(() => cluster.vms.every(vm => evacuatedZones(cluster, vm).join(' ') === 'z3'), 30_000);
	}
});
