import type {VmId} from '../core/types.js';
import type {MessageBody} from './messages.js';
import type {HardState, LogEntry} from './types.js';
import type {Context} from './state.js';
import {sendEffect} from './state.js';

/** Changes term, vote or cluster; what depends on it leaves after the next write. */
export function updateHardState({state}: Context, change: Partial<HardState>): void {
	state.hard = {...state.hard, ...change};
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

/** Drops the entries from `index` on, also those under way to the disk. */
export function truncateLog({state}: Context, index: number): void {
	const {persist} = state;
	state.log.truncate(index);
	state.configurations = state.configurations.filter(configuration => configuration.index < index);
	persist.entries = persist.entries.filter(entry => entry.index < index);
	persist.truncateFrom = Math.min(index, persist.truncateFrom ?? index);
	persist.durableIndex = Math.min(persist.durableIndex, index - 1);
	if (persist.outstanding) {
		persist.outstanding.lastIndex = Math.min(persist.outstanding.lastIndex, index - 1);
	}
}

/** Sends once the current term, vote and cluster are on disk. */
export function sendWhenDurable(context: Context, to: VmId, toDisk: string | undefined, body: MessageBody): void {
	const {state, effects} = context;
	const {persist} = state;
	const effect = sendEffect(state, to, toDisk, body);
	if (persist.isHardStateDirty) {
		persist.held.push({sequence: persist.nextSequence, effect});
	} else if (persist.outstanding?.hardState) {
		persist.held.push({sequence: persist.outstanding.sequence, effect});
	} else {
		effects.push(effect);
	}
}

/** Hands everything that changed to the storage, unless a write is under way: then it joins the next write. */
export function flush({state, nowMs, effects}: Context): void {
	const {persist} = state;
	const isClean = !persist.isHardStateDirty && persist.entries.length === 0 && persist.truncateFrom === undefined;
	if (persist.outstanding !== undefined || isClean) {
		return;
	}

	const sequence = persist.nextSequence++;
	const batch = {
		sequence, hardState: state.hard, truncateFrom: persist.truncateFrom, entries: persist.entries,
	};
	persist.outstanding = {
		sequence,
		hardState: persist.isHardStateDirty ? state.hard : undefined,
		lastIndex: batch.entries.at(-1)?.index ?? persist.durableIndex,
		sinceMs: nowMs,
	};
	persist.isHardStateDirty = false;
	persist.truncateFrom = undefined;
	persist.entries = [];
	effects.push({type: 'consensus/persist', batch});
}

/** Records that a write is on disk and releases the messages that waited for it. False for an unknown write. */
export function completeWrite({state, effects}: Context, sequence: number): boolean {
	const {persist} = state;
	const {outstanding} = persist;
	if (outstanding?.sequence !== sequence) {
		return false;
	}

	persist.outstanding = undefined;
	persist.durable = outstanding.hardState ?? persist.durable;
	persist.durableIndex = Math.max(persist.durableIndex, outstanding.lastIndex);
	const isReady = (held: {readonly sequence: number}) => held.sequence <= sequence;
	effects.push(...persist.held.filter(held => isReady(held)).map(({effect}) => effect));
	persist.held = persist.held.filter(held => !isReady(held));
	return true;
}
