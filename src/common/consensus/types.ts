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

/** Persistent state of a member besides log and snapshot. It is on disk before any message that depends on it is sent. */
export type HardState = {
	readonly term: number;
	readonly votedFor: VmId | undefined;
	/** Disk id of the candidate voted for. The vote does not carry over to a replacement disk of the same VM. */
	readonly votedForDisk: string | undefined;
	/**
	Id of the cluster: the disk id of the member that formed it. Once it has a term or log entries, a member never
	follows another cluster.
	*/
	readonly cluster: string | undefined;
	/** Lower bound of the commit index. An advance of the commit index alone causes no write. */
	readonly commit: number;
};

export type LogEntry = {
	readonly index: number;
	readonly term: number;
	/** Serializable by CBOR. A new leader appends a `noop` to start its term; `members` changes the membership. */
	readonly payload:
		| {readonly kind: 'noop'}
		| {readonly kind: 'command'; readonly command: unknown}
		| {readonly kind: 'members'; readonly members: readonly Member[]};
};

export type Snapshot = {
	readonly index: number;
	readonly term: number;
	readonly members: readonly Member[];
	/** State of the state machine after it applied the entry at `index`. */
	readonly data: unknown;
};

/** What a member reads from its disk at start-up. */
export type StoredState = {
	readonly diskId: string;
	readonly hardState: HardState;
	readonly snapshot: Snapshot | undefined;
	/** Entries after the snapshot, without gaps. */
	readonly entries: readonly LogEntry[];
};

/** One group commit: the hard state and the entries that a single fsync makes durable. */
export type PersistBatch = {
	readonly sequence: number;
	readonly hardState: HardState | undefined;
	/** Stored entries from this index on are removed before `entries` are appended. */
	readonly truncateFrom: number | undefined;
	readonly entries: readonly LogEntry[];
};

export type ConsensusRole = 'leader' | 'candidate' | 'follower' | 'learner' | 'halted';

export type ConsensusEvent =
	| BaseEvent<'consensus/tick'>
	| (BaseEvent<'consensus/message'> & {readonly from: VmId; readonly message: unknown})
	/** Proposes a command. `consensus/committed` or `consensus/dropped` reports the outcome for the token. */
	| (BaseEvent<'consensus/propose'> & {readonly token: ReplyToken; readonly command: unknown})
	/**
	Requests a linearizable read, answered by `consensus/read-ready` or `consensus/read-failed`. With `mayWait`, the read
	waits for the next regular heartbeat at most and causes no extra messages.
	*/
	| (BaseEvent<'consensus/read'> & {readonly token: ReplyToken; readonly mayWait?: boolean})
	/** Adds a VM as a learner, which becomes a voter once it has caught up, or removes a member. One change at a time. */
	| (BaseEvent<'consensus/change-members'> & {
		readonly token: ReplyToken;
		readonly change: {readonly kind: 'add'; readonly vm: VmId; readonly diskId: string} | {readonly kind: 'remove'; readonly vm: VmId};
	})
	/**
	VMs that became known after start-up: `initialVms` form the cluster at its first start, `knownVms` receive requests
	for admission.
	*/
	| (BaseEvent<'consensus/peers'> & {readonly initialVms?: readonly VmId[]; readonly knownVms: readonly VmId[]})
	/** Makes a leader step down, for example before it shuts down, so that another member can become leader. */
	| BaseEvent<'consensus/step-down'>
	| (BaseEvent<'consensus/persisted'> & {readonly sequence: number})
	/** A write failed, for example on a full or failing disk. The member halts until its process restarts. */
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
	| {readonly type: 'consensus/persist'; readonly batch: PersistBatch}
	/** Emitted in index order, once per index. `token` is set only on the member that proposed the entry in this term. */
	| {readonly type: 'consensus/committed'; readonly index: number; readonly command: unknown; readonly token: ReplyToken | undefined}
	/** The proposal was not accepted, or its outcome is unknown: with `leadership-lost` it may still be committed later. */
	| {readonly type: 'consensus/dropped'; readonly token: ReplyToken; readonly reason: DropReason; readonly leader: VmId | undefined}
	/** A membership change is committed. `token` is set only on the member that accepted the change in this term. */
	| {readonly type: 'consensus/members-committed'; readonly index: number; readonly members: readonly Member[]; readonly token: ReplyToken | undefined}
	/** A quorum confirmed the leader after the read arrived, and every entry committed before the read is applied. */
	| {readonly type: 'consensus/read-ready'; readonly token: ReplyToken}
	| {readonly type: 'consensus/read-failed'; readonly token: ReplyToken; readonly leader: VmId | undefined}
	| {readonly type: 'consensus/role'; readonly role: ConsensusRole; readonly term: number; readonly leader: VmId | undefined}
	/** Requests the state of the state machine after `index`, the last applied entry. */
	| {readonly type: 'consensus/take-snapshot'; readonly index: number}
	| {readonly type: 'consensus/save-snapshot'; readonly snapshot: Snapshot}
	/** Replaces the state of the state machine. */
	| {readonly type: 'consensus/install'; readonly index: number; readonly data: unknown};

export type ConsensusTimings = {
	/** Interval of the leader's heartbeats, in ms. */
	readonly heartbeatMs: number;
	/**
	Bounds of the randomised election timeout, in ms. A leader that has no contact with a quorum for `electionTimeoutMinMs`
	steps down.
	*/
	readonly electionTimeoutMinMs: number;
	readonly electionTimeoutMaxMs: number;
	/** While a write takes longer than this, in ms, the member neither leads, votes nor acknowledges entries. */
	readonly storageTimeoutMs: number;
};

export type ConsensusLimits = {
	/** Maximum entries and estimated bytes of one append message. A single larger entry is sent in a message of its own. */
	readonly maxBatchEntries: number;
	readonly maxBatchBytes: number;
	/** Maximum unacknowledged append messages with entries per follower. */
	readonly maxInFlightMessages: number;
	readonly maxCommandBytes: number;
	/** Maximum proposals, and their estimated bytes, that may wait to be committed. */
	readonly maxProposals: number;
	readonly maxProposalBytes: number;
	readonly maxReads: number;
	readonly snapshotChunkBytes: number;
	/** Largest encoded snapshot that a member accepts. */
	readonly maxSnapshotBytes: number;
	/** Number of entries applied since the last snapshot that triggers the next snapshot. */
	readonly snapshotIntervalEntries: number;
	/** Number of entries before the snapshot that stay in memory, so that a slightly lagging follower needs no snapshot. */
	readonly retainedEntries: number;
};

export type ConsensusOptions = {
	readonly vm: VmId;
	readonly stored: StoredState;
	/** VMs that form the cluster at its first start. Once the cluster exists, they only receive requests for admission. */
	readonly initialVms: readonly VmId[];
	/** Whether the leader adds a new VM as a learner without an operator. False by default. */
	readonly admitsNewVms?: boolean;
	readonly seed: number;
	readonly timings?: Partial<ConsensusTimings>;
	readonly limits?: Partial<ConsensusLimits>;
};
