import type {VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState} from './state.js';
import {appendEntry, sendWhenDurable, updateHardState} from './durability.js';
import {
	currentMembers, isAdmitted, isBlank, isConfirmationPending, isStorageSlow, sendNow,
} from './state.js';

/** Term of the first log entry. That entry holds the initial membership. Elections use later terms. */
const formationTerm = 1;

/**
Forms the cluster or requests admission, if this member is not admitted. The founder, which is the first of the initial
VMs, forms the cluster once all other initial VMs have durably accepted it. A VM accepts only one cluster per disk, so two
clusters can never form. Any member that is not admitted also asks the other VMs for admission to an existing cluster.
*/
export function tickFormation(context: Context): void {
	const {state, nowMs} = context;
	// A member whose disk accepts no writes could not do its part.
	if (!needsAdmission(context) || isStorageSlow(context) || nowMs < state.nextJoinRequestMs) {
		return;
	}

	state.nextJoinRequestMs = nowMs + state.timings.electionTimeoutMinMs;
	if (isFounder(state)) {
		formIfAllAccepted(context);
	}

	if (!needsAdmission(context)) {
		return;
	}

	const targets = new Set([...state.initialVms, ...state.knownVms, ...currentMembers(state).map(({vm}) => vm)]);
	targets.delete(state.vm);
	for (const vm of targets) {
		sendNow(context, vm, undefined, {type: 'consensus/join'});
		if (isFounder(state)) {
			sendNow(context, vm, undefined, {type: 'consensus/introduce'});
		}
	}
}

/**
Returns whether this member must ask for admission. That includes a member that hears no leader: it may have been removed while
it was cut off, in which case its own log does not tell.
*/
function needsAdmission({state, nowMs}: Context): boolean {
	if (isConfirmationPending(state)) {
		// The disk id may still be lost, and with it every promise that other members make to it.
		return false;
	}

	const hearsNoLeader = state.role !== 'leader' && nowMs - state.lastLeaderContactMs > 2 * state.timings.electionTimeoutMaxMs;
	return !state.isLeaving && (!isAdmitted(state) || (state.managesMembers && hearsNoLeader));
}

function isFounder(state: ConsensusState): boolean {
	return isBlank(state) && state.initialVms[0] === state.vm && (state.hardState.cluster ?? state.diskId) === state.diskId;
}

/** Accepts the founder's cluster if this member is a blank initial VM, and replies once the acceptance is on disk. */
export function handleIntroduce(context: Context, from: VmId, {disk}: MessageOf<'consensus/introduce'>): void {
	const {state} = context;
	const mayAccept = isBlank(state) && state.initialVms.includes(state.vm) && state.initialVms[0] === from;
	if (!mayAccept || (state.hardState.cluster ?? disk) !== disk) {
		return;
	}

	if (state.hardState.cluster === undefined) {
		updateHardState(context, {cluster: disk});
	}

	sendWhenDurable(context, from, disk, {type: 'consensus/introduce-reply'});
}

export function handleIntroduceReply(context: Context, from: VmId, {disk}: MessageOf<'consensus/introduce-reply'>): void {
	const {state} = context;
	if (isFounder(state) && state.initialVms.includes(from)) {
		state.acceptances.set(from, disk);
		formIfAllAccepted(context);
	}
}

function formIfAllAccepted(context: Context): void {
	const {state, nowMs} = context;
	const acceptedDiskIds = new Map([...state.acceptances, [state.vm, state.diskId]]);
	if (!state.initialVms.every(vm => acceptedDiskIds.has(vm))) {
		return;
	}

	const members = state.initialVms.map(vm => ({vm, diskId: acceptedDiskIds.get(vm)!, role: 'voter' as const}));
	updateHardState(context, {cluster: state.diskId, term: formationTerm});
	appendEntry(context, {index: 1, term: formationTerm, payload: {kind: 'members', members}});
	state.electionDeadlineMs = nowMs;
}
