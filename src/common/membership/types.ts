import type {
	BaseEvent, CoreEffect, VmId, VmIdentity,
} from '../core/types.js';
import type {MembershipMessage, MemberRecord} from './messages.js';

export type * from './messages.js';

/** What this process tells of itself. */
export type SelfDescription = Omit<MemberRecord, 'status' | 'revision' | 'load'>;

/** A state in the platform's list of VMs. */
export type PlatformState = 'live' | 'leaving';

export type MembershipEvent =
	| BaseEvent<'membership/tick'>
	| (BaseEvent<'membership/message'> & {readonly from: VmIdentity; readonly message: MembershipMessage})
	/** Changes what this process tells of itself. */
	| (BaseEvent<'membership/self'> & {readonly load?: number; readonly isDraining?: boolean})
	/** This process is about to end. */
	| BaseEvent<'membership/leave'>
	/** The platform's list, which lags: only `leaving` tells anything. */
	| (BaseEvent<'membership/platform'> & {readonly vms: ReadonlyMap<VmId, PlatformState>})
	/** Processes that may be in the cluster, to contact while few members are known. */
	| (BaseEvent<'membership/seeds'> & {readonly vms: readonly VmId[]});

export type MembershipEffect =
	| CoreEffect
	/** A member came, changed or went; sent for alive, suspect and dead members. */
	| {readonly type: 'membership/changed'; readonly member: MemberRecord};
