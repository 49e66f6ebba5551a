import type {VmId} from '../../common/core/types.js';
import {chooseEntryPoints} from '../../common/membership/entry-points.js';
import type {MemberRecord} from '../../common/membership/types.js';
import {EntryPointService} from '../../common/services/entry-point-service.js';
import type {EntryPointAnswer} from '../../common/services/entry-point-service.js';

/** How long callers may cache an answer, in milliseconds. A VM that shuts down keeps serving for at least this long. */
export const entryPointValidityMs = 5000;
/** Number of hash keys that requests without a customer use in turn, so that these requests are spread over the entry VMs. */
const anonymousKeyCount = 64;

export type EntryPointSources = {
	/** Records of all known members, of any status. */
	readonly members: () => readonly MemberRecord[];
	/** VMs that the platform is about to remove. */
	readonly leavingVms: () => ReadonlySet<VmId>;
	/** VMs that an operator has drained. */
	readonly drainedVms: () => ReadonlySet<VmId>;
};

/** Answers entry-point requests from the gossiped member list. */
export class GossipEntryPointService extends EntryPointService {
	private _nextAnonymousKey = 0;

	constructor(private readonly _sources: EntryPointSources) {
		super();
	}

	override chooseEntryPoints(customer: string | undefined, zone: string | undefined): EntryPointAnswer {
		const key = customer === undefined ? `anonymous/${this._nextAnonymousKey++ % anonymousKeyCount}` : `tenant/${customer}`;
		return {entryPoints: chooseEntryPoints({key, zone, candidates: this._candidates()}), validForMs: entryPointValidityMs};
	}

	/** Returns the entry VMs that accept new requests. Excludes suspects while any of these VMs is alive: a false suspicion is refuted within seconds, but a dead VM in an answer costs each caller a timeout. */
	private _candidates(): MemberRecord[] {
		const leaving = this._sources.leavingVms();
		const drained = this._sources.drainedVms();
		const available = this._sources.members().filter(({vm, roles, status, isDraining}) =>
			roles.includes('entry') && status !== 'dead' && !isDraining && !leaving.has(vm) && !drained.has(vm));
		const alive = available.filter(({status}) => status === 'alive');
		return alive.length > 0 ? alive : available;
	}
}
