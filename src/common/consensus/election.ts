import type {VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState} from './state.js';
import {appendEntry, sendWhenDurable, updateHardState} from './durability.js';
import {failReads} from './read-index.js';
import {broadcastAppend, stopTracking, trackMembers} from './replication.js';
import {
	isStorageSlow, isVoter, quorumSize, sendNow, setRole, voters,
} from './state.js';

/** Pause before a leader that stepped down on request campaigns again, in multiples of `electionTimeoutMaxMs`. */
const stepDownPauseTimeouts = 4;

/** Restarts the election timer with a random timeout, so that members rarely campaign at the same time. */
export function resetElectionTimer({state, nowMs}: Context): void {
	const {electionTimeoutMinMs, electionTimeoutMaxMs} = state.timings;
	state.electionDeadlineMs = nowMs + electionTimeoutMinMs + (state.random.next() * (electionTimeoutMaxMs - electionTimeoutMinMs));
}

/** Ends leadership or candidacy, if any, and follows `leader` in `term`. `leader` is undefined while the term's leader is unknown. */
export function becomeFollower(context: Context, term: number, leader: VmId | undefined): void {
	const {state} = context;
	const isNewTerm = term > state.hardState.term;
	if (isNewTerm) {
		updateHardState(context, {term, votedFor: undefined, votedForDisk: undefined});
		state.verifiedIndex = 0;
		state.incomingSnapshot = undefined;
	}

	if (state.role === 'leader') {
		endLeadership(context, leader);
	}

	state.campaign = undefined;
	if (state.role !== 'halted') {
		setRole(context, followerRole(context), leader);
	}
}

/** Ends leadership on request. This member campaigns again only if no other member becomes leader in the meantime. */
export function stepDown(context: Context): void {
	const {state, nowMs} = context;
	if (state.role === 'leader') {
		becomeFollower(context, state.hardState.term, undefined);
		state.electionDeadlineMs = nowMs + (stepDownPauseTimeouts * state.timings.electionTimeoutMaxMs);
	}
}

function followerRole({state}: Context): 'follower' | 'learner' {
	return isVoter(state, state.vm, state.diskId) ? 'follower' : 'learner';
}

function endLeadership(context: Context, leader: VmId | undefined): void {
	const {state, effects} = context;
	for (const {token} of state.proposals.values()) {
		effects.push({
			type: 'consensus/dropped', token, reason: 'leadership-lost', leader,
		});
	}

	state.proposals.clear();
	state.proposalBytes = 0;
	stopTracking(state);
	failReads(context, leader);
	// Reads may have been confirmed until now. This member therefore counts as having heard from a leader until now, so that it
	// does not help to elect another leader at once.
	state.lastLeaderContactMs = context.nowMs;
	resetElectionTimer(context);
}

/** Stops taking part in the replicated log until the process restarts, because the disk cannot be trusted. */
export function halt(context: Context, reason: string): void {
	const {state, effects} = context;
	if (state.role === 'halted') {
		return;
	}

	if (state.role === 'leader') {
		endLeadership(context, undefined);
	}

	state.campaign = undefined;
	state.persist.heldMessages = [];
	setRole(context, 'halted', undefined);
	effects.push({
		type: 'log', level: 'error', message: 'consensus member halted', fields: {reason},
	});
}

/** Starts a campaign if the election timer has expired. If this member is the leader, checks that it still reaches a quorum instead. */
export function tickElection(context: Context): void {
	const {state, nowMs} = context;
	if (state.role === 'leader') {
		checkQuorum(context);
		return;
	}

	const mayCampaign = mayLead(state) && !isStorageSlow(context) && nowMs >= state.voteNotBeforeMs;
	if (nowMs >= state.electionDeadlineMs && mayCampaign) {
		startPreVote(context);
	}
}

/**
Returns whether this member is a voter in the last committed membership or in a later one. Until its removal is committed,
it may be the only member with the latest entries, so it campaigns although its own vote does not count.
*/
function mayLead(state: ConsensusState): boolean {
	const {configurations, hardState, vm, diskId} = state;
	const committed = configurations.findLastIndex(({index}) => index <= hardState.commit);
	return configurations.slice(Math.max(0, committed)).some(({members}) => members.some(member => member.vm === vm && member.diskId === diskId && member.role === 'voter'));
}

/**
Ends leadership if the leader has no contact with a quorum or its disk is slow: a partitioned leader must stop answering, and
a leader whose disk hangs must let another member lead.
*/
function checkQuorum(context: Context): void {
	const {state, nowMs} = context;
	const reachableVoters = voters(state).filter(({vm}) => {
		const contactMs = vm === state.vm ? nowMs : state.progress.get(vm)?.lastContactMs;
		return contactMs !== undefined && nowMs - contactMs <= state.timings.electionTimeoutMinMs;
	});
	if (reachableVoters.length < quorumSize(state) || isStorageSlow(context)) {
		becomeFollower(context, state.hardState.term, undefined);
	}
}

function startPreVote(context: Context): void {
	const {state} = context;
	resetElectionTimer(context);
	state.campaign = {kind: 'pre-vote', votes: new Set(isVoter(state, state.vm, state.diskId) ? [state.vm] : [])};
	setRole(context, 'candidate', undefined);
	if (hasVoteQuorum(context)) {
		startElection(context);
		return;
	}

	for (const {vm, diskId} of otherVoters(context)) {
		sendNow(context, vm, diskId, {type: 'consensus/pre-vote', term: state.hardState.term + 1, ...lastLogPosition(context)});
	}
}

function startElection(context: Context): void {
	const {state} = context;
	resetElectionTimer(context);
	updateHardState(context, {term: state.hardState.term + 1, votedFor: state.vm, votedForDisk: state.diskId});
	state.verifiedIndex = 0;
	// The candidate's own vote counts once it is on disk; see `countOwnVote`.
	state.campaign = {kind: 'vote', votes: new Set()};
	for (const {vm, diskId} of otherVoters(context)) {
		sendWhenDurable(context, vm, diskId, {type: 'consensus/vote', ...lastLogPosition(context)});
	}
}

/** Counts the candidate's vote for itself once it is on disk. */
export function countOwnVote(context: Context): void {
	const {state} = context;
	const {durableHardState} = state.persist;
	const isDurable = durableHardState.term === state.hardState.term && durableHardState.votedFor === state.vm;
	if (state.campaign?.kind === 'vote' && isDurable && isVoter(state, state.vm, state.diskId)) {
		state.campaign.votes.add(state.vm);
		becomeLeaderIfElected(context);
	}
}

function hasVoteQuorum({state}: Context): boolean {
	return (state.campaign?.votes.size ?? 0) >= quorumSize(state);
}

function becomeLeaderIfElected(context: Context): void {
	if (hasVoteQuorum(context)) {
		becomeLeader(context);
	}
}

function becomeLeader(context: Context): void {
	const {state, nowMs} = context;
	state.campaign = undefined;
	setRole(context, 'leader', state.vm);
	trackMembers(context);
	// Entries of earlier terms are committed only together with an entry of the leader's own term.
	state.termStartIndex = state.log.lastIndex + 1;
	appendEntry(context, {index: state.termStartIndex, term: state.hardState.term, payload: {kind: 'noop'}});
	state.nextHeartbeatMs = nowMs + state.timings.heartbeatMs;
	state.lastTickMs = nowMs;
	state.watchingSinceMs = nowMs;
	broadcastAppend(context, true);
}

export function handlePreVote(context: Context, from: VmId, message: MessageOf<'consensus/pre-vote'>): void {
	const {state} = context;
	const granted = message.term > state.hardState.term && mayVote(context) && isUpToDate(context, message);
	sendNow(context, from, message.disk, {
		type: 'consensus/pre-vote-reply', granted, term: granted ? message.term : state.hardState.term,
	});
}

export function handlePreVoteReply(context: Context, from: VmId, message: MessageOf<'consensus/pre-vote-reply'>): void {
	const {state} = context;
	if (!message.granted) {
		if (message.term > state.hardState.term) {
			becomeFollower(context, message.term, undefined);
		}

		return;
	}

	if (state.campaign?.kind === 'pre-vote' && message.term === state.hardState.term + 1 && isVoter(state, from, message.disk)) {
		state.campaign.votes.add(from);
		if (hasVoteQuorum(context)) {
			startElection(context);
		}
	}
}

/** Returns whether this member may vote now: it hears no leader, has waited long enough after its restart, and its disk is not slow. */
export function mayVote(context: Context): boolean {
	const {state, nowMs} = context;
	const hasLiveLeader = state.role === 'leader' || nowMs - state.lastLeaderContactMs < state.timings.electionTimeoutMinMs;
	return !hasLiveLeader && nowMs >= state.voteNotBeforeMs && !isStorageSlow(context);
}

/** Handles a vote request of the current term. */
export function handleVote(context: Context, from: VmId, message: MessageOf<'consensus/vote'>): void {
	const {state} = context;
	const {votedFor, votedForDisk} = state.hardState;
	const canVoteFor = votedFor === undefined || (votedFor === from && votedForDisk === message.disk);
	const granted = canVoteFor && isUpToDate(context, message);
	if (granted) {
		resetElectionTimer(context);
		if (votedFor === undefined) {
			updateHardState(context, {votedFor: from, votedForDisk: message.disk});
		}
	}

	sendWhenDurable(context, from, message.disk, {type: 'consensus/vote-reply', granted});
}

export function handleVoteReply(context: Context, from: VmId, message: MessageOf<'consensus/vote-reply'>): void {
	const {state} = context;
	if (message.granted && state.campaign?.kind === 'vote' && isVoter(state, from, message.disk)) {
		state.campaign.votes.add(from);
		becomeLeaderIfElected(context);
	}
}

function isUpToDate({state}: Context, {lastIndex, lastTerm}: {readonly lastIndex: number; readonly lastTerm: number}): boolean {
	const {log} = state;
	return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
}

function lastLogPosition({state}: Context): {lastIndex: number; lastTerm: number} {
	return {lastIndex: state.log.lastIndex, lastTerm: state.log.lastTerm};
}

function otherVoters({state}: Context) {
	return voters(state).filter(({vm}) => vm !== state.vm);
}
