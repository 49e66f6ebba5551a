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
	/** Number of members asked to probe a target that did not acknowledge. */
	readonly indirectProbeCount: number;
	/** Time that a suspect has to refute before it is declared dead, in milliseconds. */
	readonly suspicionTimeoutMs: number;
	/** Interval between requests for a page of another member's list, in milliseconds. */
	readonly syncIntervalMs: number;
	/** Interval between attempts to reach dead members and unknown seeds, in milliseconds. */
	readonly rejoinIntervalMs: number;
	/** Time that a dead member stays in the list, in milliseconds. */
	readonly deadRetentionMs: number;
	/** Maximum number of members in the list, including dead ones. */
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
	/** Members still to be probed in the current pass, in random order; the last one is next. */
	probeOrder: VmId[];
	probe: Probe | undefined;
	nextProbeMs: number;
	nextSyncMs: number;
	nextRejoinMs: number;
	nextSequence: number;
	/** When the last message arrived from any member. */
	lastReceivedMs: number;
	/** Whether a page has changed this list in the current pass through another member's list. */
	hasPassChanges: boolean;
	/** VM name after which the next requested page starts; empty for the first page. */
	cursor: string;
	seeds: readonly VmId[];
	leaving: ReadonlySet<VmId>;
	/** When this process last gossiped a change of its load. */
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
		cursor: '',
		seeds: [],
		leaving: new Set(),
		loadPublishedMs: -Infinity,
	};
}

/** Whether a record is newer than the known one: it has the higher incarnation, else the higher revision, else the status closer to dead. */
export function supersedes(candidate: MemberRecord, known: MemberRecord): boolean {
	if (candidate.incarnation !== known.incarnation) {
		return candidate.incarnation > known.incarnation;
	}

	return candidate.revision === known.revision ? statusRank[candidate.status] > statusRank[known.status] : candidate.revision > known.revision;
}

/** Stores and queues a record for dissemination if it is newer than the known one. A record of this process may be refuted instead. */
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
		// Inserted at a random position of the current pass: if members learned together waited for the next pass, all would be probed late.
		state.probeOrder.splice(state.random.integer(0, state.probeOrder.length + 1), 0, record.vm);
	}

	state.members.set(record.vm, {record, statusChangedMs: isChanged ? nowMs : known.statusChangedMs});
	state.updates.add(record);
	const effects: MembershipEffect[] = [{type: 'membership/changed', member: record}];
	// The host logs members that become alive in batches, since a cold start of all VMs would otherwise log a line for each pair of them.
	return isChanged && record.status !== 'alive' ? [...effects, logFailure(record)] : effects;
}

function logFailure({vm, incarnation, status}: MemberRecord): MembershipEffect {
	return {
		type: 'log', level: 'warn', message: `member ${status}`, fields: {member: vm, incarnation},
	};
}

/** Raises this process's revision above that of a record that lists it as suspect or dead, or that has a higher revision than its own. */
function refute(state: MembershipState, record: MemberRecord): MembershipEffect[] {
	const {self} = state;
	const isContradiction = record.revision > self.revision || (record.revision === self.revision && record.status !== 'alive');
	if (record.incarnation !== self.incarnation || !isContradiction || self.status === 'dead') {
		return [];
	}

	changeSelf(state, {revision: record.revision + 1});
	return [{type: 'count', metric: 'membership_refutations_total'}];
}

/** Changes this process's own record. It needs no queueing, since all messages carry it and receivers disseminate it. */
export function changeSelf(state: MembershipState, changes: Partial<MemberRecord>): void {
	state.self = {...state.self, ...changes};
}

/** Alive and suspect members in random order. */
export function shuffledLiveMembers(state: MembershipState): VmId[] {
	const vms = [...state.members.values()].filter(({record}) => record.status !== 'dead').map(({record}) => record.vm);
	for (let i = vms.length - 1; i > 0; i--) {
		const j = state.random.integer(0, i + 1);
		[vms[i], vms[j]] = [vms[j]!, vms[i]!];
	}

	return vms;
}

/** Entry processes as the scheduler sees them; suspects count as live. */
export function entryProcesses(state: MembershipState): EntryProcesses {
	const records = [state.self, ...[...state.members.values()].map(({record}) => record)].filter(({roles}) => roles.includes('entry'));
	const identitiesOf = (isDead: boolean) => records.filter(({status}) => (status === 'dead') === isDead).map(({vm, incarnation}) => ({vm, incarnation}));
	return {live: identitiesOf(false), dead: identitiesOf(true)};
}
