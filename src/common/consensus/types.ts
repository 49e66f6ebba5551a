import type {
	BaseEvent, CoreEffect, ReplyToken, VmId,
} from '../core/types.js';

/** A voter or learner of the replicated log. */
export type Member = {
	readonly vm: VmId;
	/** Random id stored in the member's data folder. An emptied or replaced disk gets a new id. */
	readonly diskId: string;
	readonly role: 'voter' | 'learner';
};

/** Persistent state of a member besides its log and snapshot. Written to disk before any message that depends on it is sent. */
export type HardState = {
	readonly term: number;
	/** VM that the member voted for in `term`; undefined while it has not voted in that term. */
	readonly votedFor: VmId | undefined;
	/** Disk id of the candidate that the member voted for. The vote does not carry over to a replacement disk of the same VM. */
	readonly votedForDisk: string | undefined;
	/**
	Id of the cluster: the disk id of the member that formed it. Undefined until the member has accepted a cluster. A member
	that has a term or log entries never follows another cluster.
	*/
	readonly cluster: string | undefined;
	/** Commit index. The value on disk may lag behind, because an advance of the commit index alone causes no write. */
	readonly commit: number;
};

export type LogEntry = {
	readonly index: number;
	readonly term: number;
	/** Content of the entry, serializable as CBOR. A new leader appends a `noop` to start its term; `members` sets a new membership. */
	readonly payload:
		| {readonly kind: 'noop'}
		| {readonly kind: 'command'; readonly command: unknown}
		| {readonly kind: 'members'; readonly members: readonly Member[]};
};

/** State of the state machine and membership after the entry at `index`. It replaces the log entries up to that index. */
export type Snapshot = {
	/** Index of the last entry that the snapshot covers. */
	readonly index: number;
	/** Term of the entry at `index`. */
	readonly term: number;
	readonly members: readonly Member[];
	/** State of the state machine after it applied the entry at `index`. */
	readonly data: unknown;
};

/** State that a member reads from its disk at start-up. */
export type StoredState = {
	readonly diskId: string;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	/** Log entries that follow the snapshot, without gaps. */
	readonly entries: readonly LogEntry[];
};

/** One group commit: the hard state and the entries that a single fsync makes durable. */
export type PersistBatch = {
	readonly sequence: number;
	readonly hardState: HardState | undefined;
	/** Index from which on stored entries are removed before `entries` are appended; undefined if none are removed. */
	readonly truncateFrom: number | undefined;
	readonly entries: readonly LogEntry[];
};

export type ConsensusRole = 'leader' | 'candidate' | 'follower' | 'learner' | 'halted';

export type ConsensusEvent =
	| BaseEvent<'consensus/tick'>
	| (BaseEvent<'consensus/message'> & {readonly from: VmId; readonly message: unknown})
	/** Proposes a command. The outcome is reported by `consensus/committed` or `consensus/dropped` with the same token. */
	| (BaseEvent<'consensus/propose'> & {readonly token: ReplyToken; readonly command: unknown})
	/**
	Requests a linearizable read, answered by `consensus/read-ready` or `consensus/read-failed`. With `mayWait`, the read
	waits for the next regular heartbeat at most and causes no extra messages.
	*/
	| (BaseEvent<'consensus/read'> & {readonly token: ReplyToken; readonly mayWait?: boolean})
	/**
	Adds a VM as a learner, which becomes a voter once it has caught up, or removes a member. A change is refused while another
	one is pending.
	*/
	| (BaseEvent<'consensus/change-members'> & {
		readonly token: ReplyToken;
		readonly change: {readonly kind: 'add'; readonly vm: VmId; readonly diskId: string} | {readonly kind: 'remove'; readonly vm: VmId};
	})
	/**
	Updates the lists of VMs after start-up. `initialVms`, unless undefined, replaces the VMs that form the cluster at its first
	start; `knownVms` replaces the other VMs that receive requests for admission.
	*/
	| (BaseEvent<'consensus/peers'> & {readonly initialVms?: readonly VmId[]; readonly knownVms: readonly VmId[]})
	/** Makes a leader step down, for example before it shuts down, so that another member can become leader. */
	| BaseEvent<'consensus/step-down'>
	/** Announces that the process is about to end. From now on, this member asks the leader to remove it; see `handleLeave`. */
	| BaseEvent<'consensus/leave'>
	/** A batch is on disk, or the loaded state if `sequence` is `confirmationSequence`. */
	| (BaseEvent<'consensus/persisted'> & {readonly sequence: number})
	/** The storage cannot go on, for example because its files are corrupt. The member halts until its process restarts. A write that the disk merely refuses is repeated instead. */
	| (BaseEvent<'consensus/storage-failed'> & {readonly reason: string})
	| (BaseEvent<'consensus/snapshot-taken'> & {readonly index: number; readonly data: unknown})
	| (BaseEvent<'consensus/snapshot-saved'> & {readonly index: number});

export type DropReason =
	| 'not-leader'
	| 'leadership-lost'
	/** Too many proposals, or too many bytes of proposals, are waiting to be committed. */
	| 'overloaded'
	/** The command exceeds `maxCommandBytes`. */
	| 'too-large'
	/** Another membership change is pending, or the requested change is not possible. */
	| 'change-refused';

export type ConsensusEffect =
	| CoreEffect
	/** Requests a write of the batch. The event `consensus/persisted` reports that it is on disk. */
	| {readonly type: 'consensus/persist'; readonly batch: PersistBatch}
	/** A command is committed. Emitted in index order, once per index. `token` is set only on the member that proposed the entry in this term. */
	| {readonly type: 'consensus/committed'; readonly index: number; readonly command: unknown; readonly token: ReplyToken | undefined}
	/** The proposal was not accepted, or its outcome is unknown: a proposal dropped with `leadership-lost` may still be committed later. */
	| {readonly type: 'consensus/dropped'; readonly token: ReplyToken; readonly reason: DropReason; readonly leader: VmId | undefined}
	/** A membership change is committed. `token` is set only on the member that accepted the change in this term. */
	| {readonly type: 'consensus/members-committed'; readonly index: number; readonly members: readonly Member[]; readonly token: ReplyToken | undefined}
	/** A quorum confirmed the leader after the read arrived, and every entry committed before the read is applied. */
	| {readonly type: 'consensus/read-ready'; readonly token: ReplyToken}
	/** The read was refused, or this member lost leadership before the read was confirmed. `leader` is the known leader, if any. */
	| {readonly type: 'consensus/read-failed'; readonly token: ReplyToken; readonly leader: VmId | undefined}
	/** The role of this member or the leader that it follows has changed. */
	| {readonly type: 'consensus/role'; readonly role: ConsensusRole; readonly term: number; readonly leader: VmId | undefined}
	/** Requests the state of the state machine after `index`, the last applied entry. */
	| {readonly type: 'consensus/take-snapshot'; readonly index: number}
	/** Requests a write of the snapshot. The event `consensus/snapshot-saved` reports that it is on disk. */
	| {readonly type: 'consensus/save-snapshot'; readonly snapshot: Snapshot}
	/** Replaces the state of the state machine by `data`, its state after the entry at `index`. */
	| {readonly type: 'consensus/install'; readonly index: number; readonly data: unknown};

export type ConsensusTimings = {
	/** Interval of the leader's heartbeats, in ms. */
	readonly heartbeatMs: number;
	/**
	Lower bound of the randomised election timeout, in ms. A leader that has had no contact with a quorum for this long steps
	down.
	*/
	readonly electionTimeoutMinMs: number;
	/** Upper bound of the randomised election timeout, in ms. */
	readonly electionTimeoutMaxMs: number;
	/** Time, in ms, after which a write counts as slow. While a write is slow, the member neither leads, votes nor acknowledges entries. */
	readonly storageTimeoutMs: number;
	/** Time, in ms, without a reply after which the leader removes a member, if it removes members without an operator. */
	readonly removalSilenceMs: number;
};

export type ConsensusLimits = {
	/** Maximum number of entries in one append message. */
	readonly maxBatchEntries: number;
	/** Maximum estimated bytes of the entries in one append message. An entry that exceeds this limit is sent in a message of its own. */
	readonly maxBatchBytes: number;
	/** Maximum number of unacknowledged append messages with entries per follower. */
	readonly maxInFlightMessages: number;
	/** Maximum estimated bytes of a proposed command. */
	readonly maxCommandBytes: number;
	/** Maximum number of proposals that may wait to be committed. */
	readonly maxProposals: number;
	/** Maximum estimated bytes of all proposals that wait to be committed. */
	readonly maxProposalBytes: number;
	/** Maximum number of pending reads. */
	readonly maxReads: number;
	/** Maximum bytes of the encoded snapshot that one message carries. */
	readonly snapshotChunkBytes: number;
	/** Maximum bytes of an encoded snapshot that a member accepts from the leader. */
	readonly maxSnapshotBytes: number;
	/** Number of entries that are applied after a snapshot before the next snapshot is taken. */
	readonly snapshotIntervalEntries: number;
	/** Number of entries before the snapshot that stay in memory, so that a slightly lagging follower needs no snapshot. */
	readonly retainedEntries: number;
};

export type ConsensusOptions = {
	readonly vm: VmId;
	readonly stored: StoredState;
	/** VMs that form the cluster at its first start. Once the cluster exists, the list only names VMs that receive requests for admission. */
	readonly initialVms: readonly VmId[];
	/** Whether the leader adds new VMs, and removes leaving or silent members, without an operator. False by default. */
	readonly managesMembers?: boolean;
	/** Number of voters that must remain when the leader removes a voter without an operator: twice the number of members that may be lost at the same time, plus one. */
	readonly minVoters?: number;
	/** Seed of the random election timeouts. */
	readonly seed: number;
	readonly timings?: Partial<ConsensusTimings>;
	readonly limits?: Partial<ConsensusLimits>;
};
