import type {VmId} from '../core/types.js';
import type {MessageOf} from './messages.js';
import type {Context, ConsensusState} from './state.js';
import {appendEntry, sendWhenDurable, updateHardState} from './durability.js';
import {failReads} from './read-index.js';
import {broadcastAppend, startProgress, stopProgress} from './replication.js';
import {
	isStorageSlow, isVoter, quorum, sendNow, setRole, voters,
} from './state.js';

/** Election timeouts for which a leader that stepped down leaves the others to elect one. */
const stepDownPauses = 4;

/** Starts the election timer anew with a random timeout, so that members rarely campaign at the same time. */
export function resetElectionTimer({state, nowMs}: Context): void {
	const {electionMinMs, electionMaxMs} = state.timings;
	state.electionDeadlineMs = nowMs + electionMinMs + (state.random.next() * (electionMaxMs - electionMinMs));
}

/** Ends leadership or candidacy, if any, and follows `leader` at `term`. */
export function becomeFollower(context: Context, term: number, leader: VmId | undefined): void {
	const {state} = context;
	const isNewTerm = term > state.hard.term;
	if (isNewTerm) {
		updateHardState(context, {term, votedFor: undefined, votedForDisk: undefined});
		state.verified = 0;
		state.incoming = undefined;
	}

	if (state.role === 'leader') {
		stopLeading(context, leader);
	}

	state.campaign = undefined;
	if (state.role !== 'halted') {
		setRole(context, followerRole(context), leader);
	}
}

/** Ends leadership; this member campaigns again only if no other one does for some time. */
export function stepDown(context: Context): void {
	const {state, nowMs} = context;
	if (state.role === 'leader') {
		becomeFollower(context, state.hard.term, undefined);
		state.electionDeadlineMs = nowMs + (stepDownPauses * state.timings.electionMaxMs);
	}
}

function followerRole({state}: Context): 'follower' | 'learner' {
	return isVoter(state, state.vm, state.diskId) ? 'follower' : 'learner';
}

function stopLeading(context: Context, leader: VmId | undefined): void {
	const {state, effects} = context;
	for (const {token} of state.proposals.values()) {
		effects.push({
			type: 'consensus/dropped', token, reason: 'leadership-lost', leader,
		});
	}

	state.proposals.clear();
	state.proposalBytes = 0;
	stopProgress(state);
	failReads(context, leader);
	// Its reads may have been confirmed until now, so it counts as having heard a leader until now.
	state.leaderContactMs = context.nowMs;
	resetElectionTimer(context);
}

/** Stops taking part until the process restarts, because the disk cannot be trusted. */
export function halt(context: Context, reason: string): void {
	const {state, effects} = context;
	if (state.role === 'halted') {
		return;
	}

	if (state.role === 'leader') {
		stopLeading(context, undefined);
	}

	state.campaign = undefined;
	state.persist.held = [];
	setRole(context, 'halted', undefined);
	effects.push({
		type: 'log', level: 'error', message: 'consensus member halted', fields: {reason},
	});
}

/** Campaigns when no leader was heard for the election timeout, and ends leadership without a quorum. */
export function tickElection(context: Context): void {
	const {state, nowMs} = context;
	if (state.role === 'leader') {
		checkQuorumContact(context);
		return;
	}

	const mayCampaign = mayLead(state) && !isStorageSlow(context) && nowMs >= state.voteNotBeforeMs;
	if (nowMs >= state.electionDeadlineMs && mayCampaign) {
		startPreVote(context);
	}
}

/**
Whether this member is a voter of a membership that may be in force. Until its removal is committed it may be
the only one with the latest entries, so it campaigns although it counts in no quorum.
*/
function mayLead(state: ConsensusState): boolean {
	const {configurations, hard, vm, diskId} = state;
	const committed = configurations.findLastIndex(({index}) => index <= hard.commit);
	return configurations.slice(Math.max(0, committed)).some(({members}) => members.some(member => member.vm === vm && member.diskId === diskId && member.role === 'voter'));
}

/** A leader that a partition cut off must stop answering, and one whose disk hangs must let another lead. */
function checkQuorumContact(context: Context): void {
	const {state, nowMs} = context;
	const reached = voters(state).filter(({vm}) => {
		const contactMs = vm === state.vm ? nowMs : state.progress.get(vm)?.contactMs;
		return contactMs !== undefined && nowMs - contactMs <= state.timings.electionMinMs;
	});
	if (reached.length < quorum(state) || isStorageSlow(context)) {
		becomeFollower(context, state.hard.term, undefined);
	}
}

function startPreVote(context: Context): void {
	const {state} = context;
	resetElectionTimer(context);
	state.campaign = {kind: 'pre-vote', votes: new Set(isVoter(state, state.vm, state.diskId) ? [state.vm] : [])};
	setRole(context, 'candidate', undefined);
	if (hasQuorum(context)) {
		startVote(context);
		return;
	}

	for (const {vm, diskId} of otherVoters(context)) {
		sendNow(context, vm, diskId, {type: 'consensus/pre-vote', term: state.hard.term + 1, ...lastEntry(context)});
	}
}

function startVote(context: Context): void {
	const {state} = context;
	resetElectionTimer(context);
	updateHardState(context, {term: state.hard.term + 1, votedFor: state.vm, votedForDisk: state.diskId});
	state.verified = 0;
	// The own vote counts once it is on disk, see `countOwnVote`.
	state.campaign = {kind: 'vote', votes: new Set()};
	for (const {vm, diskId} of otherVoters(context)) {
		sendWhenDurable(context, vm, diskId, {type: 'consensus/vote', ...lastEntry(context)});
	}
}

/** Counts a candidate's vote for itself after the write that holds it. */
export function countOwnVote(context: Context): void {
	const {state} = context;
	const {durable} = state.persist;
	const isDurable = durable.term === state.hard.term && durable.votedFor === state.vm;
	if (state.campaign?.kind === 'vote' && isDurable && isVoter(state, state.vm, state.diskId)) {
		state.campaign.votes.add(state.vm);
		winIfElected(context);
	}
}

function hasQuorum({state}: Context): boolean {
	return (state.campaign?.votes.size ?? 0) >= quorum(state);
}

function winIfElected(context: Context): void {
	if (hasQuorum(context)) {
		becomeLeader(context);
	}
}

function becomeLeader(context: Context): void {
	const {state, nowMs} = context;
	state.campaign = undefined;
	setRole(context, 'leader', state.vm);
	startProgress(context);
	// Entries of earlier terms commit only together with one of the own term.
	state.termStart = state.log.lastIndex + 1;
	appendEntry(context, {index: state.termStart, term: state.hard.term, payload: {kind: 'noop'}});
	state.nextHeartbeatMs = nowMs + state.timings.heartbeatMs;
	broadcastAppend(context, true);
}

export function handlePreVote(context: Context, from: VmId, message: MessageOf<'consensus/pre-vote'>): void {
	const {state} = context;
	const granted = message.term > state.hard.term && mayVote(context) && isUpToDate(context, message);
	sendNow(context, from, message.disk, {
		type: 'consensus/pre-vote-reply', granted, term: granted ? message.term : state.hard.term,
	});
}

export function handlePreVoteReply(context: Context, from: VmId, message: MessageOf<'consensus/pre-vote-reply'>): void {
	const {state} = context;
	if (!message.granted) {
		if (message.term > state.hard.term) {
			becomeFollower(context, message.term, undefined);
		}

		return;
	}

	if (state.campaign?.kind === 'pre-vote' && message.term === state.hard.term + 1 && isVoter(state, from, message.disk)) {
		state.campaign.votes.add(from);
		if (hasQuorum(context)) {
			startVote(context);
		}
	}
}

/** Whether this member would help to replace the leader now: not while it hears one, nor with a bad disk. */
export function mayVote(context: Context): boolean {
	const {state, nowMs} = context;
	const hearsLeader = state.role === 'leader' || nowMs - state.leaderContactMs < state.timings.electionMinMs;
	return !hearsLeader && nowMs >= state.voteNotBeforeMs && !isStorageSlow(context);
}

/** Expects the message's term to be the current one. */
export function handleVote(context: Context, from: VmId, message: MessageOf<'consensus/vote'>): void {
	const {state} = context;
	const {votedFor, votedForDisk} = state.hard;
	const isFree = votedFor === undefined || (votedFor === from && votedForDisk === message.disk);
	const granted = isFree && isUpToDate(context, message);
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
		winIfElected(context);
	}
}

function isUpToDate({state}: Context, {lastIndex, lastTerm}: {readonly lastIndex: number; readonly lastTerm: number}): boolean {
	const {log} = state;
	return lastTerm > log.lastTerm || (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
}

function lastEntry({state}: Context): {lastIndex: number; lastTerm: number} {
	return {lastIndex: state.log.lastIndex, lastTerm: state.log.lastTerm};
}

function otherVoters({state}: Context) {
	return voters(state).filter(({vm}) => vm !== state.vm);
}
