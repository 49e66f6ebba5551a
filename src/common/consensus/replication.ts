import type {ReplyToken, VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState, Progress} from './state.js';
import type {LogEntry} from './types.js';
import {
	appendEntry, sendWhenDurable, truncateLog,
} from './durability.js';
import {halt} from './election.js';
import {leaveIfRemoved, promoteLearner} from './membership.js';
import {answerReads} from './read-index.js';
import {estimateBytes} from './size.js';
import {applyCommitted, sendSnapshotChunk} from './snapshot.js';
import {
	count, currentMembers, isStorageSlow, quorum, sendNow, voters,
} from './state.js';

/** Starts to track every other member of the membership in force. Keeps what is known of members that stay. */
export function startProgress({state, nowMs}: Context): void {
	const known = new Map(state.progress);
	state.progress.clear();
	for (const {vm, diskId} of currentMembers(state)) {
		const previous = known.get(vm);
		if (vm !== state.vm) {
			state.progress.set(vm, previous?.diskId === diskId
				? previous
				: {
					diskId, match: 0, next: state.log.lastIndex + 1, inFlight: [], isProbing: true, contactMs: nowMs, round: 0, transfer: undefined,
				});
		}
	}
}

export function stopProgress(state: ConsensusState): void {
	state.progress.clear();
}

/** Appends a proposal to the log, or drops it with the reason. */
export function propose(context: Context, token: ReplyToken, command: unknown): void {
	const {state, effects} = context;
	const {leader, limits} = state;
	if (state.role !== 'leader') {
		effects.push({
			type: 'consensus/dropped', token, reason: 'not-leader', leader,
		});
		return;
	}

	const bytes = estimateBytes(command);
	const isFull = state.proposals.size >= limits.maxProposals || state.proposalBytes + bytes > limits.maxProposalBytes;
	if (bytes > limits.maxCommandBytes || isFull) {
		effects.push({
			type: 'consensus/dropped', token, reason: isFull ? 'overloaded' : 'too-large', leader,
		});
		return;
	}

	appendOwn(context, {kind: 'command', command}, token, bytes);
}

/** Appends an entry of the leader's term and sends it. */
export function appendOwn(context: Context, payload: LogEntry['payload'], token: ReplyToken | undefined, bytes = 0): void {
	const {state} = context;
	const index = state.log.lastIndex + 1;
	appendEntry(context, {index, term: state.hard.term, payload});
	if (token !== undefined) {
		state.proposals.set(index, {token, bytes});
		state.proposalBytes += bytes;
	}

	broadcastAppend(context, false);
}

/** Sends new entries to every member; with `isHeartbeat`, something to every member. */
export function broadcastAppend(context: Context, isHeartbeat: boolean): void {
	for (const [vm, progress] of context.state.progress) {
		sendAppend(context, vm, progress, isHeartbeat);
	}
}

/** Sends the entries that the flow-control window allows. */
export function sendAppend(context: Context, vm: VmId, progress: Progress, isHeartbeat: boolean): void {
	const {state} = context;
	const {log, limits} = state;
	if (progress.transfer ?? progress.next <= log.baseIndex) {
		sendSnapshotChunk(context, vm, progress);
		if (isHeartbeat) {
			sendEntries(context, vm, progress, {prevIndex: 0, prevTerm: 0, entries: []});
		}

		return;
	}

	const window = progress.isProbing ? 1 : limits.maxInFlight;
	let mustSend = isHeartbeat;
	while (mustSend || (progress.next <= log.lastIndex && progress.inFlight.length < window)) {
		const isOpen = progress.inFlight.length < window;
		const entries = isOpen ? log.slice(progress.next, limits.maxBatchEntries, limits.maxBatchBytes) : [];
		const previousIndex = progress.next - 1;
		sendEntries(context, vm, progress, {prevIndex: previousIndex, prevTerm: log.termAt(previousIndex)!, entries});
		progress.next += entries.length;
		if (entries.length > 0) {
			progress.inFlight.push(progress.next - 1);
		}

		mustSend = false;
	}
}

type Batch = {readonly prevIndex: number; readonly prevTerm: number; readonly entries: readonly LogEntry[]};

function sendEntries(context: Context, vm: VmId, progress: Progress, batch: Batch): void {
	const {state} = context;
	sendNow(context, vm, progress.diskId, {
		type: 'consensus/append', ...batch, commit: state.hard.commit, round: state.round, acknowledged: progress.match,
	});
}

/** Expects the sender to be the leader of the current term. */
export function handleAppend(context: Context, from: VmId, message: MessageOf<'consensus/append'>): void {
	const {state} = context;
	const {log} = state;
	if (message.acknowledged > log.lastIndex) {
		halt(context, `the log ends at ${log.lastIndex} but ${message.acknowledged} was acknowledged: the data folder is older than that`);
		return;
	}

	const {prevIndex, prevTerm, entries, round} = message;
	if (prevIndex > state.hard.commit && log.termAt(prevIndex) !== prevTerm) {
		reply(context, from, message, {ok: false, hint: mismatchHint(context, prevIndex), round});
		return;
	}

	storeEntries(context, entries);
	state.verified = Math.max(state.verified, prevIndex + entries.length);
	const commit = Math.min(message.commit, state.verified);
	if (commit > state.hard.commit) {
		state.hard = {...state.hard, commit};
		applyCommitted(context);
	}

	reply(context, from, message, {ok: true, hint: 0, round});
}

/** Adds the entries the log lacks. Entries up to the commit index never conflict, and the log may no longer hold them. */
function storeEntries(context: Context, entries: readonly LogEntry[]): void {
	const {state} = context;
	for (const entry of entries) {
		const isKnown = entry.index <= state.hard.commit || state.log.termAt(entry.index) === entry.term;
		if (!isKnown) {
			if (entry.index <= state.log.lastIndex) {
				truncateLog(context, entry.index);
			}

			appendEntry(context, entry);
		}
	}
}

/** Where the leader should continue: before the conflicting term, so that a long conflict takes few round trips. */
function mismatchHint({state}: Context, previousIndex: number): number {
	const {log, hard} = state;
	return previousIndex > log.lastIndex ? log.lastIndex : Math.max(hard.commit, log.startOfTerm(previousIndex, hard.commit) - 1);
}

type ReplyFields = {readonly ok: boolean; readonly hint: number; readonly round: number};

function reply(context: Context, to: VmId, {disk}: {readonly disk: string}, fields: ReplyFields): void {
	const {state} = context;
	if (!isStorageSlow(context)) {
		sendWhenDurable(context, to, disk, {type: 'consensus/append-reply', match: acknowledgeable(state), ...fields});
	}
}

/** Entries that this member may acknowledge: on its disk, and known to agree with the leader's log. */
function acknowledgeable({verified, persist}: ConsensusState): number {
	return Math.min(verified, persist.durableIndex);
}

/** Acknowledges to the leader what a finished write made durable. */
export function acknowledgeWrite(context: Context): void {
	const {state} = context;
	if (state.leader !== undefined && state.leader !== state.vm) {
		reply(context, state.leader, {disk: state.leaderDisk}, {ok: true, hint: 0, round: 0});
	}
}

/** Expects the message's term to be the current one. */
export function handleAppendReply(context: Context, from: VmId, message: MessageOf<'consensus/append-reply'>): void {
	const {state} = context;
	const progress = trackedProgress(context, from, message);
	if (!progress) {
		return;
	}

	if (message.ok) {
		progress.isProbing = false;
		acknowledge(progress, message.match);
	} else if (message.hint >= progress.match && message.hint < progress.next) {
		progress.next = Math.min(message.hint, state.log.lastIndex) + 1;
		progress.inFlight = [];
		progress.isProbing = true;
	}

	advanceCommit(context);
	promoteLearner(context, from, progress);
	sendAppend(context, from, progress, false);
	answerReads(context);
}

/** The sender's progress, refreshed; undefined unless this member leads and the sender's disk is the admitted one. */
export function trackedProgress(context: Context, from: VmId, message: {readonly disk: string; readonly round: number}): Progress | undefined {
	const progress = context.state.progress.get(from);
	if (context.state.role !== 'leader' || progress?.diskId !== message.disk) {
		count(context, 'consensus_ignored_replies');
		return undefined;
	}

	progress.contactMs = context.nowMs;
	progress.round = Math.max(progress.round, message.round);
	return progress;
}

/** Records what a member has on disk. */
export function acknowledge(progress: Progress, match: number): void {
	progress.match = Math.max(progress.match, match);
	progress.next = Math.max(progress.next, progress.match + 1);
	progress.inFlight = progress.inFlight.filter(index => index > progress.match);
	if (progress.transfer && match >= progress.transfer.snapshot.index) {
		progress.transfer = undefined;
	}
}

/** Commits what a quorum of voters has on disk, if the last such entry is of the leader's own term. */
export function advanceCommit(context: Context): void {
	const {state} = context;
	const durable = voters(state).map(({vm}) => vm === state.vm ? state.persist.durableIndex : state.progress.get(vm)?.match ?? 0);
	const index = durable.sort((a, b) => b - a)[quorum(state) - 1] ?? 0;
	if (index <= state.hard.commit || state.log.termAt(index) !== state.hard.term) {
		return;
	}

	state.hard = {...state.hard, commit: index};
	applyCommitted(context);
	leaveIfRemoved(context);
	answerReads(context);
}
