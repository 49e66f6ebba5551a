import {test} from 'node:test';
import fc from 'fast-check';
import type {VmId} from '../core/types.js';
import {TestCluster} from './test-cluster.js';

/** Kinds of steps. A kind that is listed more than once is drawn more often. */
const stepKinds = [
	'crash',
	'crash',
	'restart',
	'restart',
	'replace-disk',
	'isolate',
	'isolate-in',
	'isolate-out',
	'block-link',
	'heal',
	'heal',
	'slow-disk',
	'refusing-disk',
	'refusing-disk',
	'accepting-disk',
	'lossy-network',
	'add',
	'remove',
	'replace-two-disks',
	'propose-burst',
] as const;

/** A fault or an operation, followed by `durationMs` of proposals and reads. `vm` and `other` select VMs by number. */
type Step = {
	readonly kind: (typeof stepKinds)[number];
	readonly vm: number;
	readonly other: number;
	readonly durationMs: number;
};

const isolationDirections = {isolate: 'both', 'isolate-in': 'in', 'isolate-out': 'out'} as const;
/** Time within which the cluster must commit again after all faults end, in ms. */
const recoveryMs = 15_000;

const stepArbitrary: fc.Arbitrary<Step> = fc.record({
	kind: fc.constantFrom(...stepKinds),
	vm: fc.nat(5),
	other: fc.nat(5),
	durationMs: fc.integer({min: 1, max: 2500}),
});

function performStep(cluster: TestCluster, {kind, vm: vmNumber, other: otherNumber}: Step): void {
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

		case 'replace-disk': {
			replaceDiskIfSafe(cluster, vm);
			break;
		}

		case 'isolate':
		case 'isolate-in':
		case 'isolate-out': {
			cluster.isolate(vm, isolationDirections[kind]);
			break;
		}

		case 'block-link': {
			cluster.blockedLinks.add(`${vm}>${other}`);
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

		case 'refusing-disk':
		case 'accepting-disk': {
			cluster.disks.get(vm)!.isRefusing = kind === 'refusing-disk';
			break;
		}

		case 'lossy-network': {
			cluster.faults = {
				dropProbability: 0.15, duplicateProbability: 0.1, delayProbability: 0.3, maxDelayMs: 300,
			};
			break;
		}

		case 'propose-burst': {
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

		case 'replace-two-disks': {
			// Replaces the disk of one member, and the disk of another member after the first one has had time to rejoin.
			replaceDiskIfSafe(cluster, vm);
			cluster.runWithLoad(3000);
			replaceDiskIfSafe(cluster, other);
			break;
		}
	}
}

function replaceDiskIfSafe(cluster: TestCluster, vm: VmId): void {
	if (cluster.canLose(vm)) {
		cluster.replaceDisk(vm);
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

/** Ends all faults, then checks that a new command is committed and that all members reach the same state. */
function checkRecovery(cluster: TestCluster): void {
	cluster.heal();
	cluster.commitCommand(recoveryMs);
	cluster.runUntil(() => {
		const admittedMembers = cluster.members().filter(({vm, diskId}) => cluster.disks.get(vm)?.diskId === diskId);
		return new Set(admittedMembers.map(({vm}) => cluster.processes.get(vm)!.stateMachine.digest)).size === 1;
	}, recoveryMs);
}

for (const {size, seed, numRuns} of [{size: 3, seed: 31, numRuns: 120}, {size: 5, seed: 51, numRuns: 60}]) {
	test(`${size} members violate no safety rule under random faults, and commit again after the faults end`, () => {
		fc.assert(fc.property(fc.array(stepArbitrary, {minLength: 5, maxLength: 15}), fc.integer(), (steps, clusterSeed) => {
			const cluster = new TestCluster({size, seed: clusterSeed});
			cluster.runWithLoad(1500);
			for (const next of steps) {
				performStep(cluster, next);
				cluster.runWithLoad(next.durationMs);
			}

			checkRecovery(cluster);
		}), {seed, numRuns, includeErrorInReport: true});
	});
}
