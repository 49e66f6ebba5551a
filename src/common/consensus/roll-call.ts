import type {VmId} from '../core/types.js';

/** Time without a new VM after which the roll is closed, in milliseconds; VMs of one start follow each other within a third of it. */
export const rollQuietMs = 1000;
/** VMs that form a cluster at most; later ones join one by one. */
const maxFounders = 7;

/**
Agrees on the VMs that form the cluster at its first start when nobody is told their number: the VMs with a blank disk
report to one process, which closes the roll once no new one has appeared for a while. Every VM gets the same answer,
so two clusters cannot form; VMs that report later join the cluster.
*/
export class RollCall {
	private readonly _present = new Set<VmId>();
	private _lastNewMs: number;
	private _founders: readonly VmId[] | undefined;

	constructor(nowMs: number) {
		this._lastNewMs = nowMs;
	}

	/** Notes that a VM is present; returns the founders once the roll is closed. */
	report(vm: VmId, nowMs: number): readonly VmId[] | undefined {
		if (!this._founders && !this._present.has(vm)) {
			this._present.add(vm);
			this._lastNewMs = nowMs;
		}

		if (!this._founders && nowMs - this._lastNewMs >= rollQuietMs) {
			this._founders = [...this._present].sort().slice(0, maxFounders);
		}

		return this._founders;
	}
}
