import type {ReplyToken, VmId} from '../core/types.js';
import {SeededRandom} from '../core/random.js';
import type {MessageBody} from './messages.js';
import type {
	ConsensusEffect, ConsensusLimits, ConsensusOptions, ConsensusRole, ConsensusTimings, HardState, LogEntry, Member, Snapshot,
} from './types.js';
import {EntryLog} from './log.js';

export const defaultTimings: ConsensusTimings = {
	heartbeatMs: 100,
	electionMinMs: 500,
	electionMaxMs: 1000,
	storageLimitMs: 1000,
};

// A frame between processes holds at most 1 MiB, so the largest entry, batch or chunk stays at half of it.
export const defaultLimits: ConsensusLimits = {
	maxBatchEntries: 256,
	maxBatchBytes: 262_144,
	maxInFlight: 8,
	maxCommandBytes: 524_288,
	maxProposals: 1024,
	maxProposalBytes: 8_388_608,
	maxReads: 4096,
	snapshotChunkBytes: 262_144,
	maxSnapshotBytes: 268_435_456,
	snapshotEvery: 4096,
	retainedEntries: 1024,
};

/** An encoded snapshot on its way to one follower. */
export type Transfer = {
	readonly snapshot: Snapshot;
	readonly bytes: Uint8Array;
	offset: number;
	sentMs: number;
};

/** What the leader knows of another member. */
export type Progress = {
	readonly diskId: string;
	/** Highest index the member has acknowledged as durable. */
	match: number;
	/** Next index to send; runs ahead of `match` while messages are under way. */
	next: number;
	/** Last index of each append message that is not acknowledged. */
	inFlight: number[];
	/** Where the logs meet is unknown; one message at a time is sent until the member agrees. */
	isProbing: boolean;
	/** When the member last answered in this term, by the leader's clock. */
	contactMs: number;
	/** Highest heartbeat round the member has confirmed. */
	round: number;
	transfer: Transfer | undefined;
};

export type PendingRead = {
	readonly token: ReplyToken;
	/** The read is confirmed by this heartbeat round or a later one. */
	readonly round: number;
	/** Whether the regular heartbeat is early enough to begin that round. */
	readonly mayWait: boolean;
};

export type Campaign = {
	readonly kind: 'pre-vote' | 'vote';
	readonly votes: Set<VmId>;
};

/** A snapshot that is arriving in chunks. */
export type Incoming = {
	readonly index: number;
	readonly entryTerm: number;
	readonly members: readonly Member[];
	readonly bytes: Uint8Array;
	received: number;
};

export type PersistState = {
	nextSequence: number;
	outstanding: {readonly sequence: number; readonly hardState: HardState | undefined; lastIndex: number; readonly sinceMs: number} | undefined;
	/** Term, vote or cluster differ from what was last handed to the storage. */
	isHardStateDirty: boolean;
	truncateFrom: number | undefined;
	entries: LogEntry[];
	/** Last hard state known to be on disk. */
	durable: HardState;
	/** Entries up to this index are on disk. */
	durableIndex: number;
	/** Messages that may leave once the batch `sequence` is on disk. */
	held: Array<{readonly sequence: number; readonly effect: ConsensusEffect}>;
};

/** State of the replicated log on one member; `reduceConsensus` updates it in place. */
export type ConsensusState = {
	readonly vm: VmId;
	readonly diskId: string;
	initialVms: readonly VmId[];
	/** Further VMs to ask for admission. */
	knownVms: readonly VmId[];
	readonly admitsNewVms: boolean;
	readonly timings: ConsensusTimings;
	readonly limits: ConsensusLimits;
	readonly random: SeededRandom;
	hard: HardState;
	role: ConsensusRole;
	leader: VmId | undefined;
	/** Disk id of the leader; known even after a membership change removed it. */
	leaderDisk: string;
	readonly log: EntryLog;
	snapshot: Snapshot | undefined;
	/** Memberships in the log, oldest first; the last one is in force even before it commits. */
	configurations: Array<{readonly index: number; readonly members: readonly Member[]}>;
	applied: number;
	isStarted: boolean;
	readonly persist: PersistState;

	electionDeadlineMs: number;
	/** When the last message of a live leader arrived. */
	leaderContactMs: number;
	/** A member that restarted does not vote before this time. */
	voteNotBeforeMs: number;
	campaign: Campaign | undefined;
	/** Entries up to this index agree with the log of the leader of this term. */
	verified: number;

	nextHeartbeatMs: number;
	nextJoinMs: number;
	readonly progress: Map<VmId, Progress>;
	/** Index of the entry that opened this leader's term. */
	termStart: number;
	readonly proposals: Map<number, {readonly token: ReplyToken; readonly bytes: number}>;
	proposalBytes: number;
	round: number;
	reads: PendingRead[];

	/** Disk ids of the initial VMs that promised themselves to the cluster this member founds. */
	readonly promises: Map<VmId, string>;
	/** Disks that asked for admission, for operators. */
	readonly joinRequests: Map<VmId, string>;

	takingSnapshot: number | undefined;
	/** One snapshot is saved at a time, so that an older one never replaces a newer one. */
	savingSnapshot: {readonly snapshot: Snapshot; readonly isInstall: boolean} | undefined;
	incoming: Incoming | undefined;
};

/** One event under way: the state it changes and the effects it has so far. */
export type Context = {
	readonly state: ConsensusState;
	readonly nowMs: number;
	readonly effects: ConsensusEffect[];
};

/** Creates the state of a member from what its disk holds. */
export function createConsensus({
	vm, stored, initialVms, admitsNewVms = false, seed, timings, limits,
}: ConsensusOptions): ConsensusState {
	const log = new EntryLog(stored.snapshot, stored.entries);
	const commit = Math.max(stored.snapshot?.index ?? 0, Math.min(stored.hardState.commit, log.lastIndex));
	const hard = {...stored.hardState, commit};
	return {
		vm,
		diskId: stored.diskId,
		initialVms: [...initialVms].sort(),
		knownVms: [],
		admitsNewVms,
		timings: {...defaultTimings, ...timings},
		limits: {...defaultLimits, ...limits},
		random: new SeededRandom(seed),
		hard,
		role: 'follower',
		leader: undefined,
		leaderDisk: '',
		log,
		snapshot: stored.snapshot,
		configurations: [
			...(stored.snapshot ? [{index: stored.snapshot.index, members: stored.snapshot.members}] : []),
			...stored.entries.flatMap(({index, payload}) => payload.kind === 'members' ? [{index, members: payload.members}] : []),
		],
		applied: stored.snapshot?.index ?? 0,
		isStarted: false,
		persist: {
			nextSequence: 1,
			outstanding: undefined,
			isHardStateDirty: false,
			truncateFrom: undefined,
			entries: [],
			durable: hard,
			durableIndex: log.lastIndex,
			held: [],
		},
		electionDeadlineMs: 0,
		leaderContactMs: Number.NEGATIVE_INFINITY,
		voteNotBeforeMs: 0,
		campaign: undefined,
		verified: 0,
		nextHeartbeatMs: 0,
		nextJoinMs: 0,
		progress: new Map(),
		termStart: 0,
		proposals: new Map(),
		proposalBytes: 0,
		round: 0,
		reads: [],
		promises: new Map(),
		joinRequests: new Map(),
		takingSnapshot: undefined,
		savingSnapshot: undefined,
		incoming: undefined,
	};
}

/** Members in force: the last membership in the log, committed or not. */
export function currentMembers(state: ConsensusState): readonly Member[] {
	return state.configurations.at(-1)?.members ?? [];
}

export function findMember(state: ConsensusState, vm: VmId): Member | undefined {
	return currentMembers(state).find(member => member.vm === vm);
}

/** Whether this very disk is a member; a VM whose disk was replaced is not. */
export function isAdmitted(state: ConsensusState): boolean {
	return findMember(state, state.vm)?.diskId === state.diskId;
}

/** Whether this member has neither voted nor stored anything; it may still join any cluster. */
export function isBlank({log, hard}: ConsensusState): boolean {
	return log.lastIndex === 0 && hard.term === 0;
}

/** Whether the vote or acknowledgement of a VM with this disk counts. */
export function isVoter(state: ConsensusState, vm: VmId, diskId: string): boolean {
	const member = findMember(state, vm);
	return member?.role === 'voter' && member.diskId === diskId;
}

export function voters(state: ConsensusState): Member[] {
	return currentMembers(state).filter(member => member.role === 'voter');
}

export function quorum(state: ConsensusState): number {
	return Math.floor(voters(state).length / 2) + 1;
}

/** Whether the disk has not finished a write for so long that the member must step aside. */
export function isStorageSlow({state, nowMs}: Context): boolean {
	const {outstanding} = state.persist;
	return outstanding !== undefined && nowMs - outstanding.sinceMs > state.timings.storageLimitMs;
}

/** Adds the envelope and sends at once. */
export function sendNow(context: Context, to: VmId, toDisk: string | undefined, body: MessageBody & {readonly term?: number}): void {
	context.effects.push(sendEffect(context.state, to, toDisk, body));
}

export function sendEffect(state: ConsensusState, to: VmId, toDisk: string | undefined, body: MessageBody & {readonly term?: number}): ConsensusEffect {
	const {cluster, term} = state.hard;
	return {
		type: 'send', to, message: {
			cluster, disk: state.diskId, toDisk, term, ...body,
		},
	};
}

export function count(context: Context, metric: string, labels?: Readonly<Record<string, string>>): void {
	context.effects.push({type: 'count', metric, ...(labels && {labels})});
}

/** Reports a change of role, term or leader. */
export function setRole(context: Context, role: ConsensusRole, leader: VmId | undefined): void {
	const {state, effects} = context;
	if (state.role === role && state.leader === leader) {
		return;
	}

	state.role = role;
	state.leader = leader;
	effects.push({
		type: 'consensus/role', role, term: state.hard.term, leader,
	});
}
