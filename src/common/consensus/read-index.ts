import type {ReplyToken, VmId} from '../core/types.js';
import type {Context} from './state.js';
import {broadcastAppend} from './replication.js';
import {quorumSize, voters} from './state.js';

/**
Queues a linearizable read until a quorum confirms the leader in a heartbeat round that starts after the read arrived. With
`mayWait`, the read does not start a round but waits for the next regular heartbeat or another read's round.
*/
export function requestRead(context: Context, token: ReplyToken, mayWait = false): void {
	const {state, effects} = context;
	if (state.role !== 'leader' || state.reads.length >= state.limits.maxReads) {
		effects.push({type: 'consensus/read-failed', token, leader: state.leader});
		return;
	}

	state.reads.push({token, round: state.heartbeatRound + 1, mayWait});
	if (!mayWait && !isRoundPending(context)) {
		startHeartbeatRound(context);
	}
}

/** Sends the regular heartbeat. Starts a new heartbeat round if reads are pending and no round is waiting for its quorum. */
export function sendHeartbeat(context: Context): void {
	if (context.state.reads.length > 0 && !isRoundPending(context)) {
		startHeartbeatRound(context);
	} else {
		broadcastAppend(context, true);
	}
}

function isRoundPending(context: Context): boolean {
	return confirmedRound(context) < context.state.heartbeatRound;
}

function startHeartbeatRound(context: Context): void {
	context.state.heartbeatRound++;
	broadcastAppend(context, true);
	answerReads(context);
}

/** Returns the highest heartbeat round that a quorum of voters has confirmed. */
function confirmedRound({state}: Context): number {
	const rounds = voters(state).map(({vm}) => vm === state.vm ? state.heartbeatRound : state.progress.get(vm)?.round ?? 0);
	return rounds.sort((a, b) => b - a)[quorumSize(state) - 1] ?? 0;
}

/**
Answers the reads that a quorum has confirmed. Answers no read before an entry of the leader's own term is committed, because
until then the leader may not know every entry that its predecessors committed.
*/
export function answerReads(context: Context): void {
	const {state, effects} = context;
	if (state.reads.length === 0 || state.hardState.commit < state.termStartIndex) {
		return;
	}

	const confirmed = confirmedRound(context);
	const isConfirmed = (round: number) => round <= confirmed;
	for (const {token} of state.reads.filter(read => isConfirmed(read.round))) {
		effects.push({type: 'consensus/read-ready', token});
	}

	state.reads = state.reads.filter(read => !isConfirmed(read.round));
	// Only one round is pending at a time. Reads that arrived during the confirmed round share the round that starts here.
	if (confirmed === state.heartbeatRound && state.reads.some(({mayWait}) => !mayWait)) {
		startHeartbeatRound(context);
	}
}

/** Fails all pending reads. `leader` is the new leader, or undefined if it is unknown. */
export function failReads({state, effects}: Context, leader: VmId | undefined): void {
	for (const {token} of state.reads) {
		effects.push({type: 'consensus/read-failed', token, leader});
	}

	state.reads = [];
}
