import type {VmId} from '../core/types.js';
import type {MemberRecord} from './types.js';

/** Number of entry VMs that an answer names at least, if there are so many, so that callers have another one when the first fails. */
const minEntryPoints = 3;
/** Rate of the network link that goes with one core, in bits per second: a VM with a slower link is limited by the link. */
const linkBitsPerCore = 20_000_000;
/** Units of capacity in one core. */
const capacityPerCore = 1000;

export type EntryPointSampleQuery = {
	/** Availability zone of the caller, if known. */
	readonly zone: string | undefined;
	/** Maximum number of entry VMs in the answer. */
	readonly maxCount: number;
	/** Returns a random number in [0, 1). */
	readonly random: () => number;
};

/** Returns the capacity that a VM announces, in thousandths of a core. */
export function announcedCapacity({processorCores, linkBitsPerSecond}: {readonly processorCores: number; readonly linkBitsPerSecond: number}): number {
	return Math.max(1, Math.round(Math.min(processorCores, linkBitsPerSecond / linkBitsPerCore) * capacityPerCore));
}

/**
Returns the entry VMs that an answer names, those in the caller's zone first. Callers pick any of them at random, so a VM is named
in a share of the answers that is proportional to its capacity, compared with the largest VM. If all VMs count alike, every answer names as many as it has room for.
*/
export function sampleEntryPoints(usable: readonly MemberRecord[], {zone, maxCount, random}: EntryPointSampleQuery): MemberRecord[] {
	const ordered = [...usable].sort((a, b) => Number(b.zone === zone) - Number(a.zone === zone));
	const weights = relativeCapacities(usable);
	if (!weights) {
		return ordered.slice(0, maxCount);
	}

	const ownZone = sampleByWeight(ordered.filter(member => member.zone === zone), weights, maxCount, random);
	const otherZones = sampleByWeight(ordered.filter(member => member.zone !== zone), weights, maxCount - ownZone.length, random);
	const sampled = new Set([...ownZone, ...otherZones]);
	const missing = ordered.filter(member => !sampled.has(member)).sort((a, b) => weights.get(b.vm)! - weights.get(a.vm)!);
	for (const member of missing.slice(0, Math.max(0, minEntryPoints - sampled.size))) {
		sampled.add(member);
	}

	return ordered.filter(member => sampled.has(member));
}

/**
Returns the capacity of each VM as a share of the largest one, or undefined if all count alike or some VM announces none. A control VM counts at
most as much as the median of the others, because it needs the rest for its control work.
*/
function relativeCapacities(members: readonly MemberRecord[]): Map<VmId, number> | undefined {
	if (members.some(({capacity}) => capacity === undefined)) {
		return undefined;
	}

	const others = members.filter(({roles}) => !roles.includes('control')).map(({capacity}) => capacity!).sort((a, b) => a - b);
	const median = others[Math.floor(others.length / 2)] ?? Infinity;
	const counted = members.map(({vm, roles, capacity}) => ({vm, capacity: roles.includes('control') ? Math.min(capacity!, median) : capacity!}));
	const largest = Math.max(...counted.map(({capacity}) => capacity));
	return counted.every(({capacity}) => capacity === largest) ? undefined : new Map(counted.map(({vm, capacity}) => [vm, capacity / largest]));
}

/** Returns members so that each is chosen with a probability proportional to its weight, which is the weight itself if there is room: systematic sampling from a random member on, so that no member is tied to the larger answers. */
function sampleByWeight(members: readonly MemberRecord[], weights: ReadonlyMap<VmId, number>, room: number, random: () => number): MemberRecord[] {
	const total = members.reduce((sum, {vm}) => sum + weights.get(vm)!, 0);
	const scale = Math.min(1, room / total);
	const first = Math.floor(random() * members.length);
	let position = random();
	const chosen = [...members.slice(first), ...members.slice(0, first)].filter(({vm}) => {
		position += weights.get(vm)! * scale;
		const isChosen = position >= 1;
		position -= isChosen ? 1 : 0;
		return isChosen;
	});
	return chosen.slice(0, room);
}
