import type {VmId} from '../core/types.js';

/**
Time without a newly reported VM, in ms, after which the founders are fixed. VMs that start together report within about a
third of this time.
*/
export const discoveryQuietMs = 1000;
/** Maximum number of founders. Other VMs join the formed cluster one by one. */
const maxInitialVms = 7;

/**
Determines the founders, the VMs that form the cluster at its first start, when their number is not configured. VMs with
a blank disk report to one process, which fixes the founders once no new VM has reported for `discoveryQuietMs`. Every VM
gets the same founders, so two clusters cannot form. VMs that report later join the cluster.
*/
export class FounderDiscovery {
	private readonly _reportedVms = new Set<VmId>();
	private _lastNewVmMs: number;
	private _founders: readonly VmId[] | undefined;

	constructor(nowMs: number) {
		this._lastNewVmMs = nowMs;
	}

	/** Records that a VM is present. Returns the founders once they are fixed, and undefined before that. */
	reportPresence(vm: VmId, nowMs: number): readonly VmId[] | undefined {
		if (!this._founders && !this._reportedVms.has(vm)) {
			this._reportedVms.add(vm);
			this._lastNewVmMs = nowMs;
		}

		if (!this._founders && nowMs - this._lastNewVmMs >= discoveryQuietMs) {
			this._founders = [...this._reportedVms].sort().slice(0, maxInitialVms);
		}

		return this._founders;
	}
}
