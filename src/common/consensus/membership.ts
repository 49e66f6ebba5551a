import type {ReplyToken, VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState, Progress} from './state.js';
import type {ConsensusEvent, Member} from './types.js';
import {becomeFollower} from './election.js';
import {appendAsLeader, broadcastAppend, trackMembers} from './replication.js';
import {
	currentMembers, findMember, isAdmitted, isVoter, sendNow, voters,
} from './state.js';

/** Maximum lag behind the commit index, in entries, at which a learner counts as caught up. One append message closes such a gap. */
const promotionLagEntries = 64;
/** Maximum number of VMs whose requests for admission are kept for display to operators. */
const maxJoinRequests = 16;
/** Number of members up to which the leader admits new VMs by itself. More members would slow down every commit. */
const maxMembersForAutoAdmission = 7;
/** Number of members above `minVoters` for which there is always room, so that a new VM can take the place of a lost one. */
const replacementMembers = 2;

type Change = Extract<ConsensusEvent, {type: 'consensus/change-members'}>['change'];

/**
Proposes a membership with the requested change. Reports a change that is already in effect as committed, and drops a
request that is not possible now with a reason.
*/
export function changeMembers(context: Context, token: ReplyToken, change: Change): void {
	const {state, effects} = context;
	const {leader} = state;
	if (state.role !== 'leader') {
		effects.push({
			type: 'consensus/dropped', token, reason: 'not-leader', leader,
		});
		return;
	}

	const current = state.configurations.at(-1)!;
	const members = membersAfterChange(state, change);
	if (!members || isChangePending(state) || !isQuorumReachable(context, members)) {
		effects.push({
			type: 'consensus/dropped', token, reason: 'change-refused', leader,
		});
	} else if (members === current.members) {
		effects.push({
			type: 'consensus/members-committed', index: current.index, members, token,
		});
	} else {
		proposeMembers(context, members, {cause: 'operator', change: change.kind, member: change.vm}, token);
	}
}

/**
Returns the membership after the change, or undefined if the leader would replace its own disk. Returns the current array
itself if the change is already in effect.
*/
function membersAfterChange(state: ConsensusState, change: Change): readonly Member[] | undefined {
	const members = currentMembers(state);
	const currentMember = findMember(state, change.vm);
	const isAlreadyInEffect = change.kind === 'add' ? currentMember?.diskId === change.diskId : !currentMember;
	if (isAlreadyInEffect) {
		return members;
	}

	const others = members.filter(({vm}) => vm !== change.vm);
	if (change.kind === 'remove') {
		return others;
	}

	// A replacement disk starts as a learner, so that a change adds or removes at most one voter.
	return change.vm === state.vm ? undefined : [...others, {vm: change.vm, diskId: change.diskId, role: 'learner'}];
}

/**
Returns whether the last membership change or the first entry of the leader's term is not committed yet. While this holds, no
other change may start: otherwise two leaders could count quorums of memberships that differ by two voters.
*/
function isChangePending({configurations, hardState, termStartIndex}: ConsensusState): boolean {
	return hardState.commit < termStartIndex || configurations.at(-1)!.index > hardState.commit;
}

/**
Returns whether the leader has recent contact with a quorum of the voters in `members`. Without this check, a change that no
quorum can commit would stop the cluster.
*/
function isQuorumReachable({state, nowMs}: Context, members: readonly Member[]): boolean {
	const newVoters = members.filter(({role}) => role === 'voter');
	const reachableVoters = newVoters.filter(({vm}) => vm === state.vm || nowMs - (state.progress.get(vm)?.lastContactMs ?? Number.NEGATIVE_INFINITY) <= state.timings.electionTimeoutMinMs);
	return reachableVoters.length > newVoters.length / 2;
}

/** Fields of the log line for a proposed membership: what changes for which member, why, and since when it has been silent. */
type ProposalFields = {
	readonly cause: string;
	readonly change: 'add' | 'promote' | 'remove';
	readonly member: VmId;
	readonly silentForMs?: number;
};

function proposeMembers(context: Context, members: readonly Member[], fields: ProposalFields, token?: ReplyToken): void {
	const {state: {hardState: {term}}, effects} = context;
	effects.push({
		type: 'log', level: 'info', message: 'membership change proposed', fields: {...fields, term, voters: members.filter(({role}) => role === 'voter').length},
	});
	appendAsLeader(context, {kind: 'members', members}, token);
	trackMembers(context);
	broadcastAppend(context, true);
}

/** Proposes to make the VM a voter if it is a learner that has caught up and no other membership change is pending. */
export function promoteLearner(context: Context, vm: VmId, {match}: Progress): void {
	const {state} = context;
	const isCaughtUp = match >= state.termStartIndex && match + promotionLagEntries >= state.hardState.commit;
	if (findMember(state, vm)?.role === 'learner' && isCaughtUp && !isChangePending(state)) {
		proposeMembers(context, currentMembers(state).map(member => member.vm === vm ? {...member, role: 'voter'} : member), {cause: 'caught up', change: 'promote', member: vm});
	}
}

/** Makes a leader step down once its own removal is committed, after sending the new commit index to the other members. */
export function stepDownIfRemoved(context: Context): void {
	const {state} = context;
	if (!isVoter(state, state.vm, state.diskId) && !isChangePending(state)) {
		broadcastAppend(context, true);
		becomeFollower(context, state.hardState.term, undefined);
	}
}

/**
Handles a request for admission. If the VM is a member with another disk, the requesting disk becomes a learner only when
the admitted disk is silent: while the admitted disk replies, two processes claim the same VM. A new VM becomes a learner
only if the leader admits new VMs without an operator.
*/
export function handleJoin(context: Context, from: VmId, {disk}: MessageOf<'consensus/join'>): void {
	const {state, nowMs} = context;
	const currentMember = findMember(state, from);
	if (state.role !== 'leader' || currentMember?.diskId === disk) {
		return;
	}

	if (state.joinRequests.has(from) || state.joinRequests.size < maxJoinRequests) {
		state.joinRequests.set(from, disk);
	}

	const contactMs = state.progress.get(from)?.lastContactMs ?? nowMs;
	const isSilent = nowMs - contactMs > state.timings.electionTimeoutMaxMs;
	const maxMembers = Math.max(maxMembersForAutoAdmission, state.minVoters + replacementMembers);
	const mayAdmit = currentMember ? isSilent : state.managesMembers && currentMembers(state).length < maxMembers;
	const members = mayAdmit && !isChangePending(state) ? membersAfterChange(state, {kind: 'add', vm: from, diskId: disk}) : undefined;
	if (members && isQuorumReachable(context, members)) {
		state.joinRequests.delete(from);
		proposeMembers(context, members, {
			cause: 'asked for admission', change: 'add', member: from, ...(currentMember && {silentForMs: nowMs - contactMs}),
		});
	}
}

/** Removes a member that asked for it because its process is about to end. */
export function handleLeave(context: Context, from: VmId, {disk}: MessageOf<'consensus/leave'>): void {
	const {state} = context;
	if (state.role === 'leader' && findMember(state, from)?.diskId === disk) {
		removeIfDispensable(context, from, {cause: 'leaving', change: 'remove', member: from});
	}
}

/**
Removes a silent member if this member is the leader, and asks the leader to remove this member if its process is about to end.
Only a leader that has been in contact with a quorum for all of the silence removes a member. A VM that was cut off or paused does
not lead any more by then, or starts to count anew.
*/
export function tickMembership(context: Context): void {
	const {state, nowMs} = context;
	if (!state.managesMembers) {
		return;
	}

	if (state.role !== 'leader') {
		requestRemoval(context);
		return;
	}

	if (nowMs - state.lastTickMs > state.timings.electionTimeoutMinMs) {
		state.watchingSinceMs = nowMs;
	}

	state.lastTickMs = nowMs;
	if (state.isLeaving) {
		removeIfDispensable(context, state.vm, {cause: 'leaving', change: 'remove', member: state.vm});
	} else {
		removeSilentMember(context);
	}
}

function requestRemoval(context: Context): void {
	const {state, nowMs} = context;
	if (state.isLeaving && state.leader !== undefined && isAdmitted(state) && nowMs >= state.nextJoinRequestMs) {
		state.nextJoinRequestMs = nowMs + state.timings.electionTimeoutMinMs;
		sendNow(context, state.leader, undefined, {type: 'consensus/leave'});
	}
}

function removeSilentMember(context: Context): void {
	const {state, nowMs} = context;
	const silences = [...state.progress].map(([vm, {lastContactMs}]) => ({vm, silentForMs: nowMs - Math.max(lastContactMs, state.watchingSinceMs)}));
	const overdue = silences.filter(({silentForMs}) => silentForMs > state.timings.removalSilenceMs).sort((a, b) => b.silentForMs - a.silentForMs);
	for (const {vm, silentForMs} of overdue) {
		const isRemoved = removeIfDispensable(context, vm, {
			cause: 'silent', change: 'remove', member: vm, silentForMs,
		});
		if (isRemoved) {
			return;
		}
	}
}

/** Proposes to remove the member, provided that `minVoters` voters remain and a quorum of them is reachable. Returns whether it did. */
function removeIfDispensable(context: Context, vm: VmId, fields: ProposalFields): boolean {
	const {state} = context;
	const members = currentMembers(state).filter(member => member.vm !== vm);
	const isDispensable = findMember(state, vm)?.role === 'learner' || voters(state).length > state.minVoters;
	if (!state.managesMembers || !isDispensable || isChangePending(state) || !isQuorumReachable(context, members)) {
		return false;
	}

	proposeMembers(context, members, fields);
	return true;
}
