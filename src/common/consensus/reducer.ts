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
import {changeMembers, handleJoin} from './membership.js';
import {consensusMessageSchema} from './messages.js';
import {requestRead, sendHeartbeat} from './read-index.js';
import {
	acknowledgeWrite, advanceCommit, broadcastAppend, handleAppend, handleAppendReply, propose,
} from './replication.js';
import {
	completeSave, handleSnapshot, handleSnapshotReply, requestSnapshot, restore, saveTaken,
} from './snapshot.js';
import {
	count, isBlank, isVoter, sendNow, setRole,
} from './state.js';

/** Applies one event to a member of the replicated log and returns what the platform must do, in order. */
export function reduceConsensus(state: ConsensusState, event: ConsensusEvent): ConsensusEffect[] {
	const context: Context = {state, nowMs: event.nowMs, effects: []};
	if (!state.isStarted) {
		start(context);
	}

	if (state.role === 'halted') {
		refuse(context, event);
		return context.effects;
	}

	handleEvent(context, event);
	if (!isHalted(state)) {
		refreshRole(context);
		requestSnapshot(context);
		flush(context);
	}

	return context.effects;
}

function isHalted({role}: ConsensusState): boolean {
	return role === 'halted';
}

function start(context: Context): void {
	const {state, nowMs} = context;
	state.isStarted = true;
	resetElectionTimer(context);
	if (state.log.lastIndex > 0) {
		// A live leader finds out in this time whether the disk still has what it acknowledged.
		state.voteNotBeforeMs = nowMs + state.timings.electionMinMs;
	}

	restore(context);
	refreshRole(context);
}

/** Follows membership changes: a promoted learner is a follower. */
function refreshRole(context: Context): void {
	const {state} = context;
	if (state.role === 'follower' || state.role === 'learner') {
		setRole(context, isVoter(state, state.vm, state.diskId) ? 'follower' : 'learner', state.leader);
	}
}

function refuse({effects}: Context, event: ConsensusEvent): void {
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
			tick(context);
			break;
		}

		case 'consensus/message': {
			receive(context, event.from, event.message);
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

		case 'consensus/persisted': {
			finishWrite(context, event.sequence);
			break;
		}

		case 'consensus/storage-failed': {
			halt(context, event.reason);
			break;
		}

		case 'consensus/snapshot-taken': {
			saveTaken(context, event.index, event.data);
			break;
		}

		case 'consensus/snapshot-saved': {
			completeSave(context, event.index);
			break;
		}
	}
}

function tick(context: Context): void {
	const {state, nowMs} = context;
	tickElection(context);
	tickFormation(context);
	if (state.role === 'leader' && nowMs >= state.nextHeartbeatMs) {
		state.nextHeartbeatMs = nowMs + state.timings.heartbeatMs;
		sendHeartbeat(context);
	}
}

function finishWrite(context: Context, sequence: number): void {
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

function receive(context: Context, from: VmId, raw: unknown): void {
	const {state} = context;
	const parsed = consensusMessageSchema.safeParse(raw);
	if (!parsed.success) {
		count(context, 'consensus_invalid_messages');
		return;
	}

	const message = parsed.data;
	if (!isAddressedHere(state, message)) {
		count(context, 'consensus_misaddressed_messages', {type: message.type});
		return;
	}

	switch (message.type) {
		case 'consensus/join': {
			handleJoin(context, from, message);
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
			receiveInTerm(context, from, message);
		}
	}
}

/** Whether the message is for this disk and this cluster. A blank disk joins the cluster of the leader that admitted it,
whatever it has promised: an emptied founder may have asked first. */
function isAddressedHere(state: ConsensusState, {type, cluster, toDisk}: ConsensusMessage): boolean {
	if (toDisk !== undefined && toDisk !== state.diskId) {
		return false;
	}

	if (cluster === state.hard.cluster) {
		return true;
	}

	if (type === 'consensus/append' || type === 'consensus/snapshot') {
		return isBlank(state) && toDisk !== undefined;
	}

	const isGreeting = type === 'consensus/join' || type === 'consensus/introduce' || type === 'consensus/introduce-reply';
	return isGreeting && (cluster === undefined || state.hard.cluster === undefined);
}

type TermMessage = Exclude<ConsensusMessage, {type: 'consensus/join' | 'consensus/introduce' | 'consensus/introduce-reply' | 'consensus/pre-vote' | 'consensus/pre-vote-reply'}>;

/** Handles a message that is valid in one term only, after following a newer term. */
function receiveInTerm(context: Context, from: VmId, message: TermMessage): void {
	const {state} = context;
	if (message.type === 'consensus/vote' && !mayVote(context)) {
		// A member that hears a leader must not be drawn into a new term by one that does not.
		return;
	}

	if (message.term < state.hard.term) {
		rejectStale(context, from, message);
		return;
	}

	if (message.term > state.hard.term) {
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
	if (state.hard.cluster !== cluster) {
		updateHardState(context, {cluster});
	}

	becomeFollower(context, term, from);
	state.leaderDisk = disk;
	state.leaderContactMs = nowMs;
	resetElectionTimer(context);
}

/** Tells a deposed leader the current term; other stale messages need no answer. */
function rejectStale(context: Context, from: VmId, message: TermMessage): void {
	if (message.type === 'consensus/append' || message.type === 'consensus/snapshot') {
		sendNow(context, from, message.disk, {
			type: 'consensus/append-reply', ok: false, match: 0, hint: 0, round: 0,
		});
	}
}
