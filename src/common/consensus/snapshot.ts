import {decode, encode} from 'cbor-x';
import type {VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState, Progress} from './state.js';
import type {Member, Snapshot} from './types.js';
import {sendWhenDurable} from './durability.js';
import {acknowledgeWrite, sendAppend, refreshProgress} from './replication.js';
import {incrementCounter, sendNow} from './state.js';

/** Emits the effects that pass newly committed entries to the state machine, with the tokens of their proposals. */
export function applyCommitted(context: Context): void {
	const {state} = context;
	while (state.appliedIndex < state.hardState.commit) {
		state.appliedIndex++;
		applyEntry(context, state.appliedIndex);
	}
}

function applyEntry({state, effects}: Context, index: number): void {
	const {payload} = state.log.entryAt(index)!;
	const proposal = state.proposals.get(index);
	const token = proposal?.token;
	if (proposal) {
		state.proposals.delete(index);
		state.proposalBytes -= proposal.bytes;
	}

	if (payload.kind === 'command') {
		effects.push({
			type: 'consensus/committed', index, command: payload.command, token,
		});
	} else if (payload.kind === 'members') {
		effects.push({
			type: 'consensus/members-committed', index, members: payload.members, token,
		});
	}
}

/** Restores the state machine from the stored snapshot and the stored entries that are known to be committed. */
export function restoreStateMachine(context: Context): void {
	const {snapshot} = context.state;
	if (snapshot) {
		context.effects.push({type: 'consensus/install', index: snapshot.index, data: snapshot.data});
	}

	applyCommitted(context);
}

/**
Requests a snapshot from the state machine once `snapshotIntervalEntries` entries are applied after the last snapshot and all
applied entries are on disk: a snapshot must not be newer than the durable log.
*/
export function requestSnapshotIfDue({state, effects}: Context): void {
	const {appliedIndex, persist, limits} = state;
	const isDue = appliedIndex - (state.snapshot?.index ?? 0) >= limits.snapshotIntervalEntries;
	const isBusy = state.requestedSnapshotIndex !== undefined || state.snapshotSave !== undefined;
	if (isDue && !isBusy && appliedIndex <= persist.durableIndex) {
		state.requestedSnapshotIndex = appliedIndex;
		effects.push({type: 'consensus/take-snapshot', index: appliedIndex});
	}
}

/** Saves the state machine's state after `index` as a snapshot, unless a newer snapshot exists or another snapshot is being saved. */
export function saveTakenSnapshot(context: Context, index: number, data: unknown): void {
	const {state} = context;
	if (state.requestedSnapshotIndex !== index) {
		return;
	}

	state.requestedSnapshotIndex = undefined;
	const term = state.log.termAt(index);
	if (term === undefined || index <= (state.snapshot?.index ?? 0) || state.snapshotSave) {
		return;
	}

	const snapshot = {
		index, term, members: membersAt(state, index), data,
	};
	saveSnapshot(context, snapshot, false);
}

function membersAt(state: ConsensusState, index: number): readonly Member[] {
	return state.configurations.findLast(configuration => configuration.index <= index)?.members ?? [];
}

function saveSnapshot({state, effects}: Context, snapshot: Snapshot, isFromLeader: boolean): void {
	state.snapshotSave = {snapshot, isFromLeader};
	effects.push({type: 'consensus/save-snapshot', snapshot});
}

/**
Handles a snapshot that is now on disk: installs it if it came from the leader and is newer than the commit index,
then compacts the log.
*/
export function completeSnapshotSave(context: Context, index: number): void {
	const {state} = context;
	const save = state.snapshotSave;
	if (save?.snapshot.index !== index) {
		return;
	}

	state.snapshotSave = undefined;

	if (save.isFromLeader && index > state.hardState.commit) {
		installSnapshot(context, save.snapshot);
	}

	state.snapshot = save.snapshot;
	compactConfigurations(state, save.snapshot);
	state.log.compact(index - state.limits.retainedEntries);
	acknowledgeWrite(context);
}

function compactConfigurations(state: ConsensusState, {index, members}: Snapshot): void {
	state.configurations = [{index, members}, ...state.configurations.filter(configuration => configuration.index > index)];
}

function installSnapshot(context: Context, {index, term, data}: Snapshot): void {
	const {state, effects} = context;
	const {persist} = state;
	const hasMatchingEntry = state.log.termAt(index) === term;
	if (hasMatchingEntry) {
		persist.durableIndex = Math.max(persist.durableIndex, index);
	} else {
		state.log.reset(index, term);
		state.configurations = [];
		persist.entries = [];
		persist.truncateFrom = index + 1;
		persist.durableIndex = index;
		if (persist.outstandingWrite) {
			persist.outstandingWrite.lastIndex = index;
		}
	}

	state.hardState = {...state.hardState, commit: index};
	state.appliedIndex = index;
	state.verifiedIndex = Math.max(state.verifiedIndex, index);
	effects.push({type: 'consensus/install', index, data});
}

/** Sends the chunk at the transfer's offset, unless that chunk was sent less than a heartbeat interval ago. Starts a transfer if there is none. */
export function sendSnapshotChunk(context: Context, vm: VmId, progress: Progress): void {
	const {state, nowMs} = context;
	progress.transfer ??= startTransfer(state);
	const {transfer} = progress;
	if (!transfer || nowMs - transfer.sentMs < state.timings.heartbeatMs) {
		return;
	}

	const {snapshot, bytes, offset} = transfer;
	transfer.sentMs = nowMs;
	sendNow(context, vm, progress.diskId, {
		type: 'consensus/snapshot',
		index: snapshot.index,
		entryTerm: snapshot.term,
		members: [...snapshot.members],
		offset,
		total: bytes.length,
		data: bytes.slice(offset, offset + state.limits.snapshotChunkBytes),
		round: state.heartbeatRound,
	});
}

function startTransfer({snapshot}: ConsensusState): Progress['transfer'] {
	return snapshot && {
		snapshot, bytes: encode(snapshot.data), offset: 0, sentMs: Number.NEGATIVE_INFINITY,
	};
}

/** Handles a snapshot chunk from the leader of the current term. */
export function handleSnapshot(context: Context, from: VmId, message: MessageOf<'consensus/snapshot'>): void {
	const {state} = context;
	if (state.snapshotSave) {
		// Another snapshot is being saved. The chunk can be ignored, because the leader repeats it until it is acknowledged.
		return;
	}

	if (message.index <= state.hardState.commit || message.total > state.limits.maxSnapshotBytes) {
		const isAlreadyCommitted = message.index <= state.hardState.commit;
		incrementCounter(context, isAlreadyCommitted ? 'consensus_known_snapshots' : 'consensus_oversized_snapshots');
		if (isAlreadyCommitted) {
			acknowledgeChunk(context, from, message, message.total);
		}

		return;
	}

	const incomingSnapshot = collectChunk(state, message);
	const isComplete = incomingSnapshot.received === incomingSnapshot.bytes.length;
	if (isComplete) {
		state.incomingSnapshot = undefined;
		saveSnapshot(context, {
			index: incomingSnapshot.index, term: incomingSnapshot.entryTerm, members: incomingSnapshot.members, data: decode(incomingSnapshot.bytes),
		}, true);
	} else {
		acknowledgeChunk(context, from, message, incomingSnapshot.received);
	}
}

/** Adds a chunk to the incoming snapshot and returns that snapshot. A chunk of a different snapshot discards the chunks received before. */
function collectChunk(state: ConsensusState, message: MessageOf<'consensus/snapshot'>): NonNullable<ConsensusState['incomingSnapshot']> {
	const {
		index, entryTerm, members, offset, total, data,
	} = message;
	if (state.incomingSnapshot?.index !== index || state.incomingSnapshot.entryTerm !== entryTerm || state.incomingSnapshot.bytes.length !== total) {
		state.incomingSnapshot = {
			index, entryTerm, members, bytes: new Uint8Array(total), received: 0,
		};
	}

	const {incomingSnapshot} = state;
	if (offset === incomingSnapshot.received && offset + data.length <= total) {
		incomingSnapshot.bytes.set(data, offset);
		incomingSnapshot.received += data.length;
	}

	return incomingSnapshot;
}

type ChunkSource = {readonly disk: string; readonly index: number; readonly round: number};

function acknowledgeChunk(context: Context, to: VmId, {disk, index, round}: ChunkSource, received: number): void {
	sendWhenDurable(context, to, disk, {
		type: 'consensus/snapshot-reply', index, received, round,
	});
}

/** Handles a reply of the current term to a snapshot chunk. */
export function handleSnapshotReply(context: Context, from: VmId, message: MessageOf<'consensus/snapshot-reply'>): void {
	const progress = refreshProgress(context, from, message);
	const transfer = progress?.transfer;
	if (!progress || transfer?.snapshot.index !== message.index) {
		return;
	}

	if (message.received >= transfer.bytes.length) {
		progress.transfer = undefined;
		progress.next = message.index + 1;
		progress.inFlight = [];
		sendAppend(context, from, progress, true);
	} else if (message.received !== transfer.offset) {
		transfer.offset = message.received;
		transfer.sentMs = Number.NEGATIVE_INFINITY;
		sendSnapshotChunk(context, from, progress);
	}
}
