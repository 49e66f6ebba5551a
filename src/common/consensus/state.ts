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
};

// A frame between processes holds at most 1 MiB, so an entry, a batch or a chunk takes at most half of that.
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
	readonly bytes: Uint8Array;
	offset: number;
	/** When the chunk at `offset` was last sent. */
	sentMs: number;
};

/** Replication state that the leader keeps for another member. */
export type Progress = {
	readonly diskId: string;
	/** Highest index that the member has acknowledged as durable. */
	match: number;
	/** Index of the next entry to send. It runs ahead of `match` while append messages are unacknowledged. */
	next: number;
	/** Last index of each unacknowledged append message. */
	inFlight: number[];
	/** Whether the last index at which the logs agree is unknown. Until it is known, one message at a time is sent. */
	isProbing: boolean;
	/** When the member last replied in this term, by the leader's clock; before its first reply, when tracking began. */
	lastContactMs: number;
	/** Highest heartbeat round that the member has confirmed. */
	round: number;
	transfer: SnapshotTransfer | undefined;
};

export type PendingRead = {
	readonly token: ReplyToken;
	/** Heartbeat round that confirms the read; any later round does so too. */
	readonly round: number;
	/** Whether that round may start with the next regular heartbeat instead of at once. */
	readonly mayWait: boolean;
};

export type Campaign = {
	readonly kind: 'pre-vote' | 'vote';
	readonly votes: Set<VmId>;
};

/** A snapshot that is being received in chunks. */
export type IncomingSnapshot = {
	readonly index: number;
	readonly entryTerm: number;
	readonly members: readonly Member[];
	readonly bytes: Uint8Array;
	received: number;
};

export type PersistState = {
	nextSequence: number;
	/** Write that was handed to the storage and is not on disk yet. */
	outstandingWrite: {readonly sequence: number; readonly hardState: HardState | undefined; lastIndex: number; readonly startedMs: number} | undefined;
	/** Whether term, vote or cluster differ from what was last handed to the storage. */
	isHardStateDirty: boolean;
	truncateFrom: number | undefined;
	entries: LogEntry[];
	/** Last hard state known to be on disk. */
	durableHardState: HardState;
	/** Entries up to this index are on disk. */
	durableIndex: number;
	/** Messages to send once the batch `sequence` is on disk. */
	heldMessages: Array<{readonly sequence: number; readonly effect: ConsensusEffect}>;
};

/** State of the replicated log on one member; `reduceConsensus` updates it in place. */
export type ConsensusState = {
	readonly vm: VmId;
	readonly diskId: string;
	initialVms: readonly VmId[];
	/** VMs besides `initialVms` that receive requests for admission. */
	knownVms: readonly VmId[];
	readonly admitsNewVms: boolean;
	readonly timings: ConsensusTimings;
	readonly limits: ConsensusLimits;
	readonly random: SeededRandom;
	hardState: HardState;
	role: ConsensusRole;
	leader: VmId | undefined;
	/** Disk id of the leader. Kept here because a membership change may remove the leader from the members. */
	leaderDiskId: string;
	readonly log: EntryLog;
	snapshot: Snapshot | undefined;
	/** Memberships in the log, oldest first. The last one is in force even before it is committed. */
	configurations: Array<{readonly index: number; readonly members: readonly Member[]}>;
	/** Index of the last entry that was passed to the state machine. */
	appliedIndex: number;
	isStarted: boolean;
	readonly persist: PersistState;

	electionDeadlineMs: number;
	/** When this member last heard from a leader or stopped being the leader. */
	lastLeaderContactMs: number;
	/** A restarted member neither votes nor campaigns before this time. */
	voteNotBeforeMs: number;
	campaign: Campaign | undefined;
	/** Entries up to this index are known to agree with the log of this term's leader. */
	verifiedIndex: number;

	nextHeartbeatMs: number;
	nextJoinRequestMs: number;
	readonly progress: Map<VmId, Progress>;
	/** Index of the `noop` entry with which this leader started its term. */
	termStartIndex: number;
	readonly proposals: Map<number, {readonly token: ReplyToken; readonly bytes: number}>;
	proposalBytes: number;
	/** Number of the last heartbeat round. The leader starts a round to confirm its leadership for pending reads. */
	heartbeatRound: number;
	reads: PendingRead[];

	/** Disk ids of the initial VMs that accepted the cluster this member is forming. */
	readonly acceptances: Map<VmId, string>;
	/** Disk ids that asked for admission, by VM; shown to operators. */
	readonly joinRequests: Map<VmId, string>;

	/** Index of the snapshot that was requested from the state machine and has not arrived. */
	requestedSnapshotIndex: number | undefined;
	/** Snapshot being written to disk. Only one is written at a time, so that an older one never replaces a newer one. */
	snapshotSave: {readonly snapshot: Snapshot; readonly isFromLeader: boolean} | undefined;
	incomingSnapshot: IncomingSnapshot | undefined;
};

/** What the handlers of one event share: the state they change and the effects collected so far. */
export type Context = {
	readonly state: ConsensusState;
	readonly nowMs: number;
	readonly effects: ConsensusEffect[];
};

/** Creates the state of a member from the contents of its disk. */
export function createConsensusState({
	vm, stored, initialVms, admitsNewVms = false, seed, timings, limits,
}: ConsensusOptions): ConsensusState {
	const log = new EntryLog(stored.snapshot, stored.entries);
	const commit = Math.max(stored.snapshot?.index ?? 0, Math.min(stored.hardState.commit, log.lastIndex));
	const hardState = {...stored.hardState, commit};
	return {
		vm,
		diskId: stored.diskId,
		initialVms: [...initialVms].sort(),
		knownVms: [],
		admitsNewVms,
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
			outstandingWrite: undefined,
			isHardStateDirty: false,
			truncateFrom: undefined,
			entries: [],
			durableHardState: hardState,
			durableIndex: log.lastIndex,
			heldMessages: [],
		},
		electionDeadlineMs: 0,
		lastLeaderContactMs: Number.NEGATIVE_INFINITY,
		voteNotBeforeMs: 0,
		campaign: undefined,
		verifiedIndex: 0,
		nextHeartbeatMs: 0,
		nextJoinRequestMs: 0,
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

/** Returns the members in force: the last membership in the log, committed or not. */
export function currentMembers(state: ConsensusState): readonly Member[] {
	return state.configurations.at(-1)?.members ?? [];
}

export function findMember(state: ConsensusState, vm: VmId): Member | undefined {
	return currentMembers(state).find(member => member.vm === vm);
}

/** Whether this member's disk belongs to the membership. A VM with a replacement disk is not admitted at first. */
export function isAdmitted(state: ConsensusState): boolean {
	return findMember(state, state.vm)?.diskId === state.diskId;
}

/** Whether this member has neither a term nor log entries, so that it may still join any cluster. */
export function isBlank({log, hardState}: ConsensusState): boolean {
	return log.lastIndex === 0 && hardState.term === 0;
}

/** Whether a vote or an acknowledgement from this VM with this disk counts towards a quorum. */
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

/** Whether the outstanding write exceeds the storage timeout, so that the member must neither lead, vote nor acknowledge. */
export function isStorageSlow({state, nowMs}: Context): boolean {
	const {outstandingWrite} = state.persist;
	return outstandingWrite !== undefined && nowMs - outstandingWrite.startedMs > state.timings.storageTimeoutMs;
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
