import type {VmId} from '../../common/core/types.js';
import {chooseEntryPoints} from '../../common/membership/entry-points.js';
import type {MemberRecord} from '../../common/membership/types.js';
import {EntryPointService} from '../../common/services/entry-point-service.js';
import type {EntryPointAnswer} from '../../common/services/entry-point-service.js';

/** How long callers may keep an answer, in milliseconds; a VM that shuts down keeps serving for so long. */
export const entryPointValidityMs = 5000;
/** Subsets among which callers without a tenant are spread. */
const anonymousSubsets = 64;

export type EntryPointSources = {
	readonly members: () => readonly MemberRecord[];
	/** VMs that the platform is about to take away. */
	readonly leaving: () => ReadonlySet<VmId>;
	/** VMs that an operator drains. */
	readonly drained: () => ReadonlySet<VmId>;
};

/** Chooses entry VMs from the gossiped member list. */
export class GossipEntryPointService extends EntryPointService {
	private _nextAnonymous = 0;

	constructor(private readonly _sources: EntryPointSources) {
		super();
	}

	override answer(tenant: string | undefined, zone: string | undefined): EntryPointAnswer {
		const key = tenant === undefined ? `anonymous/${this._nextAnonymous++ % anonymousSubsets}` : `tenant/${tenant}`;
		return {entryPoints: chooseEntryPoints({key, zone, candidates: this._candidates()}), validForMs: entryPointValidityMs};
	}

	/** Suspects are left out while others are alive: a wrong suspicion is refuted in seconds, a dead VM costs each caller a timeout. */
	private _candidates(): MemberRecord[] {
		const leaving = this._sources.leaving();
		const drained = this._sources.drained();
		const available = this._sources.members().filter(({vm, roles, status, isDraining}) =>
			roles.includes('entry') && status !== 'dead' && !isDraining && !leaving.has(vm) && !drained.has(vm));
		const alive = available.filter(({status}) => status === 'alive');
		return alive.length > 0 ? alive : available;
	}
}
