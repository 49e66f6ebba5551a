import type {VmId} from '../core/types.js';
import type {ConsensusMessage} from './messages.js';
import type {Context, ConsensusState} from './state.js';
import type {ConsensusEffect, ConsensusEvent} from './types.js';
import {completeWrite, flush, updateHardState} from './durability.js';
import {
	becomeFollower, countOwnVote, halt, handlePreVote, handlePreVoteReply, handleVote, handleVoteReply, mayVote,
	resetElectionTimer, stepDown, tickElection,
} from './election.js';
import {handleIntroduce, handleIntroduceReply, tickFormation} from './formation.js';
import {
	changeMembers, handleJoin, handleLeave, tickMembership,
} from './membership.js';
import {consensusMessageSchema} from './messages.js';
import {requestRead, sendHeartbeat} from './read-index.js';
import {
	acknowledgeWrite, advanceCommit, broadcastAppend, handleAppend, handleAppendReply, propose,
} from './replication.js';
import {
	completeSnapshotSave, handleSnapshot, handleSnapshotReply, requestSnapshotIfDue, restoreStateMachine, saveTakenSnapshot,
} from './snapshot.js';
import {
	incrementCounter, isBlank, isVoter, sendNow, setRole,
} from './state.js';

/** Applies one event to a member of the replicated log. Returns the effects that the calling code must execute, in order. */
export function reduceConsensus(state: ConsensusState, event: ConsensusEvent): ConsensusEffect[] {
	const context: Context = {state, nowMs: event.nowMs, effects: []};
	if (!state.isStarted) {
		startMember(context);
	}

	if (state.role === 'halted') {
		rejectRequest(context, event);
		return context.effects;
	}

	handleEvent(context, event);
	if (!isHalted(state)) {
		refreshRole(context);
		requestSnapshotIfDue(context);
		flush(context);
	}

	return context.effects;
}

function isHalted({role}: ConsensusState): boolean {
	return role === 'halted';
}

function startMember(context: Context): void {
	const {state, nowMs} = context;
	state.isStarted = true;
	if (state.persist.outstandingWrite) {
		state.persist.outstandingWrite.startedMs = nowMs;
	}

	resetElectionTimer(context);
	if (state.log.lastIndex > 0) {
		// Gives a live leader time to detect that this member's disk has lost acknowledged entries, before the member votes.
		state.voteNotBeforeMs = nowMs + state.timings.electionTimeoutMinMs;
	}

	restoreStateMachine(context);
	refreshRole(context);
}

/** Updates the role of a follower or learner after a membership change: a voter is a follower, any other VM a learner. */
function refreshRole(context: Context): void {
	const {state} = context;
	if (state.role === 'follower' || state.role === 'learner') {
		setRole(context, isVoter(state, state.vm, state.diskId) ? 'follower' : 'learner', state.leader);
	}
}

function rejectRequest({effects}: Context, event: ConsensusEvent): void {
	if (event.type === 'consensus/propose' || event.type === 'consensus/change-members') {
		effects.push({
			type: 'consensus/dropped', token: event.token, reason: 'not-leader', leader: undefined,
		});
	} else if (event.type === 'consensus/read') {
		effects.push({type: 'consensus/read-failed', token: event.token, leader: undefined});
	}
}

function handleEvent(context: Context, event: ConsensusEvent): void {
	switch (event.type) {
		case 'consensus/tick': {
			handleTick(context);
			break;
		}

		case 'consensus/message': {
			handleMessage(context, event.from, event.message);
			break;
		}

		case 'consensus/propose': {
			propose(context, event.token, event.command);
			break;
		}

		case 'consensus/read': {
			requestRead(context, event.token, event.mayWait);
			break;
		}

		case 'consensus/change-members': {
			changeMembers(context, event.token, event.change);
			break;
		}

		case 'consensus/peers': {
			const {state} = context;
			state.knownVms = event.knownVms;
			state.initialVms = event.initialVms ? [...event.initialVms].sort() : state.initialVms;
			break;
		}

		case 'consensus/step-down': {
			stepDown(context);
			break;
		}

		case 'consensus/leave': {
			context.state.isLeaving = true;
			break;
		}

		case 'consensus/persisted': {
			handlePersisted(context, event.sequence);
			break;
		}

		case 'consensus/storage-failed': {
			halt(context, event.reason);
			break;
		}

		case 'consensus/snapshot-taken': {
			saveTakenSnapshot(context, event.index, event.data);
			break;
		}

		case 'consensus/snapshot-saved': {
			completeSnapshotSave(context, event.index);
			break;
		}
	}
}

function handleTick(context: Context): void {
	const {state, nowMs} = context;
	tickElection(context);
	tickFormation(context);
	tickMembership(context);
	if (state.role === 'leader' && nowMs >= state.nextHeartbeatMs) {
		state.nextHeartbeatMs = nowMs + state.timings.heartbeatMs;
		sendHeartbeat(context);
	}
}

function handlePersisted(context: Context, sequence: number): void {
	if (!completeWrite(context, sequence)) {
		return;
	}

	countOwnVote(context);
	if (context.state.role === 'leader') {
		advanceCommit(context);
	} else {
		acknowledgeWrite(context);
	}
}

function handleMessage(context: Context, from: VmId, raw: unknown): void {
	const {state} = context;
	const parsed = consensusMessageSchema.safeParse(raw);
	if (!parsed.success) {
		incrementCounter(context, 'consensus_invalid_messages');
		return;
	}

	const message = parsed.data;
	if (!isForThisMember(state, message)) {
		incrementCounter(context, 'consensus_misaddressed_messages', {type: message.type});
		return;
	}

	switch (message.type) {
		case 'consensus/join': {
			handleJoin(context, from, message);
			break;
		}

		case 'consensus/leave': {
			handleLeave(context, from, message);
			break;
		}

		case 'consensus/introduce': {
			handleIntroduce(context, from, message);
			break;
		}

		case 'consensus/introduce-reply': {
			handleIntroduceReply(context, from, message);
			break;
		}

		case 'consensus/pre-vote': {
			handlePreVote(context, from, message);
			break;
		}

		case 'consensus/pre-vote-reply': {
			handlePreVoteReply(context, from, message);
			break;
		}

		case 'consensus/vote':
		case 'consensus/vote-reply':
		case 'consensus/append':
		case 'consensus/append-reply':
		case 'consensus/snapshot':
		case 'consensus/snapshot-reply': {
			handleInTermMessage(context, from, message);
		}
	}
}

/**
Returns whether the message is addressed to this disk and this cluster. A member with a blank disk follows the leader that
admitted it even if it has accepted another cluster: a founder whose disk was emptied may have introduced its new cluster
before the leader's message arrived.
*/
function isForThisMember(state: ConsensusState, {type, cluster, toDisk}: ConsensusMessage): boolean {
	if (toDisk !== undefined && toDisk !== state.diskId) {
		return false;
	}

	if (cluster === state.hardState.cluster) {
		return true;
	}

	if (type === 'consensus/append' || type === 'consensus/snapshot') {
		return isBlank(state) && toDisk !== undefined;
	}

	const isFormationMessage = type === 'consensus/join' || type === 'consensus/introduce' || type === 'consensus/introduce-reply';
	return isFormationMessage && (cluster === undefined || state.hardState.cluster === undefined);
}

type InTermMessage = Exclude<ConsensusMessage, {type: 'consensus/join' | 'consensus/leave' | 'consensus/introduce' | 'consensus/introduce-reply' | 'consensus/pre-vote' | 'consensus/pre-vote-reply'}>;

/** Handles a message that is valid only in its own term. If that term is newer, this member moves to it first. */
function handleInTermMessage(context: Context, from: VmId, message: InTermMessage): void {
	const {state} = context;
	if (message.type === 'consensus/vote' && !mayVote(context)) {
		// The request is ignored: a candidate that lost contact with the leader must not move members that still hear the leader into a new term.
		return;
	}

	if (message.term < state.hardState.term) {
		rejectStale(context, from, message);
		return;
	}

	if (message.term > state.hardState.term) {
		becomeFollower(context, message.term, undefined);
	}

	switch (message.type) {
		case 'consensus/vote': {
			handleVote(context, from, message);
			break;
		}

		case 'consensus/vote-reply': {
			handleVoteReply(context, from, message);
			break;
		}

		case 'consensus/append-reply': {
			handleAppendReply(context, from, message);
			break;
		}

		case 'consensus/snapshot-reply': {
			handleSnapshotReply(context, from, message);
			break;
		}

		case 'consensus/append': {
			followLeader(context, from, message);
			handleAppend(context, from, message);
			break;
		}

		case 'consensus/snapshot': {
			followLeader(context, from, message);
			handleSnapshot(context, from, message);
			break;
		}
	}
}

function followLeader(context: Context, from: VmId, {cluster, disk, term}: {readonly cluster?: string | undefined; readonly disk: string; readonly term: number}): void {
	const {state, nowMs} = context;
	if (state.hardState.cluster !== cluster) {
		updateHardState(context, {cluster});
	}

	becomeFollower(context, term, from);
	state.leaderDiskId = disk;
	state.lastLeaderContactMs = nowMs;
	resetElectionTimer(context);
}

/** Replies to a message of a deposed leader with the current term. Other messages of old terms get no reply. */
function rejectStale(context: Context, from: VmId, message: InTermMessage): void {
	if (message.type === 'consensus/append' || message.type === 'consensus/snapshot') {
		sendNow(context, from, message.disk, {
			type: 'consensus/append-reply', ok: false, match: 0, hint: 0, round: 0,
		});
	}
}
