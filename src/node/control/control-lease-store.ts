import type {VmIdentity} from '../../common/core/types.js';
import {LeaseKeeper} from '../../common/scheduler/lease-keeper.js';
import type {ControlOperator} from './control-operator.js';

/** Acquires, renews and releases this process's leases in the replicated state machine. */
export class ControlLeaseStore extends LeaseKeeper {
	constructor(private readonly _operator: ControlOperator, private readonly _self: VmIdentity) {
		super();
	}

	override async acquire(name: string, ttlMs: number): Promise<number | undefined> {
		const result = await this._operator.acquireLease(name, this._self, ttlMs);
		return result.kind === 'held' ? result.epoch : undefined;
	}

	override async renew(name: string, epoch: number, ttlMs: number): Promise<boolean> {
		const result = await this._operator.renewLease(name, this._self, epoch, ttlMs);
		return result.kind === 'held';
	}

	override async release(name: string, epoch: number): Promise<void> {
		await this._operator.releaseLease(name, this._self, epoch);
	}
}
