import type {ReplyToken, VmId} from '../core/types.js';
import {SeededRandom} from '../core/random.js';
import type {MessageBody} from './messages.js';
import type {
	ConsensusEffect, ConsensusLimits, ConsensusOptions, ConsensusRole, ConsensusTimings, HardState, LogEntry, Member, Snapshot,
} from './types.js';
import {EntryLog} from './log.js';

export const defaultTimings: ConsensusTimings = {
	heartbeatMs: 100,
	electionTimeoutMinMs: 500,
	electionTimeoutMaxMs: 1000,
	storageTimeoutMs: 1000,
	removalSilenceMs: 2500,
};

/** Sequence number of the first write of a process, with which the storage makes durable what it loaded. Batches have higher ones. */
export const confirmationSequence = 0;

/** Default of `ConsensusOptions.minVoters`, which lets one of three members be lost. */
const defaultMinVoters = 3;

// A frame between processes holds at most 1 MiB, so a command, a batch of entries or a snapshot chunk takes at most 512 KiB.
export const defaultLimits: ConsensusLimits = {
	maxBatchEntries: 256,
	maxBatchBytes: 262_144,
	maxInFlightMessages: 8,
	maxCommandBytes: 524_288,
	maxProposals: 1024,
	maxProposalBytes: 8_388_608,
	maxReads: 4096,
	snapshotChunkBytes: 262_144,
	maxSnapshotBytes: 268_435_456,
	snapshotIntervalEntries: 4096,
	retainedEntries: 1024,
};

/** An encoded snapshot that is being sent to one follower. */
export type SnapshotTransfer = {
	readonly snapshot: Snapshot;
	/** The whole encoded state. */
	readonly bytes: Uint8Array;
	/** Offset in `bytes` of the chunk that the follower has not acknowledged yet. */
	offset: number;
	/** Time at which the chunk at `offset` was last sent, in ms; `-Infinity` if it was not sent. */
	sentMs: number;
};

/** Replication state that the leader keeps for another member. */
export type Progress = {
	readonly diskId: string;
	/** Highest index that the member has acknowledged as durable. */
	match: number;
	/** Index of the next entry to send. Greater than `match + 1` while append messages with entries are unacknowledged. */
	next: number;
	/** Last index of each unacknowledged append message. */
	inFlight: number[];
	/**
	Whether the last index at which the member's log agrees with the leader's is unknown. Until it is known, at most one append
	message with entries is unacknowledged.
	*/
	isProbing: boolean;
	/** Time of the member's last reply in this term, by the leader's clock, in ms. Before its first reply, the time at which tracking began. */
	lastContactMs: number;
	/** Highest heartbeat round that the member has confirmed. */
	round: number;
	/** Snapshot that is being sent to the member; undefined while none is. */
	transfer: SnapshotTransfer | undefined;
};

/** A linearizable read that waits until a quorum confirms the leader. */
export type PendingRead = {
	readonly token: ReplyToken;
	/** First heartbeat round whose confirmation by a quorum answers the read. */
	readonly round: number;
	/** Whether the heartbeat round may start with the next regular heartbeat instead of at once. */
	readonly mayWait: boolean;
};

/** A candidate's pre-vote or vote in progress. */
export type Campaign = {
	readonly kind: 'pre-vote' | 'vote';
	/** VMs that have granted their vote. */
	readonly votes: Set<VmId>;
};

/** A snapshot that is being received in chunks. */
export type IncomingSnapshot = {
	readonly index: number;
	readonly entryTerm: number;
	readonly members: readonly Member[];
	/** Buffer for the whole encoded state. */
	readonly bytes: Uint8Array;
	/** Number of bytes received without a gap from the start of the encoded state. */
	received: number;
};

/** Writes that are collected, handed to the storage or on disk. */
export type PersistState = {
	/** Sequence number of the next batch. */
	nextSequence: number;
	/**
	Write that was handed to the storage and is not on disk yet; undefined while there is none. At the start of the process, what the storage
	loaded: it may come from a write that was never synced.
	*/
	outstandingWrite: {readonly sequence: number; readonly hardState: HardState | undefined; lastIndex: number; startedMs: number} | undefined;
	/** Whether term, vote or cluster differ from what was last handed to the storage. */
	isHardStateDirty: boolean;
	/** Index from which on the next batch removes stored entries; undefined if it removes none. */
	truncateFrom: number | undefined;
	/** Entries that the next batch appends. */
	entries: LogEntry[];
	/** Last hard state known to be on disk. */
	durableHardState: HardState;
	/** Index up to which all entries are on disk. */
	durableIndex: number;
	/** Messages that wait for a write, each with the sequence number of the batch that must be on disk before it is sent. */
	heldMessages: Array<{readonly sequence: number; readonly effect: ConsensusEffect}>;
};

/** State of the replicated log on one member; `reduceConsensus` updates it in place. */
export type ConsensusState = {
	readonly vm: VmId;
	readonly diskId: string;
	/** VMs that form the cluster at its first start, in sorted order. */
	initialVms: readonly VmId[];
	/** VMs besides `initialVms` that receive requests for admission. */
	knownVms: readonly VmId[];
	readonly managesMembers: boolean;
	readonly minVoters: number;
	/** Whether the process of this member is about to end. */
	isLeaving: boolean;
	readonly timings: ConsensusTimings;
	readonly limits: ConsensusLimits;
	readonly random: SeededRandom;
	hardState: HardState;
	role: ConsensusRole;
	/** Leader of the current term; undefined while it is unknown. */
	leader: VmId | undefined;
	/** Disk id of the leader that this member follows. Kept here because a membership change may remove the leader from the members. */
	leaderDiskId: string;
	readonly log: EntryLog;
	/** Last snapshot that is on disk; undefined before the first one. */
	snapshot: Snapshot | undefined;
	/** Memberships in the snapshot and the log, oldest first. The last membership is in force even before it is committed. */
	configurations: Array<{readonly index: number; readonly members: readonly Member[]}>;
	/** Index of the last entry that was passed to the state machine. */
	appliedIndex: number;
	/** Whether this member has handled an event. Before its first event, it restores the state machine from the stored snapshot. */
	isStarted: boolean;
	readonly persist: PersistState;

	/** Time at which the election timer expires, in ms. */
	electionDeadlineMs: number;
	/** Time at which this member last heard from a leader or stopped being the leader, in ms; `-Infinity` if neither has happened. */
	lastLeaderContactMs: number;
	/** Time before which a restarted member neither votes nor campaigns, in ms. */
	voteNotBeforeMs: number;
	/** Campaign in progress; undefined unless this member is a candidate. */
	campaign: Campaign | undefined;
	/** Index up to which all entries are known to agree with the log of this term's leader. */
	verifiedIndex: number;

	/** Time of the leader's next regular heartbeat, in ms. */
	nextHeartbeatMs: number;
	/** Time of the next request for admission or removal, in ms. */
	nextJoinRequestMs: number;
	/** Time of the leader's last tick, in ms. */
	lastTickMs: number;
	/** Time since which this leader has run without a pause, in ms. Silence of a member from before that time may be the leader's own. */
	watchingSinceMs: number;
	/** Replication state of the other members; empty unless this member is the leader. */
	readonly progress: Map<VmId, Progress>;
	/** Index of the `noop` entry with which this leader started its term. */
	termStartIndex: number;
	/** Pending proposals of this leader, by log index. */
	readonly proposals: Map<number, {readonly token: ReplyToken; readonly bytes: number}>;
	/** Estimated bytes of all pending proposals. */
	proposalBytes: number;
	/** Number of the last heartbeat round that was started. The leader starts a round to confirm its leadership for pending reads. */
	heartbeatRound: number;
	reads: PendingRead[];

	/** Disk ids of the initial VMs that accepted the cluster that this member is forming, by VM. */
	readonly acceptances: Map<VmId, string>;
	/** Disk ids of VMs that asked for admission, by VM; shown to operators. */
	readonly joinRequests: Map<VmId, string>;

	/** Index of the snapshot that was requested from the state machine and has not arrived yet; undefined if none is requested. */
	requestedSnapshotIndex: number | undefined;
	/**
	Snapshot that is being written to disk; undefined while none is. Only one snapshot is written at a time, so that an older
	snapshot never replaces a newer one.
	*/
	snapshotSave: {readonly snapshot: Snapshot; readonly isFromLeader: boolean} | undefined;
	/** Snapshot that is being received from the leader; undefined while none is. */
	incomingSnapshot: IncomingSnapshot | undefined;
};

/** Data that the handlers of one event share: the state that they change and the effects collected so far. */
export type Context = {
	readonly state: ConsensusState;
	readonly nowMs: number;
	readonly effects: ConsensusEffect[];
};

/** Creates the state of a member from the contents of its disk. */
export function createConsensusState({
	vm, stored, initialVms, managesMembers = false, minVoters = defaultMinVoters, seed, timings, limits,
}: ConsensusOptions): ConsensusState {
	const log = new EntryLog(stored.snapshot, stored.entries);
	const commit = Math.max(stored.snapshot?.index ?? 0, Math.min(stored.hardState.commit, log.lastIndex));
	const hardState = {...stored.hardState, commit};
	return {
		vm,
		diskId: stored.diskId,
		initialVms: [...initialVms].sort(),
		knownVms: [],
		managesMembers,
		minVoters,
		isLeaving: false,
		timings: {...defaultTimings, ...timings},
		limits: {...defaultLimits, ...limits},
		random: new SeededRandom(seed),
		hardState,
		role: 'follower',
		leader: undefined,
		leaderDiskId: '',
		log,
		snapshot: stored.snapshot,
		configurations: [
			...(stored.snapshot ? [{index: stored.snapshot.index, members: stored.snapshot.members}] : []),
			...stored.entries.flatMap(({index, payload}) => payload.kind === 'members' ? [{index, members: payload.members}] : []),
		],
		appliedIndex: stored.snapshot?.index ?? 0,
		isStarted: false,
		persist: {
			nextSequence: 1,
			outstandingWrite: {
				sequence: confirmationSequence, hardState, lastIndex: log.lastIndex, startedMs: Number.POSITIVE_INFINITY,
			},
			isHardStateDirty: false,
			truncateFrom: undefined,
			entries: [],
			durableHardState: hardState,
			durableIndex: 0,
			heldMessages: [],
		},
		electionDeadlineMs: 0,
		lastLeaderContactMs: Number.NEGATIVE_INFINITY,
		voteNotBeforeMs: 0,
		campaign: undefined,
		verifiedIndex: 0,
		nextHeartbeatMs: 0,
		nextJoinRequestMs: 0,
		lastTickMs: 0,
		watchingSinceMs: 0,
		progress: new Map(),
		termStartIndex: 0,
		proposals: new Map(),
		proposalBytes: 0,
		heartbeatRound: 0,
		reads: [],
		acceptances: new Map(),
		joinRequests: new Map(),
		requestedSnapshotIndex: undefined,
		snapshotSave: undefined,
		incomingSnapshot: undefined,
	};
}

/** Returns the members in force: the last membership in the log, even if it is not committed. Empty before the cluster is formed. */
export function currentMembers(state: ConsensusState): readonly Member[] {
	return state.configurations.at(-1)?.members ?? [];
}

export function findMember(state: ConsensusState, vm: VmId): Member | undefined {
	return currentMembers(state).find(member => member.vm === vm);
}

/** Returns whether the membership in force contains this VM with this disk. A VM with a replacement disk is not admitted at first. */
export function isAdmitted(state: ConsensusState): boolean {
	return findMember(state, state.vm)?.diskId === state.diskId;
}

/** Returns whether this member has neither a term nor log entries, so that it may still join any cluster. */
export function isBlank({log, hardState}: ConsensusState): boolean {
	return log.lastIndex === 0 && hardState.term === 0;
}

/** Returns whether the VM is a voter with this disk, so that its votes and acknowledgements count towards a quorum. */
export function isVoter(state: ConsensusState, vm: VmId, diskId: string): boolean {
	const member = findMember(state, vm);
	return member?.role === 'voter' && member.diskId === diskId;
}

export function voters(state: ConsensusState): Member[] {
	return currentMembers(state).filter(member => member.role === 'voter');
}

export function quorumSize(state: ConsensusState): number {
	return Math.floor(voters(state).length / 2) + 1;
}

/** Returns whether the outstanding write exceeds the storage timeout. If so, the member must neither lead, vote nor acknowledge entries. */
export function isStorageSlow({state, nowMs}: Pick<Context, 'state' | 'nowMs'>): boolean {
	const {outstandingWrite} = state.persist;
	return outstandingWrite !== undefined && nowMs - outstandingWrite.startedMs > state.timings.storageTimeoutMs;
}

/** Returns whether the storage has not confirmed yet that the loaded state, with the disk id, is on disk. */
export function isConfirmationPending({persist}: ConsensusState): boolean {
	return persist.outstandingWrite?.sequence === confirmationSequence;
}

/** Sends a message with the envelope fields at once, without waiting for outstanding writes. */
export function sendNow(context: Context, to: VmId, toDisk: string | undefined, body: MessageBody & {readonly term?: number}): void {
	context.effects.push(createSendEffect(context.state, to, toDisk, body));
}

export function createSendEffect(state: ConsensusState, to: VmId, toDisk: string | undefined, body: MessageBody & {readonly term?: number}): ConsensusEffect {
	const {cluster, term} = state.hardState;
	return {
		type: 'send', to, message: {
			cluster, disk: state.diskId, toDisk, term, ...body,
		},
	};
}

export function incrementCounter(context: Context, metric: string, labels?: Readonly<Record<string, string>>): void {
	context.effects.push({type: 'count', metric, ...(labels && {labels})});
}

/** Sets the role and the leader, and emits `consensus/role` if either changed. */
export function setRole(context: Context, role: ConsensusRole, leader: VmId | undefined): void {
	const {state, effects} = context;
	if (state.role === role && state.leader === leader) {
		return;
	}

	state.role = role;
	state.leader = leader;
	effects.push({
		type: 'consensus/role', role, term: state.hardState.term, leader,
	});
}
