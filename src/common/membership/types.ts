import type {
	BaseEvent, CoreEffect, VmId, VmIdentity,
} from '../core/types.js';
import type {MembershipMessage, MemberRecord} from './messages.js';

export type * from './messages.js';

/** Initial member record of this process, without the fields that always start at the same value. */
export type LocalMember = Omit<MemberRecord, 'status' | 'revision' | 'load'>;

/** State of a VM in the platform's list. */
export type PlatformVmState = 'live' | 'leaving';

export type MembershipEvent =
	| BaseEvent<'membership/tick'>
	| (BaseEvent<'membership/message'> & {readonly from: VmIdentity; readonly message: MembershipMessage})
	/** Sets the load, in percent, or the draining flag of this process. */
	| (BaseEvent<'membership/self'> & {readonly load?: number; readonly isDraining?: boolean})
	/** Announces that this process is about to end. */
	| BaseEvent<'membership/leave'>
	/** Carries the platform's list of VMs. Only its `leaving` entries are used, because the list lags behind the actual state of the VMs. */
	| (BaseEvent<'membership/platform'> & {readonly vms: ReadonlyMap<VmId, PlatformVmState>})
	/** Sets the VMs to contact while they are not in the member list. */
	| (BaseEvent<'membership/seeds'> & {readonly vms: readonly VmId[]});

export type MembershipEffect =
	| CoreEffect
	/** Reports a new or changed member record, of any status. */
	| {readonly type: 'membership/changed'; readonly member: MemberRecord};
