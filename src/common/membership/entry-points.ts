import type {EntryPointAnswer} from '../services/entry-point-service.js';
import {rankByRendezvous} from './rendezvous.js';
import type {MemberRecord} from './types.js';

/** Entry VMs in one answer: few, so that one tenant's traffic reaches few VMs. */
const subsetSize = 3;
/** Entry VMs of the caller's zone in one answer while other zones have some, so that the loss of a zone leaves one. */
const sameZoneSize = 2;
/** Load differences below this do not change the order, in percent. */
const loadStep = 20;

export type EntryPointQuestion = {
	/** Subsets of the same key are the same. */
	readonly key: string;
	/** Zone of the caller, when known. */
	readonly zone: string | undefined;
	/** Live, not draining and not leaving. */
	readonly candidates: readonly MemberRecord[];
};

/** A stable subset by rendezvous hashing; the caller's zone first, then the least loaded. */
export function chooseEntryPoints({key, zone, candidates}: EntryPointQuestion): EntryPointAnswer['entryPoints'] {
	const ranked = rankByRendezvous(key, candidates, ({vm}) => vm);
	const near = ranked.filter(member => member.zone === zone);
	const far = ranked.filter(member => member.zone !== zone);
	const fromNear = Math.max(sameZoneSize, subsetSize - far.length);
	const chosen = [...near.slice(0, fromNear), ...far].slice(0, subsetSize);
	const order = (member: MemberRecord) => (member.zone === zone ? 0 : 100) + Math.floor(member.load / loadStep);
	return chosen
		.sort((a, b) => order(a) - order(b))
		.flatMap(({callerAddress, zone: memberZone}) => callerAddress === undefined ? [] : [{address: callerAddress, zone: memberZone}]);
}
