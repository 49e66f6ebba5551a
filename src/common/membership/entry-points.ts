import type {EntryPointAnswer} from '../services/entry-point-service.js';
import {rankByRendezvous} from './rendezvous.js';
import type {MemberRecord} from './types.js';

/** Maximum number of entry VMs in an answer; kept small so that a customer's traffic reaches only a few VMs. */
const subsetSize = 3;
/** Maximum number of entry VMs in an answer that are in the caller's zone, if other zones have enough entry VMs for the rest of the answer. The caller then still has an entry VM when its zone fails. */
const sameZoneCount = 2;
/** Step to which loads are rounded down before they are compared, in percent, so that small fluctuations do not reorder the answer. */
const loadStepPercent = 20;

export type EntryPointQuery = {
	/** Hash key: the same key and candidates always give the same subset. */
	readonly key: string;
	/** Availability zone of the caller, if known. */
	readonly zone: string | undefined;
	/** Entry VMs to choose from; all of them must accept new requests. */
	readonly candidates: readonly MemberRecord[];
};

/** Chooses up to `subsetSize` entry VMs by rendezvous hashing and returns their addresses. Entry VMs in the caller's zone come first; those in the zone and those in other zones are each sorted by ascending load. */
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
