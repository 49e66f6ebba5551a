import type {ReplyToken, VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState, Progress} from './state.js';
import type {LogEntry} from './types.js';
import {
	appendEntry, sendWhenDurable, truncateLog,
} from './durability.js';
import {halt} from './election.js';
import {stepDownIfRemoved, promoteLearner} from './membership.js';
import {answerReads} from './read-index.js';
import {estimateCborBytes} from './cbor-size.js';
import {applyCommitted, sendSnapshotChunk} from './snapshot.js';
import {
	incrementCounter, currentMembers, isStorageSlow, quorumSize, sendNow, voters,
} from './state.js';

/** Tracks the replication progress of all other members in force. Members that were already tracked keep their progress. */
export function trackMembers({state, nowMs}: Context): void {
	const previousProgress = new Map(state.progress);
	state.progress.clear();
	for (const {vm, diskId} of currentMembers(state)) {
		const previous = previousProgress.get(vm);
		if (vm !== state.vm) {
			state.progress.set(vm, previous?.diskId === diskId
				? previous
				: {
					diskId, match: 0, next: state.log.lastIndex + 1, inFlight: [], isProbing: true, lastContactMs: nowMs, round: 0, transfer: undefined,
				});
		}
	}
}

export function stopTracking(state: ConsensusState): void {
	state.progress.clear();
}

/** Appends a proposed command to the log, or drops it with a reason. */
export function propose(context: Context, token: ReplyToken, command: unknown): void {
	const {state, effects} = context;
	const {leader, limits} = state;
	if (state.role !== 'leader') {
		effects.push({
			type: 'consensus/dropped', token, reason: 'not-leader', leader,
		});
		return;
	}

	const bytes = estimateCborBytes(command);
	const isFull = state.proposals.size >= limits.maxProposals || state.proposalBytes + bytes > limits.maxProposalBytes;
	if (bytes > limits.maxCommandBytes || isFull) {
		effects.push({
			type: 'consensus/dropped', token, reason: isFull ? 'overloaded' : 'too-large', leader,
		});
		return;
	}

	appendAsLeader(context, {kind: 'command', command}, token, bytes);
}

/** Appends an entry in the leader's term and sends it to the other members. */
export function appendAsLeader(context: Context, payload: LogEntry['payload'], token: ReplyToken | undefined, bytes = 0): void {
	const {state} = context;
	const index = state.log.lastIndex + 1;
	appendEntry(context, {index, term: state.hardState.term, payload});
	if (token !== undefined) {
		state.proposals.set(index, {token, bytes});
		state.proposalBytes += bytes;
	}

	broadcastAppend(context, false);
}

/** Sends new entries to every member. With `isHeartbeat`, members without new entries get an empty append message. */
export function broadcastAppend(context: Context, isHeartbeat: boolean): void {
	for (const [vm, progress] of context.state.progress) {
		sendAppend(context, vm, progress, isHeartbeat);
	}
}

/**
Sends the entries that the flow-control window allows, or a snapshot chunk if the log no longer holds the next entry. With
`isHeartbeat`, sends at least one append message, which may be empty.
*/
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

	const window = progress.isProbing ? 1 : limits.maxInFlightMessages;
	let mustSend = isHeartbeat;
	while (mustSend || (progress.next <= log.lastIndex && progress.inFlight.length < window)) {
		const hasWindowRoom = progress.inFlight.length < window;
		const entries = hasWindowRoom ? log.slice(progress.next, limits.maxBatchEntries, limits.maxBatchBytes) : [];
		const previousIndex = progress.next - 1;
		sendEntries(context, vm, progress, {prevIndex: previousIndex, prevTerm: log.termAt(previousIndex)!, entries});
		progress.next += entries.length;
		if (entries.length > 0) {
			progress.inFlight.push(progress.next - 1);
		}

		mustSend = false;
	}
}

type AppendBatch = {readonly prevIndex: number; readonly prevTerm: number; readonly entries: readonly LogEntry[]};

function sendEntries(context: Context, vm: VmId, progress: Progress, batch: AppendBatch): void {
	const {state} = context;
	sendNow(context, vm, progress.diskId, {
		type: 'consensus/append', ...batch, commit: state.hardState.commit, round: state.heartbeatRound, acknowledged: progress.match,
	});
}

/** Handles an append message from the leader of the current term. */
export function handleAppend(context: Context, from: VmId, message: MessageOf<'consensus/append'>): void {
	const {state} = context;
	const {log} = state;
	if (message.acknowledged > log.lastIndex) {
		halt(context, `log ends at index ${log.lastIndex}, but index ${message.acknowledged} was acknowledged to the leader: the data folder has lost entries`);
		return;
	}

	const {prevIndex, prevTerm, entries, round} = message;
	if (prevIndex > state.hardState.commit && log.termAt(prevIndex) !== prevTerm) {
		sendAppendReply(context, from, message, {ok: false, hint: mismatchHint(context, prevIndex), round});
		return;
	}

	storeEntries(context, entries);
	state.verifiedIndex = Math.max(state.verifiedIndex, prevIndex + entries.length);
	const commit = Math.min(message.commit, state.verifiedIndex);
	if (commit > state.hardState.commit) {
		state.hardState = {...state.hardState, commit};
		applyCommitted(context);
	}

	sendAppendReply(context, from, message, {ok: true, hint: 0, round});
}

/**
Appends the entries that the log lacks, after removing conflicting ones. Skips committed entries: they never conflict, and the
log may no longer hold them in memory.
*/
function storeEntries(context: Context, entries: readonly LogEntry[]): void {
	const {state} = context;
	for (const entry of entries) {
		const isStored = entry.index <= state.hardState.commit || state.log.termAt(entry.index) === entry.term;
		if (!isStored) {
			if (entry.index <= state.log.lastIndex) {
				truncateLog(context, entry.index);
			}

			appendEntry(context, entry);
		}
	}
}

/**
Returns the index after which the leader resumes sending entries: the end of a log that is too short, or else the index before
all entries of the conflicting term, so that a long conflict takes few round trips.
*/
function mismatchHint({state}: Context, previousIndex: number): number {
	const {log, hardState} = state;
	return previousIndex > log.lastIndex ? log.lastIndex : Math.max(hardState.commit, log.firstIndexOfTerm(previousIndex, hardState.commit) - 1);
}

type ReplyFields = {readonly ok: boolean; readonly hint: number; readonly round: number};

function sendAppendReply(context: Context, to: VmId, {disk}: {readonly disk: string}, fields: ReplyFields): void {
	const {state} = context;
	if (!isStorageSlow(context)) {
		sendWhenDurable(context, to, disk, {type: 'consensus/append-reply', match: acknowledgeableIndex(state), ...fields});
	}
}

/** Returns the index up to which this member may acknowledge entries, because they are on its disk and agree with the leader's log. */
function acknowledgeableIndex({verifiedIndex, persist}: ConsensusState): number {
	return Math.min(verifiedIndex, persist.durableIndex);
}

/** Acknowledges the durable entries to the leader after a write completed. */
export function acknowledgeWrite(context: Context): void {
	const {state} = context;
	if (state.leader !== undefined && state.leader !== state.vm) {
		sendAppendReply(context, state.leader, {disk: state.leaderDiskId}, {ok: true, hint: 0, round: 0});
	}
}

/** Handles a reply of the current term to an append message. */
export function handleAppendReply(context: Context, from: VmId, message: MessageOf<'consensus/append-reply'>): void {
	const {state} = context;
	const progress = refreshProgress(context, from, message);
	if (!progress) {
		return;
	}

	if (message.ok) {
		progress.isProbing = false;
		recordAcknowledgement(progress, message.match);
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

/**
Records contact with the sender of a reply and returns its progress. Returns undefined unless this member is the leader and
the sender's disk is the admitted one.
*/
export function refreshProgress(context: Context, from: VmId, message: {readonly disk: string; readonly round: number}): Progress | undefined {
	const progress = context.state.progress.get(from);
	if (context.state.role !== 'leader' || progress?.diskId !== message.disk) {
		incrementCounter(context, 'consensus_ignored_replies');
		return undefined;
	}

	progress.lastContactMs = context.nowMs;
	progress.round = Math.max(progress.round, message.round);
	return progress;
}

/** Records that a member has the entries up to `match` on disk. */
export function recordAcknowledgement(progress: Progress, match: number): void {
	progress.match = Math.max(progress.match, match);
	progress.next = Math.max(progress.next, progress.match + 1);
	progress.inFlight = progress.inFlight.filter(index => index > progress.match);
	if (progress.transfer && match >= progress.transfer.snapshot.index) {
		progress.transfer = undefined;
	}
}

/** Commits the entries that a quorum of voters has on disk, if the last of these entries is of the leader's own term. */
export function advanceCommit(context: Context): void {
	const {state} = context;
	const durableIndices = voters(state).map(({vm}) => vm === state.vm ? state.persist.durableIndex : state.progress.get(vm)?.match ?? 0);
	const index = durableIndices.sort((a, b) => b - a)[quorumSize(state) - 1] ?? 0;
	if (index <= state.hardState.commit || state.log.termAt(index) !== state.hardState.term) {
		return;
	}

	state.hardState = {...state.hardState, commit: index};
	applyCommitted(context);
	stepDownIfRemoved(context);
	answerReads(context);
}
