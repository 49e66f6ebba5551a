import type {
	BaseEvent, CoreEffect, ReplyToken, VmId,
} from '../core/types.js';

/** A voter or learner of the replicated log. */
export type Member = {
	readonly vm: VmId;
	/** Random id of the member's data folder; an emptied or replaced disk has a new one. */
	readonly diskId: string;
	readonly role: 'voter' | 'learner';
};

/** What a member must not forget; durable before any message that depends on it leaves. */
export type HardState = {
	readonly term: number;
	readonly votedFor: VmId | undefined;
	/** Disk id of the candidate voted for: a vote for a VM is not a vote for its next disk. */
	readonly votedForDisk: string | undefined;
	/** Disk id of the member that formed the cluster; a member never follows a second cluster. */
	readonly cluster: string | undefined;
	/** Lower bound of the commit index; written along with other changes only. */
	readonly commit: number;
};

export type LogEntry = {
	readonly index: number;
	readonly term: number;
	/** Serializable by CBOR. `noop` opens a leader's term, `members` changes the membership. */
	readonly payload:
		| {readonly kind: 'noop'}
		| {readonly kind: 'command'; readonly command: unknown}
		| {readonly kind: 'members'; readonly members: readonly Member[]};
};

export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly members: readonly Member[];
	/** State of the state machine after `index`. */
	readonly data: unknown;
};

/** What a member finds on its disk at start. */
export type StoredState = {
	readonly diskId: string;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	/** Entries after the snapshot, without gaps. */
	readonly entries: readonly LogEntry[];
};

/** One group commit: hard state and entries that one fsync makes durable. */
export type PersistBatch = {
	readonly sequence: number;
	readonly hardState: HardState | undefined;
	/** Drops stored entries from this index on before appending. */
	readonly truncateFrom: number | undefined;
	readonly entries: readonly LogEntry[];
};

export type ConsensusRole = 'leader' | 'candidate' | 'follower' | 'learner' | 'halted';

export type ConsensusEvent =
	| BaseEvent<'consensus/tick'>
	| (BaseEvent<'consensus/message'> & {readonly from: VmId; readonly message: unknown})
	/** Proposes a command; the token's fate arrives as `consensus/committed` or `consensus/dropped`. */
	| (BaseEvent<'consensus/propose'> & {readonly token: ReplyToken; readonly command: unknown})
	/** Asks for a linearizable read; answered by `consensus/read-ready` or `consensus/read-failed`. */
	/** A read that may wait is confirmed with the next regular heartbeat, at no further cost. */
	| (BaseEvent<'consensus/read'> & {readonly token: ReplyToken; readonly mayWait?: boolean})
	/** Adds a learner, promotes it when it has caught up, or removes a member; one change at a time. */
	| (BaseEvent<'consensus/change-members'> & {
		readonly token: ReplyToken;
		readonly change: {readonly kind: 'add'; readonly vm: VmId; readonly diskId: string} | {readonly kind: 'remove'; readonly vm: VmId};
	})
	/**
	VMs that were learned after the start: `initialVms` form the cluster at its first start, `knownVms` may be asked
	for admission.
	*/
	| (BaseEvent<'consensus/peers'> & {readonly initialVms?: readonly VmId[]; readonly knownVms: readonly VmId[]})
	/** A leader that stops lets one of the others lead. */
	| BaseEvent<'consensus/step-down'>
	| (BaseEvent<'consensus/persisted'> & {readonly sequence: number})
	/** The disk is full, failing or slower than the limit; the member steps aside. */
	| (BaseEvent<'consensus/storage-failed'> & {readonly reason: string})
	| (BaseEvent<'consensus/snapshot-taken'> & {readonly index: number; readonly data: unknown})
	| (BaseEvent<'consensus/snapshot-saved'> & {readonly index: number});

export type DropReason =
	| 'not-leader'
	| 'leadership-lost'
	/** Too many proposals or bytes wait for their commit. */
	| 'overloaded'
	/** The command exceeds `maxCommandBytes`. */
	| 'too-large'
	/** Another membership change is under way, or the change is not possible. */
	| 'change-refused';

export type ConsensusEffect =
	| CoreEffect
	| {readonly type: 'consensus/persist'; readonly batch: PersistBatch}
	/** In index order, each index once; `token` only on the member that proposed the entry in this term. */
	| {readonly type: 'consensus/committed'; readonly index: number; readonly command: unknown; readonly token: ReplyToken | undefined}
	/** The proposal may or may not commit later; its proposer learns it is unknown or not accepted. */
	| {readonly type: 'consensus/dropped'; readonly token: ReplyToken; readonly reason: DropReason; readonly leader: VmId | undefined}
	/** A membership change is committed; `token` only on the member that accepted the change in this term. */
	| {readonly type: 'consensus/members-committed'; readonly index: number; readonly members: readonly Member[]; readonly token: ReplyToken | undefined}
	/** A quorum confirmed the leader after the question arrived, and everything committed before it is applied. */
	| {readonly type: 'consensus/read-ready'; readonly token: ReplyToken}
	| {readonly type: 'consensus/read-failed'; readonly token: ReplyToken; readonly leader: VmId | undefined}
	| {readonly type: 'consensus/role'; readonly role: ConsensusRole; readonly term: number; readonly leader: VmId | undefined}
	/** Asks the state machine for its state after `index`, the last applied one. */
	| {readonly type: 'consensus/take-snapshot'; readonly index: number}
	| {readonly type: 'consensus/save-snapshot'; readonly snapshot: Snapshot}
	/** Replaces the state machine's state. */
	| {readonly type: 'consensus/install'; readonly index: number; readonly data: unknown};

export type ConsensusTimings = {
	/** Interval of the leader's heartbeats, in ms. */
	readonly heartbeatMs: number;
	/** Bounds of the randomised election timeout, in ms; also how long a leader stays without contact to a quorum. */
	readonly electionMinMs: number;
	readonly electionMaxMs: number;
	/** A write that takes longer than this, in ms, makes the member step aside until it ends. */
	readonly storageLimitMs: number;
};

export type ConsensusLimits = {
	/** Entries and estimated bytes of one append message; a single larger entry travels alone. */
	readonly maxBatchEntries: number;
	readonly maxBatchBytes: number;
	/** Append messages with entries that a follower may have unacknowledged. */
	readonly maxInFlight: number;
	readonly maxCommandBytes: number;
	/** Proposals, and their estimated bytes, that may wait for their commit. */
	readonly maxProposals: number;
	readonly maxProposalBytes: number;
	readonly maxReads: number;
	readonly snapshotChunkBytes: number;
	/** Largest snapshot a member accepts. */
	readonly maxSnapshotBytes: number;
	/** Applied entries since the last snapshot that trigger the next one. */
	readonly snapshotEvery: number;
	/** Entries kept in memory before a snapshot, so that a follower slightly behind needs no snapshot. */
	readonly retainedEntries: number;
};

export type ConsensusOptions = {
	readonly vm: VmId;
	readonly stored: StoredState;
	/** The VMs that form the cluster at its first start; later only addresses to ask for admission. */
	readonly initialVms: readonly VmId[];
	/** Whether the leader admits the disk of a new VM by itself, as a learner; by default an operator decides. */
	readonly admitsNewVms?: boolean;
	readonly seed: number;
	readonly timings?: Partial<ConsensusTimings>;
	readonly limits?: Partial<ConsensusLimits>;
};
