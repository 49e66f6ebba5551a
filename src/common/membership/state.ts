import {SeededRandom} from '../core/random.js';
import type {VmId} from '../core/types.js';
import type {EntryProcesses} from '../scheduler/types.js';
import type {MemberRecord, MembershipEffect, SelfDescription} from './types.js';
import {UpdateQueue} from './update-queue.js';

export type MembershipOptions = {
	readonly self: SelfDescription;
	readonly seed: number;
	/** Interval between probes, in milliseconds. */
	readonly probeEveryMs: number;
	/** Wait for a direct acknowledgement before others are asked to probe, in milliseconds. */
	readonly directTimeoutMs: number;
	/** Members asked to probe one that did not answer. */
	readonly indirectProbes: number;
	/** From suspicion to death, in milliseconds. */
	readonly suspectMs: number;
	/** Interval between exchanges of a page of the list, in milliseconds. */
	readonly exchangeEveryMs: number;
	/** Interval between attempts to reach seeds and members that are lost, in milliseconds. */
	readonly searchEveryMs: number;
	/** How long a dead member is remembered, in milliseconds. */
	readonly rememberDeadMs: number;
	/** Most members remembered, dead ones included. */
	readonly maxMembers: number;
};

export type Member = {
	record: MemberRecord;
	/** When the status last changed. */
	sinceMs: number;
};

export type Probe = {
	readonly target: VmId;
	readonly sequence: number;
	readonly startedMs: number;
	askedOthers: boolean;
};

export type MembershipState = {
	readonly options: MembershipOptions;
	self: MemberRecord;
	/** All known members but this process. */
	readonly members: Map<VmId, Member>;
	readonly updates: UpdateQueue;
	readonly random: SeededRandom;
	/** Members in random order; a full pass probes each once. */
	probeOrder: VmId[];
	probe: Probe | undefined;
	nextProbeMs: number;
	nextExchangeMs: number;
	nextSearchMs: number;
	nextSequence: number;
	/** When any member was last heard. */
	heardMs: number;
	/** Whether a page brought news in the current pass through the list. */
	hasPageNews: boolean;
	/** Page of the list to ask for next. */
	cursor: string;
	seeds: readonly VmId[];
	leaving: ReadonlySet<VmId>;
	/** When the own load was last spread. */
	loadSpreadMs: number;
};

const defaultOptions = {
	seed: 1,
	probeEveryMs: 500,
	directTimeoutMs: 200,
	indirectProbes: 3,
	suspectMs: 2000,
	exchangeEveryMs: 5000,
	searchEveryMs: 5000,
	rememberDeadMs: 300_000,
	maxMembers: 1024,
};

const statusRank = {alive: 0, suspect: 1, dead: 2};

export function createMembership(options: Partial<MembershipOptions> & Pick<MembershipOptions, 'self'>): MembershipState {
	const all = {...defaultOptions, ...options};
	return {
		options: all,
		self: {
			...all.self, revision: 0, status: 'alive', load: 0,
		},
		members: new Map(),
		updates: new UpdateQueue(),
		random: new SeededRandom(all.seed),
		probeOrder: [],
		probe: undefined,
		nextProbeMs: 0,
		nextExchangeMs: 0,
		nextSearchMs: 0,
		nextSequence: 1,
		heardMs: 0,
		hasPageNews: false,
		cursor: '',
		seeds: [],
		leaving: new Set(),
		loadSpreadMs: -Infinity,
	};
}

/** Whether a record is news: a later incarnation, a later revision, or a status nearer to dead. */
export function supersedes(a: MemberRecord, b: MemberRecord): boolean {
	if (a.incarnation !== b.incarnation) {
		return a.incarnation > b.incarnation;
	}

	return a.revision === b.revision ? statusRank[a.status] > statusRank[b.status] : a.revision > b.revision;
}

/** Enters a record if it is news and spreads it. */
export function learn(state: MembershipState, record: MemberRecord, nowMs: number): MembershipEffect[] {
	if (record.vm === state.self.vm) {
		return refute(state, record);
	}

	const known = state.members.get(record.vm);
	const isNews = known ? supersedes(record, known.record) : record.status !== 'dead' && state.members.size < state.options.maxMembers;
	if (!isNews) {
		return [];
	}

	const isChanged = known?.record.status !== record.status || known.record.incarnation !== record.incarnation;
	if (!known) {
		// At a random place in the current pass: appended to the next pass, members learned together would all be probed late.
		state.probeOrder.splice(state.random.integer(0, state.probeOrder.length + 1), 0, record.vm);
	}

	state.members.set(record.vm, {record, sinceMs: isChanged ? nowMs : known.sinceMs});
	state.updates.add(record);
	const effects: MembershipEffect[] = [{type: 'membership/changed', member: record}];
	// Members that come alive are logged together by the host: a start of the whole fleet would write a line for each pair.
	return isChanged && record.status !== 'alive' ? [...effects, logLoss(record)] : effects;
}

function logLoss({vm, incarnation, status}: MemberRecord): MembershipEffect {
	return {
		type: 'log', level: 'warn', message: `member ${status}`, fields: {member: vm, incarnation},
	};
}

/** Answers a record that calls this process suspect or dead, or has a higher revision than its own, with a higher revision. */
function refute(state: MembershipState, record: MemberRecord): MembershipEffect[] {
	const {self} = state;
	const isOutdated = record.revision > self.revision || (record.revision === self.revision && record.status !== 'alive');
	if (record.incarnation !== self.incarnation || !isOutdated || self.status === 'dead') {
		return [];
	}

	changeSelf(state, {revision: record.revision + 1});
	return [{type: 'count', metric: 'membership_refutations_total'}];
}

/** Changes the own record, which every message carries; its receivers spread it. */
export function changeSelf(state: MembershipState, changes: Partial<MemberRecord>): void {
	state.self = {...state.self, ...changes};
}

/** Members that are not dead, in random order. */
export function shuffledMembers(state: MembershipState): VmId[] {
	const vms = [...state.members.values()].filter(({record}) => record.status !== 'dead').map(({record}) => record.vm);
	for (let i = vms.length - 1; i > 0; i--) {
		const j = state.random.integer(0, i + 1);
		[vms[i], vms[j]] = [vms[j]!, vms[i]!];
	}

	return vms;
}

/** Entry processes for the scheduler; suspects still count as live. */
export function entryProcesses(state: MembershipState): EntryProcesses {
	const records = [state.self, ...[...state.members.values()].map(({record}) => record)].filter(({roles}) => roles.includes('entry'));
	const identify = (isDead: boolean) => records.filter(({status}) => (status === 'dead') === isDead).map(({vm, incarnation}) => ({vm, incarnation}));
	return {live: identify(false), dead: identify(true)};
}
