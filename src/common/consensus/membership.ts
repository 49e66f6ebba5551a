import type {ReplyToken, VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState, Progress} from './state.js';
import type {ConsensusEvent, Member} from './types.js';
import {becomeFollower} from './election.js';
import {appendOwn, broadcastAppend, startProgress} from './replication.js';
import {currentMembers, findMember, isVoter} from './state.js';

/** A learner this many entries behind the commit index counts as caught up: one message closes the gap. */
const promotionLag = 64;
/** Requests for admission kept for operators. */
const maxJoinRequests = 16;
/** Members up to which new VMs are admitted without an operator; more would slow every commit down. */
const maxAutomaticMembers = 7;

type Change = Extract<ConsensusEvent, {type: 'consensus/change-members'}>['change'];

/** Proposes a membership that differs by one member, or refuses. */
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
	const members = changedMembers(state, change);
	if (!members || isChangeOpen(state) || !isQuorumReached(context, members)) {
		effects.push({
			type: 'consensus/dropped', token, reason: 'change-refused', leader,
		});
	} else if (members === current.members) {
		effects.push({
			type: 'consensus/members-committed', index: current.index, members, token,
		});
	} else {
		proposeMembers(context, members, token);
	}
}

/** The membership after the change; undefined if the leader would replace itself. */
function changedMembers(state: ConsensusState, change: Change): readonly Member[] | undefined {
	const members = currentMembers(state);
	const known = findMember(state, change.vm);
	const isDone = change.kind === 'add' ? known?.diskId === change.diskId : !known;
	if (isDone) {
		return members;
	}

	const others = members.filter(({vm}) => vm !== change.vm);
	if (change.kind === 'remove') {
		return others;
	}

	// The successor of a member's disk starts as a learner, so the voters change by one at most.
	return change.vm === state.vm ? undefined : [...others, {vm: change.vm, diskId: change.diskId, role: 'learner'}];
}

/**
A change waits until the previous one and an entry of the own term are committed; otherwise two
leaders could count quorums of memberships that differ by two voters.
*/
function isChangeOpen({configurations, hard, termStart}: ConsensusState): boolean {
	return hard.commit < termStart || configurations.at(-1)!.index > hard.commit;
}

/** Whether the leader hears a quorum of the voters; a change that cannot commit would only stop the cluster. */
function isQuorumReached({state, nowMs}: Context, members: readonly Member[]): boolean {
	const admitted = members.filter(({role}) => role === 'voter');
	const reached = admitted.filter(({vm}) => vm === state.vm || nowMs - (state.progress.get(vm)?.contactMs ?? Number.NEGATIVE_INFINITY) <= state.timings.electionMinMs);
	return reached.length > admitted.length / 2;
}

function proposeMembers(context: Context, members: readonly Member[], token: ReplyToken | undefined): void {
	appendOwn(context, {kind: 'members', members}, token);
	startProgress(context);
	broadcastAppend(context, true);
}

/** Makes a learner a voter once it has what is committed. */
export function promoteLearner(context: Context, vm: VmId, {match}: Progress): void {
	const {state} = context;
	const isCaughtUp = match >= state.termStart && match + promotionLag >= state.hard.commit;
	if (findMember(state, vm)?.role === 'learner' && isCaughtUp && !isChangeOpen(state)) {
		proposeMembers(context, currentMembers(state).map(member => member.vm === vm ? {...member, role: 'voter'} : member), undefined);
	}
}

/** A leader that its own membership change removed leaves after telling the others that it is committed. */
export function leaveIfRemoved(context: Context): void {
	const {state} = context;
	if (!isVoter(state, state.vm, state.diskId) && !isChangeOpen(state)) {
		broadcastAppend(context, true);
		becomeFollower(context, state.hard.term, undefined);
	}
}

/**
A VM of the membership runs with another disk than the admitted one. If the admitted disk is silent,
its successor becomes a learner; as long as the admitted one answers, two processes claim the same VM.
*/
export function handleJoin(context: Context, from: VmId, {disk}: MessageOf<'consensus/join'>): void {
	const {state, nowMs} = context;
	const known = findMember(state, from);
	if (state.role !== 'leader' || known?.diskId === disk) {
		return;
	}

	if (state.joinRequests.has(from) || state.joinRequests.size < maxJoinRequests) {
		state.joinRequests.set(from, disk);
	}

	const contactMs = state.progress.get(from)?.contactMs ?? nowMs;
	const isSilent = nowMs - contactMs > state.timings.electionMaxMs;
	const isWelcome = known ? isSilent : state.admitsNewVms && currentMembers(state).length < maxAutomaticMembers;
	const members = isWelcome && !isChangeOpen(state) ? changedMembers(state, {kind: 'add', vm: from, diskId: disk}) : undefined;
	if (members && isQuorumReached(context, members)) {
		state.joinRequests.delete(from);
		proposeMembers(context, members, undefined);
	}
}
