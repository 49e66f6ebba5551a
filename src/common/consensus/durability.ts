import type {VmId} from '../core/types.js';
import type {MessageBody} from './messages.js';
import type {HardState, LogEntry} from './types.js';
import type {Context} from './state.js';
import {createSendEffect} from './state.js';

/** Changes term, vote or cluster. Messages that depend on the change are held back until the change is on disk. */
export function updateHardState({state}: Context, change: Partial<HardState>): void {
	state.hardState = {...state.hardState, ...change};
	state.persist.isHardStateDirty = true;
}

/** Appends an entry to the log and to the next write. */
export function appendEntry({state}: Context, entry: LogEntry): void {
	state.log.append(entry);
	state.persist.entries.push(entry);
	if (entry.payload.kind === 'members') {
		state.configurations.push({index: entry.index, members: entry.payload.members});
	}
}

/** Removes the entries from `index` on, including those in the next write and in the outstanding write. */
export function truncateLog({state}: Context, index: number): void {
	const {persist} = state;
	state.log.truncate(index);
	state.configurations = state.configurations.filter(configuration => configuration.index < index);
	persist.entries = persist.entries.filter(entry => entry.index < index);
	persist.truncateFrom = Math.min(index, persist.truncateFrom ?? index);
	persist.durableIndex = Math.min(persist.durableIndex, index - 1);
	if (persist.outstandingWrite) {
		persist.outstandingWrite.lastIndex = Math.min(persist.outstandingWrite.lastIndex, index - 1);
	}
}

/** Sends a message once the current term, vote and cluster are on disk. */
export function sendWhenDurable(context: Context, to: VmId, toDisk: string | undefined, body: MessageBody): void {
	const {state, effects} = context;
	const {persist} = state;
	const effect = createSendEffect(state, to, toDisk, body);
	if (persist.isHardStateDirty) {
		persist.heldMessages.push({sequence: persist.nextSequence, effect});
	} else if (persist.outstandingWrite?.hardState) {
		persist.heldMessages.push({sequence: persist.outstandingWrite.sequence, effect});
	} else {
		effects.push(effect);
	}
}

/** Hands all changes to the storage in one batch. While a write is outstanding, changes are collected for the next batch. */
export function flush({state, nowMs, effects}: Context): void {
	const {persist} = state;
	const hasNothingToWrite = !persist.isHardStateDirty && persist.entries.length === 0 && persist.truncateFrom === undefined;
	if (persist.outstandingWrite !== undefined || hasNothingToWrite) {
		return;
	}

	const sequence = persist.nextSequence++;
	const batch = {
		sequence, hardState: state.hardState, truncateFrom: persist.truncateFrom, entries: persist.entries,
	};
	persist.outstandingWrite = {
		sequence,
		hardState: persist.isHardStateDirty ? state.hardState : undefined,
		lastIndex: batch.entries.at(-1)?.index ?? persist.durableIndex,
		startedMs: nowMs,
	};
	persist.isHardStateDirty = false;
	persist.truncateFrom = undefined;
	persist.entries = [];
	effects.push({type: 'consensus/persist', batch});
}

/** Records that a write is on disk and sends the messages held back for it. Returns false if `sequence` is not the outstanding write. */
export function completeWrite({state, effects}: Context, sequence: number): boolean {
	const {persist} = state;
	const {outstandingWrite} = persist;
	if (outstandingWrite?.sequence !== sequence) {
		return false;
	}

	persist.outstandingWrite = undefined;
	persist.durableHardState = outstandingWrite.hardState ?? persist.durableHardState;
	persist.durableIndex = Math.max(persist.durableIndex, outstandingWrite.lastIndex);
	const isReady = (held: {readonly sequence: number}) => held.sequence <= sequence;
	effects.push(...persist.heldMessages.filter(held => isReady(held)).map(({effect}) => effect));
	persist.heldMessages = persist.heldMessages.filter(held => !isReady(held));
	return true;
}
