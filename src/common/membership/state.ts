import {SeededRandom} from '../core/random.js';
import type {VmId} from '../core/types.js';
import type {EntryProcesses} from '../scheduler/types.js';
import type {MemberRecord, MembershipEffect, LocalMember} from './types.js';
import {UpdateQueue} from './update-queue.js';

export type MembershipOptions = {
	readonly self: LocalMember;
	readonly seed: number;
	/** Interval between probes, in milliseconds. */
	readonly probeIntervalMs: number;
	/** Time to wait for the acknowledgement of a direct probe before indirect probes are requested, in milliseconds. */
	readonly directProbeTimeoutMs: number;
	/** Number of members asked for an indirect probe of a target that did not acknowledge the direct probe. */
	readonly indirectProbeCount: number;
	/** Time that a suspect has to refute the suspicion before it is declared dead, in milliseconds. */
	readonly suspicionTimeoutMs: number;
	/** Interval between requests for a page of another member's list, in milliseconds. */
	readonly syncIntervalMs: number;
	/** Interval between attempts to reach dead members and seeds that are not in the member list, in milliseconds. */
	readonly rejoinIntervalMs: number;
	/** Time that a dead member stays in the list, in milliseconds. */
	readonly deadRetentionMs: number;
	/** Maximum number of members in the list, including dead members; records of further members are ignored. */
	readonly maxMembers: number;
};

export type Member = {
	record: MemberRecord;
	/** When the status or the incarnation last changed, or when the suspicion timeout was restarted. */
	statusChangedMs: number;
};

export type Probe = {
	readonly target: VmId;
	readonly sequence: number;
	readonly startedMs: number;
	/** Whether indirect probes have been requested. */
	hasIndirectProbes: boolean;
};

export type MembershipState = {
	readonly options: MembershipOptions;
	self: MemberRecord;
	/** All known members except this process. */
	readonly members: Map<VmId, Member>;
	readonly updates: UpdateQueue;
	readonly random: SeededRandom;
	/** Members still to be probed in the current pass, in random order; the last element is probed next. */
	probeOrder: VmId[];
	/** Probe that has not been acknowledged yet. */
	probe: Probe | undefined;
	nextProbeMs: number;
	nextSyncMs: number;
	nextRejoinMs: number;
	nextSequence: number;
	/** When the last message arrived from any member. */
	lastReceivedMs: number;
	/** Whether a page of the current pass through the member list, or the last page of the previous pass, has changed the list of this process. */
	hasPassChanges: boolean;
	/** Whether this process reads the whole member list of others because it may have missed updates while it was cut off or suspended. */
	isCatchingUp: boolean;
	/** VM name after which the next requested page starts; empty for the first page. */
	cursor: string;
	/** VMs to contact while they are not in the member list. */
	seeds: readonly VmId[];
	/** VMs that the platform is about to remove. */
	leaving: ReadonlySet<VmId>;
	/** When this process last gossiped a change of its load; `-Infinity` before the first change. */
	loadPublishedMs: number;
};

const defaultOptions = {
	seed: 1,
	probeIntervalMs: 500,
	directProbeTimeoutMs: 200,
	indirectProbeCount: 3,
	suspicionTimeoutMs: 2000,
	syncIntervalMs: 5000,
	rejoinIntervalMs: 5000,
	deadRetentionMs: 300_000,
	maxMembers: 1024,
};

const statusRank = {alive: 0, suspect: 1, dead: 2};

export function createMembership(options: Partial<MembershipOptions> & Pick<MembershipOptions, 'self'>): MembershipState {
	const resolvedOptions = {...defaultOptions, ...options};
	return {
		options: resolvedOptions,
		self: {
			...resolvedOptions.self, revision: 0, status: 'alive', load: 0,
		},
		members: new Map(),
		updates: new UpdateQueue(),
		random: new SeededRandom(resolvedOptions.seed),
		probeOrder: [],
		probe: undefined,
		nextProbeMs: 0,
		nextSyncMs: 0,
		nextRejoinMs: 0,
		nextSequence: 1,
		lastReceivedMs: 0,
		hasPassChanges: false,
		isCatchingUp: false,
		cursor: '',
		seeds: [],
		leaving: new Set(),
		loadPublishedMs: -Infinity,
	};
}

/** Whether a record is newer than the known record of the same member. The higher incarnation decides; if the incarnations are equal, the higher revision; if the revisions are equal too, the status closer to dead. */
export function supersedes(candidate: MemberRecord, known: MemberRecord): boolean {
	if (candidate.incarnation !== known.incarnation) {
		return candidate.incarnation > known.incarnation;
	}

	return candidate.revision === known.revision ? statusRank[candidate.status] > statusRank[known.status] : candidate.revision > known.revision;
}

/**
Stores a record and queues it for dissemination if it is newer than the known record of the member. The first record of a member is accepted
unless its status is `dead` or the list is full. A record of this process is not stored, but refuted if it contradicts the process's own record.
*/
export function mergeRecord(state: MembershipState, record: MemberRecord, nowMs: number): MembershipEffect[] {
	if (record.vm === state.self.vm) {
		return refute(state, record);
	}

	const known = state.members.get(record.vm);
	const isAccepted = known ? supersedes(record, known.record) : record.status !== 'dead' && state.members.size < state.options.maxMembers;
	if (!isAccepted) {
		return [];
	}

	const isChanged = known?.record.status !== record.status || known.record.incarnation !== record.incarnation;
	if (!known) {
		// The new member gets a random position in the current probe pass. Otherwise, members learned together would all wait for the next pass, and their deaths would be detected late.
		state.probeOrder.splice(state.random.integer(0, state.probeOrder.length + 1), 0, record.vm);
	}

	state.members.set(record.vm, {record, statusChangedMs: isChanged ? nowMs : known.statusChangedMs});
	state.updates.add(record);
	const effects: MembershipEffect[] = [{type: 'membership/changed', member: record}];
	// Only suspect and dead members are logged here. The host logs members that become alive in batches, since a cold start of all VMs would otherwise log a line for each pair of VMs.
	return isChanged && record.status !== 'alive' ? [...effects, logFailure(record)] : effects;
}

function logFailure({vm, incarnation, status}: MemberRecord): MembershipEffect {
	return {
		type: 'log', level: 'warn', message: `member ${status}`, fields: {member: vm, incarnation},
	};
}

/**
Refutes a record that contradicts this process's own record, by raising the own revision above that of the other record. Such a record
has a higher revision, or an equal revision and the status suspect or dead. Records of another incarnation are ignored, and
so are all records once this process has announced its end.
*/
function refute(state: MembershipState, record: MemberRecord): MembershipEffect[] {
	const {self} = state;
	const isContradiction = record.revision > self.revision || (record.revision === self.revision && record.status !== 'alive');
	if (record.incarnation !== self.incarnation || !isContradiction || self.status === 'dead') {
		return [];
	}

	changeSelf(state, {revision: record.revision + 1});
	return [{type: 'count', metric: 'membership_refutations_total'}];
}

/** Changes this process's own record. The record is not queued for dissemination, since all messages except pages of the member list carry it anyway and receivers disseminate it. */
export function changeSelf(state: MembershipState, changes: Partial<MemberRecord>): void {
	state.self = {...state.self, ...changes};
}

/** Returns the alive and suspect members in random order. */
export function shuffledLiveMembers(state: MembershipState): VmId[] {
	const vms = [...state.members.values()].filter(({record}) => record.status !== 'dead').map(({record}) => record.vm);
	for (let i = vms.length - 1; i > 0; i--) {
		const j = state.random.integer(0, i + 1);
		[vms[i], vms[j]] = [vms[j]!, vms[i]!];
	}

	return vms;
}

/** Returns the identities of all known entry processes, this process included, divided into live and dead ones. Suspects count as live. */
export function entryProcesses(state: MembershipState): EntryProcesses {
	const records = [state.self, ...[...state.members.values()].map(({record}) => record)].filter(({roles}) => roles.includes('entry'));
	const identitiesOf = (isDead: boolean) => records.filter(({status}) => (status === 'dead') === isDead).map(({vm, incarnation}) => ({vm, incarnation}));
	return {live: identitiesOf(false), dead: identitiesOf(true)};
}
