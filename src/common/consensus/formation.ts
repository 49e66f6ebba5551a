import type {VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState} from './state.js';
import {appendEntry, sendWhenDurable, updateHardState} from './durability.js';
import {
	currentMembers, isAdmitted, isBlank, sendNow,
} from './state.js';

/** Term of the entry that holds the first membership; elections start after it. */
const formationTerm = 1;

/**
Asks for what a member without admission needs. The first of the initial VMs forms the cluster once every
other one has durably promised itself to it; a VM promises once per disk, so two clusters can never form.
Anyone else asks the leader for admission.
*/
export function tickFormation(context: Context): void {
	const {state, nowMs} = context;
	if (isAdmitted(state) || nowMs < state.nextJoinMs) {
		return;
	}

	state.nextJoinMs = nowMs + state.timings.electionMinMs;
	if (isFounder(state)) {
		formIfPromised(context);
	}

	if (isAdmitted(state)) {
		return;
	}

	const known = new Set([...state.initialVms, ...state.knownVms, ...currentMembers(state).map(({vm}) => vm)]);
	known.delete(state.vm);
	for (const vm of known) {
		sendNow(context, vm, undefined, {type: 'consensus/join'});
		if (isFounder(state)) {
			sendNow(context, vm, undefined, {type: 'consensus/introduce'});
		}
	}
}

function isFounder(state: ConsensusState): boolean {
	return isBlank(state) && state.initialVms[0] === state.vm && (state.hard.cluster ?? state.diskId) === state.diskId;
}

/** A blank initial VM promises itself to the founder, and answers once the promise is on disk. */
export function handleIntroduce(context: Context, from: VmId, {disk}: MessageOf<'consensus/introduce'>): void {
	const {state} = context;
	const isExpected = isBlank(state) && state.initialVms.includes(state.vm) && state.initialVms[0] === from;
	if (!isExpected || (state.hard.cluster ?? disk) !== disk) {
		return;
	}

	if (state.hard.cluster === undefined) {
		updateHardState(context, {cluster: disk});
	}

	sendWhenDurable(context, from, disk, {type: 'consensus/introduce-reply'});
}

export function handleIntroduceReply(context: Context, from: VmId, {disk}: MessageOf<'consensus/introduce-reply'>): void {
	const {state} = context;
	if (isFounder(state) && state.initialVms.includes(from)) {
		state.promises.set(from, disk);
		formIfPromised(context);
	}
}

function formIfPromised(context: Context): void {
	const {state, nowMs} = context;
	const promised = new Map([...state.promises, [state.vm, state.diskId]]);
	if (!state.initialVms.every(vm => promised.has(vm))) {
		return;
	}

	const members = state.initialVms.map(vm => ({vm, diskId: promised.get(vm)!, role: 'voter' as const}));
	updateHardState(context, {cluster: state.diskId, term: formationTerm});
	appendEntry(context, {index: 1, term: formationTerm, payload: {kind: 'members', members}});
	state.electionDeadlineMs = nowMs;
}
