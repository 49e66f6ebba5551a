import {decode, encode} from 'cbor-x';
import type {VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState, Progress} from './state.js';
import type {Member, Snapshot} from './types.js';
import {sendWhenDurable} from './durability.js';
import {acknowledgeWrite, sendAppend, trackedProgress} from './replication.js';
import {count, sendNow} from './state.js';

/** Hands committed entries to the state machine and releases their proposers. */
export function applyCommitted(context: Context): void {
	const {state} = context;
	while (state.applied < state.hard.commit) {
		state.applied++;
		applyEntry(context, state.applied);
	}
}

function applyEntry({state, effects}: Context, index: number): void {
	const {payload} = state.log.at(index)!;
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

/** Restores the state machine from what the disk held: its snapshot, then the entries known to be committed. */
export function restore(context: Context): void {
	const {snapshot} = context.state;
	if (snapshot) {
		context.effects.push({type: 'consensus/install', index: snapshot.index, data: snapshot.data});
	}

	applyCommitted(context);
}

/** Asks for a snapshot once enough entries were applied; a snapshot never runs ahead of the durable log. */
export function requestSnapshot({state, effects}: Context): void {
	const {applied, persist, limits} = state;
	const isDue = applied - (state.snapshot?.index ?? 0) >= limits.snapshotEvery;
	const isBusy = state.takingSnapshot !== undefined || state.savingSnapshot !== undefined;
	if (isDue && !isBusy && applied <= persist.durableIndex) {
		state.takingSnapshot = applied;
		effects.push({type: 'consensus/take-snapshot', index: applied});
	}
}

/** Saves the state that the state machine returned for `index`. */
export function saveTaken(context: Context, index: number, data: unknown): void {
	const {state} = context;
	if (state.takingSnapshot !== index) {
		return;
	}

	state.takingSnapshot = undefined;
	const term = state.log.termAt(index);
	if (term === undefined || index <= (state.snapshot?.index ?? 0) || state.savingSnapshot) {
		return;
	}

	const snapshot = {
		index, term, members: membersAt(state, index), data,
	};
	save(context, snapshot, false);
}

function membersAt(state: ConsensusState, index: number): readonly Member[] {
	return state.configurations.findLast(configuration => configuration.index <= index)?.members ?? [];
}

function save({state, effects}: Context, snapshot: Snapshot, isInstall: boolean): void {
	state.savingSnapshot = {snapshot, isInstall};
	effects.push({type: 'consensus/save-snapshot', snapshot});
}

/** A snapshot is on disk: compacts the log behind it, or replaces log and state machine by it. */
export function completeSave(context: Context, index: number): void {
	const {state} = context;
	const saving = state.savingSnapshot;
	if (saving?.snapshot.index !== index) {
		return;
	}

	state.savingSnapshot = undefined;

	if (saving.isInstall && index > state.hard.commit) {
		install(context, saving.snapshot);
	}

	state.snapshot = saving.snapshot;
	forgetConfigurations(state, saving.snapshot);
	state.log.compact(index - state.limits.retainedEntries);
	acknowledgeWrite(context);
}

function forgetConfigurations(state: ConsensusState, {index, members}: Snapshot): void {
	state.configurations = [{index, members}, ...state.configurations.filter(configuration => configuration.index > index)];
}

function install(context: Context, {index, term, data}: Snapshot): void {
	const {state, effects} = context;
	const {persist} = state;
	const isPrefix = state.log.termAt(index) === term;
	if (isPrefix) {
		persist.durableIndex = Math.max(persist.durableIndex, index);
	} else {
		state.log.reset(index, term);
		state.configurations = [];
		persist.entries = [];
		persist.truncateFrom = index + 1;
		persist.durableIndex = index;
		if (persist.outstanding) {
			persist.outstanding.lastIndex = index;
		}
	}

	state.hard = {...state.hard, commit: index};
	state.applied = index;
	state.verified = Math.max(state.verified, index);
	effects.push({type: 'consensus/install', index, data});
}

/** Sends the next chunk; the same one again when no answer came for a heartbeat interval. */
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
		round: state.round,
	});
}

function startTransfer({snapshot}: ConsensusState): Progress['transfer'] {
	return snapshot && {
		snapshot, bytes: encode(snapshot.data), offset: 0, sentMs: Number.NEGATIVE_INFINITY,
	};
}

/** Expects the sender to be the leader of the current term. */
export function handleSnapshot(context: Context, from: VmId, message: MessageOf<'consensus/snapshot'>): void {
	const {state} = context;
	if (state.savingSnapshot) {
		// The leader sends the chunk again; by then the one under way is on disk.
		return;
	}

	if (message.index <= state.hard.commit || message.total > state.limits.maxSnapshotBytes) {
		const isKnown = message.index <= state.hard.commit;
		count(context, isKnown ? 'consensus_known_snapshots' : 'consensus_oversized_snapshots');
		if (isKnown) {
			answerChunk(context, from, message, message.total);
		}

		return;
	}

	const incoming = collectChunk(state, message);
	const isComplete = incoming.received === incoming.bytes.length;
	if (isComplete) {
		state.incoming = undefined;
		save(context, {
			index: incoming.index, term: incoming.entryTerm, members: incoming.members, data: decode(incoming.bytes),
		}, true);
	} else {
		answerChunk(context, from, message, incoming.received);
	}
}

/** Adds a chunk to what has arrived; a chunk of another snapshot starts anew. */
function collectChunk(state: ConsensusState, message: MessageOf<'consensus/snapshot'>): NonNullable<ConsensusState['incoming']> {
	const {
		index, entryTerm, members, offset, total, data,
	} = message;
	if (state.incoming?.index !== index || state.incoming.entryTerm !== entryTerm || state.incoming.bytes.length !== total) {
		state.incoming = {
			index, entryTerm, members, bytes: new Uint8Array(total), received: 0,
		};
	}

	const {incoming} = state;
	if (offset === incoming.received && offset + data.length <= total) {
		incoming.bytes.set(data, offset);
		incoming.received += data.length;
	}

	return incoming;
}

type ChunkSource = {readonly disk: string; readonly index: number; readonly round: number};

function answerChunk(context: Context, to: VmId, {disk, index, round}: ChunkSource, received: number): void {
	sendWhenDurable(context, to, disk, {
		type: 'consensus/snapshot-reply', index, received, round,
	});
}

/** Expects the message's term to be the current one. */
export function handleSnapshotReply(context: Context, from: VmId, message: MessageOf<'consensus/snapshot-reply'>): void {
	const progress = trackedProgress(context, from, message);
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
