import type {VmIdentity} from '../../common/core/types.js';
import {LeaseStore} from '../../common/scheduler/lease-store.js';
import type {ControlAdminClient} from './control-admin-client.js';

/** Acquires, renews and releases this process's leases in the replicated state machine. */
export class ControlLeaseStore extends LeaseStore {
	constructor(private readonly _adminClient: ControlAdminClient, private readonly _self: VmIdentity) {
		super();
	}

	override async acquire(name: string, ttlMs: number): Promise<number | undefined> {
		const result = await this._adminClient.acquireLease(name, this._self, ttlMs);
		return result.kind === 'held' ? result.epoch : undefined;
	}

	override async renew(name: string, epoch: number, ttlMs: number): Promise<boolean> {
		const result = await this._adminClient.renewLease(name, this._self, epoch, ttlMs);
		return result.kind === 'held';
	}

	override async release(name: string, epoch: number): Promise<void> {
		await this._adminClient.releaseLease(name, this._self, epoch);
	}
}
