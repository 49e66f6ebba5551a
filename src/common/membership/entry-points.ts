import type {EntryPointAnswer} from '../services/entry-point-service.js';
import {rankByRendezvous} from './rendezvous.js';
import type {MemberRecord} from './types.js';

/** Maximum number of entry VMs in an answer; kept small so that a tenant's traffic reaches only a few VMs. */
const subsetSize = 3;
/** Entry VMs from the caller's zone in an answer if other zones can fill the rest, so that an entry VM remains when the zone fails. */
const sameZoneCount = 2;
/** Loads are compared in steps of this size, in percent, so that small fluctuations do not reorder the answer. */
const loadStepPercent = 20;

export type EntryPointQuery = {
	/** Hash key: the same key and candidates always give the same subset. */
	readonly key: string;
	/** Availability zone of the caller, if known. */
	readonly zone: string | undefined;
	/** Entry VMs that accept new requests: not dead, draining or leaving. */
	readonly candidates: readonly MemberRecord[];
};

/** Chooses a stable subset by rendezvous hashing and lists the caller's zone first, then by ascending load. */
export function chooseEntryPoints({key, zone, candidates}: EntryPointQuery): EntryPointAnswer['entryPoints'] {
	const ranked = rankByRendezvous(key, candidates, ({vm}) => vm);
	const sameZone = ranked.filter(member => member.zone === zone);
	const otherZones = ranked.filter(member => member.zone !== zone);
	const sameZoneLimit = Math.max(sameZoneCount, subsetSize - otherZones.length);
	const chosen = [...sameZone.slice(0, sameZoneLimit), ...otherZones].slice(0, subsetSize);
	const sortRank = (member: MemberRecord) => (member.zone === zone ? 0 : 100) + Math.floor(member.load / loadStepPercent);
	return chosen
		.sort((a, b) => sortRank(a) - sortRank(b))
		.flatMap(({callerAddress, zone: memberZone}) => callerAddress === undefined ? [] : [{address: callerAddress, zone: memberZone}]);
}
