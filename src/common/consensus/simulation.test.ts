import {test} from 'node:test';
import fc from 'fast-check';
import type {VmId} from '../core/types.js';
import {TestCluster} from './test-cluster.js';

/** Repeated names are drawn more often. */
const kinds = [
	'crash', 'crash', 'restart', 'restart', 'wipe', 'isolate', 'isolate-in', 'isolate-out', 'cut', 'heal', 'heal', 'slow-disk', 'noise', 'add', 'remove', 'repair-and-lose', 'burst',
] as const;

/** A fault or an operation; VMs are picked by number, time passes after it. */
type Step = {
	readonly kind: (typeof kinds)[number];
	readonly vm: number;
	readonly other: number;
	readonly durationMs: number;
};

/** Interval between proposals and reads at every member that believes to lead, in ms. */
const loadIntervalMs = 30;
/** Time within which a healed cluster must commit again, in ms. */
const recoveryMs = 15_000;

const step: fc.Arbitrary<Step> = fc.record({
	kind: fc.constantFrom(...kinds),
	vm: fc.nat(5),
	other: fc.nat(5),
	durationMs: fc.integer({min: 1, max: 2500}),
});

function runWithLoad(cluster: TestCluster, durationMs: number): void {
	const endMs = cluster.nowMs + durationMs;
	while (cluster.nowMs < endMs) {
		for (const [vm, {isRunning, state}] of cluster.processes) {
			if (isRunning && state.role === 'leader') {
				cluster.propose(vm);
				cluster.read(vm);
			}
		}

		cluster.run(Math.min(loadIntervalMs, endMs - cluster.nowMs));
	}
}

function perform(cluster: TestCluster, {kind, vm: vmNumber, other: otherNumber}: Step): void {
	const vm = cluster.vms[vmNumber % cluster.vms.length]!;
	const other = cluster.vms[otherNumber % cluster.vms.length]!;
	switch (kind) {
		case 'crash': {
			cluster.crash(vm);
			break;
		}

		case 'restart': {
			cluster.restart(vm);
			break;
		}

		case 'wipe': {
			wipe(cluster, vm);
			break;
		}

		case 'isolate': {
			cluster.isolate(vm);
			break;
		}

		case 'isolate-in': {
			cluster.isolate(vm, 'in');
			break;
		}

		case 'isolate-out': {
			cluster.isolate(vm, 'out');
			break;
		}

		case 'cut': {
			cluster.blocked.add(`${vm}>${other}`);
			break;
		}

		case 'heal': {
			cluster.heal();
			break;
		}

		case 'slow-disk': {
			cluster.disks.get(vm)!.latencyMs = 5 * ((otherNumber * 80) + 1);
			break;
		}

		case 'noise': {
			cluster.faults = {
				drop: 0.15, duplicate: 0.1, delay: 0.3, maxDelayMs: 300,
			};
			break;
		}

		case 'burst': {
			for (let i = 0; i < 40; i++) {
				cluster.propose(vm);
			}

			break;
		}

		case 'add': {
			addMember(cluster);
			break;
		}

		case 'remove': {
			const leader = cluster.leader();
			if (leader !== undefined && cluster.members().length > 3 && cluster.canLose(vm)) {
				cluster.changeMembers(leader, {kind: 'remove', vm});
			}

			break;
		}

		case 'repair-and-lose': {
			// The disk of one member is replaced; another one is lost as soon as the repair has had its time.
			wipe(cluster, vm);
			runWithLoad(cluster, 3000);
			wipe(cluster, other);
			break;
		}
	}
}

function wipe(cluster: TestCluster, vm: VmId): void {
	if (cluster.canLose(vm)) {
		cluster.wipe(vm);
	}
}

function addMember(cluster: TestCluster): void {
	const leader = cluster.leader();
	const vm = cluster.vms.find(name => !cluster.members().some(member => member.vm === name)) ?? `vm${cluster.vms.length + 1}`;
	if (leader === undefined || cluster.vms.length >= 7) {
		return;
	}

	cluster.restart(vm);
	cluster.changeMembers(leader, {kind: 'add', vm, diskId: cluster.disks.get(vm)!.diskId});
}

/** After all faults end, a new command must reach every member. */
function checkRecovery(cluster: TestCluster): void {
	cluster.heal();
	const probes: number[] = [];
	cluster.runUntil(() => {
		const leader = cluster.leader();
		if (leader !== undefined) {
			probes.push(cluster.propose(leader));
		}

		return probes.some(token => cluster.acknowledged.has(token));
	}, recoveryMs);
	cluster.runUntil(() => {
		const admitted = cluster.members().filter(({vm, diskId}) => cluster.disks.get(vm)?.diskId === diskId);
		return new Set(admitted.map(({vm}) => cluster.processes.get(vm)!.machine.digest)).size === 1;
	}, recoveryMs);
}

for (const {size, seed, numRuns} of [{size: 3, seed: 31, numRuns: 120}, {size: 5, seed: 51, numRuns: 60}]) {
	test(`${size} members stay safe and recover under random faults`, () => {
		fc.assert(fc.property(fc.array(step, {minLength: 5, maxLength: 15}), fc.integer(), (steps, clusterSeed) => {
			const cluster = new TestCluster({size, seed: clusterSeed});
			runWithLoad(cluster, 1500);
			for (const next of steps) {
				perform(cluster, next);
				runWithLoad(cluster, next.durationMs);
			}

			checkRecovery(cluster);
		}), {seed, numRuns, includeErrorInReport: true});
	});
}
